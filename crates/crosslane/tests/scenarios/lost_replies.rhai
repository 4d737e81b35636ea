// Streams break off, prefill and cancel replies are lost: answers whole, nothing held.
let site = site(#{ nodes: 2, prefill: 1, decode: 1, settings: #{ placement: #{ retry_percent: 100 } } });

site.fault("decode-0", #{ break_streams: 2, lose_cancels: 3 });
let answer = site.ask(0, #{ prompt: 1, max_tokens: 60 }).wait();
check(answer.correct, `resumed at the exact token: ${answer}`);
check(site.counter(0, "resumed") >= 1, "the stream was resumed");
eventually("cancelled until confirmed", 8000, || site.held() == 0 && site.counter(0, "cancel.retried") >= 1);

site.fault("prefill-0", #{ lose_prefills: 1, lose_cancels: 2 });
let answer = site.ask(1, #{ prompt: 2, deadline: 10000 }).wait();
check(answer.correct, `a lost prefill reply costs only time: ${answer}`);
check(site.prefills("prefill-0", 2, 400) == 2, "it was prefilled again");
eventually("nothing is held", 8000, || site.held() == 0);
