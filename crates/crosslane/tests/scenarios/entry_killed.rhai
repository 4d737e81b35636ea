// The entry node is killed at each stage; the runners' owners free what it held.
let site = site(#{ nodes: 3, prefill: 1, decode: 1 });

// Prefilling.
site.fault("prefill-0", #{ stall_prefills: true });
site.ask(0, #{ prompt: 1, deadline: 20000 });
eventually("prefill begins", 5000, || site.held() == 1);
site.kill(0);
site.list("entry-0", "gone");
eventually("the prefill is cancelled", 15000, || site.held() == 0);
site.fault("prefill-0", #{});

// Transferring.
site.fault("decode-0", #{ stall_transfers: true });
site.ask(1, #{ prompt: 2, deadline: 20000 });
eventually("transfer begins", 5000, || site.held() == 2);
site.kill(1);
site.list("entry-1", "gone");
eventually("both ends are freed", 15000, || site.held() == 0);
site.fault("decode-0", #{});

// Decoding: entry and owner are one here, and the only node left; a new one cleans up.
site.fault("decode-0", #{ freeze: true });
site.ask(2, #{ prompt: 3, deadline: 20000 });
eventually("decode begins", 5000, || site.look("decode-0", "/held").held.len() == 1);
site.kill(2);
site.list("entry-2", "gone");
site.start_node(0);
eventually("the new node serves", 20000, || site.serves(0));
eventually("nothing is held", 20000, || site.held() == 0);
