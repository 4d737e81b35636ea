// The caller leaves at each stage; the engines hold nothing afterwards.
let site = site(#{ nodes: 3, prefill: 1, decode: 1, slots: 2 });

fn empty(site) {
    eventually("engines hold nothing", 5000, || site.held() == 0);
    let after = site.ask(2, #{ prompt: 99, tokens: 200 }).wait();
    check(after.correct, `the next request is served: ${after}`);
    eventually("engines hold nothing again", 5000, || site.held() == 0);
}

fn waiting(site) {
    let count = 0;
    for place in 0..3 {
        for one in site.status(place).loads {
            count += one.load.waiting;
        }
    }
    count
}

// Prefilling.
site.fault("prefill-0", #{ stall_prefills: true });
let asked = site.ask(0, #{ prompt: 1, tokens: 400, deadline: 20000 });
eventually("prefill begins", 5000, || site.held() == 1);
asked.leave();
eventually("the prefill is cancelled", 5000, || site.held() == 0);
site.fault("prefill-0", #{});
empty(site);

// Transferring.
site.fault("decode-0", #{ stall_transfers: true });
let asked = site.ask(1, #{ prompt: 2, tokens: 400, deadline: 20000 });
eventually("transfer begins", 5000, || site.held() == 2);
asked.leave();
eventually("both ends are freed", 5000, || site.held() == 0);
site.fault("decode-0", #{});
empty(site);

// Decoding, and queued behind it.
site.fault("decode-0", #{ freeze: true });
let first = site.ask(0, #{ prompt: 3, tokens: 400, deadline: 20000 });
let second = site.ask(1, #{ prompt: 4, tokens: 400, deadline: 20000 });
eventually("both slots are taken", 5000, || site.look("decode-0", "/held").held.len() == 2);
let queued = site.ask(2, #{ prompt: 5, tokens: 400, deadline: 20000 });
eventually("the third waits for a slot", 5000, || waiting(site) == 1);
queued.leave();
eventually("it waits no more", 2000, || waiting(site) == 0);
first.leave();
second.leave();
eventually("nothing is held", 5000, || site.held() == 0);
site.fault("decode-0", #{});
check(site.prefills("prefill-0", 5, 400) == 0, "the queued request was never prefilled");
empty(site);
