// The owner of a runner is killed while others use it; their answers are whole, nothing stays.
let site = site(#{ nodes: 3, prefill: 2, decode: 2 });

let asked = [];
for place in 0..12 {
    let tokens = 300 + place;
    asked.push(site.ask(1 + place % 2, #{ prompt: place, tokens: tokens, max_tokens: 200, deadline: 20000 }));
}
eventually("streams run", 5000, || site.held() >= 4);
site.kill(0);
for one in asked {
    let answer = one.wait();
    check(answer.correct, `whole in spite of the dead owner: ${answer}`);
}
eventually("engines hold nothing", 15000, || site.held() == 0);

// Once the platform says it is gone, its runners have new owners.
site.list("entry-0", "gone");
eventually("one member less", 20000, || site.status(1).members.len() == 2 && site.status(2).members.len() == 2);
let owned = site.status(1).owned.len() + site.status(2).owned.len();
check(owned == 4, `every engine has an owner: ${owned}`);
let answer = site.ask(2, #{ prompt: 77 }).wait();
check(answer.correct, "and requests are served");
