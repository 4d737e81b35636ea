// VMs are announced as leaving, also with the log out: no new work, nothing cut off.
let site = site(#{ nodes: 3, prefill: 2, decode: 2 });

fn no_new_work(site, engine, sent) {
    let before = site.look(engine, "/stats").runs.len();
    let asked = [];
    for place in 0..12 {
        asked.push(site.ask(place % 3, #{ prompt: sent + place, tokens: 300 }));
    }
    for one in asked {
        let answer = one.wait();
        check(answer.correct, `served elsewhere: ${answer}`);
    }
    check(site.look(engine, "/stats").runs.len() == before, `no new work at ${engine}`);
}

// An endpoint VM, with the log.
let asked = [];
for place in 0..6 {
    asked.push(site.ask(place % 3, #{ prompt: place, tokens: 300, max_tokens: 300, deadline: 20000 }));
}
eventually("every prefill has ended and the streams run", 5000, || {
    site.look("decode-0", "/held").held.len() + site.look("decode-1", "/held").held.len() == 6
});
site.leave(0, "prefill-0");
eventually("every node knows", 5000, || {
    site.status(0).leaving.contains("prefill-0")
        && site.status(1).leaving.contains("prefill-0")
        && site.status(2).leaving.contains("prefill-0")
});
no_new_work(site, "prefill-0", 100);
for one in asked {
    check(one.wait().correct, "nothing in progress was cut off");
}
eventually("it is safe to stop", 5000, || site.vm(1, "prefill-0").safe_to_stop);

// An endpoint VM, without the log.
site.fault("log", #{ outage: true });
site.leave(1, "decode-0");
eventually("every node knows, past the log", 5000, || {
    site.status(0).leaving.contains("decode-0")
        && site.status(1).leaving.contains("decode-0")
        && site.status(2).leaving.contains("decode-0")
});
no_new_work(site, "decode-0", 200);
eventually("it is safe to stop", 5000, || site.vm(2, "decode-0").safe_to_stop);

// A node's VM, through another node, without the log.
let asked = site.ask(2, #{ prompt: 300, tokens: 300, max_tokens: 800, deadline: 20000 });
eventually("the stream runs", 5000, || site.held() >= 1);
site.leave(0, "entry-2");
eventually("it takes nothing new", 5000, || {
    let answer = site.ask(2, #{ prompt: 301, tokens: 300 }).wait();
    answer.refusal != () && answer.refusal[0] == "leaving" && answer.refusal[1] == "not_run"
});
let keyed = site.ask(2, #{ path: "/booking/confirm", key: "asked-while-leaving" }).wait();
check(keyed.refusal[0] == "leaving" && keyed.refusal[1] == "unknown", `its key was not looked up: ${keyed}`);
check(!asked.done(), "the stream still runs");
check(asked.wait().correct, "and is not cut off");
eventually("it is safe to stop", 8000, || site.status(2).safe_to_stop);
