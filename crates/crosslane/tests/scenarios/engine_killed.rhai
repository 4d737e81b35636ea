// An engine is killed at each stage; the request is run elsewhere and comes whole.
let site = site(#{ nodes: 2, prefill: 2, decode: 2, settings: #{ placement: #{ retry_percent: 100 } } });

// Mid-prefill.
site.fault("prefill-0", #{ stall_prefills: true });
site.fault("prefill-1", #{ stall_prefills: true });
let asked = site.ask(0, #{ prompt: 1, deadline: 20000 });
eventually("a prefill runs", 5000, || site.held() == 1);
let first = if site.look("prefill-0", "/held").held.len() == 1 { 0 } else { 1 };
site.fault(`prefill-${1 - first}`, #{});
site.kill(`prefill-${first}`);
let answer = asked.wait();
check(answer.correct, `whole after a dead prefill engine: ${answer}`);

// Mid-transfer, then mid-decode, on the decode engine.
let stalled = #{ stall_transfers: true };
site.fault("decode-0", stalled);
site.fault("decode-1", stalled);
let asked = site.ask(1, #{ prompt: 2, max_tokens: 400, deadline: 20000 });
eventually("a transfer runs", 8000, || site.look("decode-0", "/held").held.len() + site.look("decode-1", "/held").held.len() == 1);
let second = if site.look("decode-0", "/held").held.len() == 1 { 0 } else { 1 };
site.fault(`decode-${1 - second}`, #{});
site.kill(`decode-${second}`);
let answer = asked.wait();
check(answer.correct, `whole after a dead decode engine: ${answer}`);
eventually("the live engines hold nothing", 10000, || site.held() == 0);
