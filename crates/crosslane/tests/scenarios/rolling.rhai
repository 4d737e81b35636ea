// Every node is replaced, one after another, under load: none cut off, none answered twice.
let site = site(#{ nodes: 3, prefill: 2, decode: 2 });

let sent = 0;
let asked = [];
for place in 0..3 {
    // A stream that outlasts the announcement, and confirmations with known answers.
    let long = site.ask(place, #{ prompt: 1000 + place, tokens: 300, max_tokens: 800, deadline: 20000 });
    for round in 0..8 {
        let answer = site.ask((place + 1) % 3, #{ path: "/booking/confirm", key: `roll-${place}-${round}` }).wait();
        check(answer.correct, `confirmed: ${answer}`);
    }
    eventually("the stream runs", 5000, || site.held() >= 1);
    site.stop(place);
    while site.exit_code(place) == -1 {
        for other in 0..3 {
            if other != place {
                asked.push(site.ask(other, #{ prompt: sent, tokens: 300, max_tokens: 30, key: `draft-${sent}` }));
                sent += 1;
            }
        }
        pause(100);
    }
    check(site.exit_code(place) == 0, "it stopped by itself");
    check(long.wait().correct, "the long stream was not cut off");
    site.start_node(place);
    eventually("the new node serves", 20000, || site.serves(place));
}
for one in asked {
    let answer = one.wait();
    check(answer.correct, `whole: ${answer}`);
}
for place in 0..3 {
    for round in 0..8 {
        let key = `roll-${place}-${round}`;
        let again = site.ask(place, #{ path: "/booking/confirm", key: key }).wait();
        check(again.correct, `the answer was handed over: ${again}`);
        check(site.runs("service-0", key) == 1, "run once");
    }
}
eventually("nothing is held", 10000, || site.held() == 0);
