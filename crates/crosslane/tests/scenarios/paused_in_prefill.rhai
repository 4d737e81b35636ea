// A node is frozen while its prompts are being read, at engines that it owns among others. Its own
// connections stay open, so only the others can free what the engines hold for it.
let site = site(#{ nodes: 3, prefill: 8, decode: 2 });
for place in 0..8 {
    site.fault(`prefill-${place}`, #{ stall_prefills: true });
}
let asked = [];
for place in 0..12 {
    asked.push(site.ask(2, #{ prompt: place, tokens: 300, max_tokens: 40, deadline: 60000 }));
}
// Each engine reads one prompt at a time, and two may have chosen the same one.
eventually("prompts are being read", 30000, || site.held() >= 6);
site.freeze(2);
eventually("what the frozen node held is freed", 15000, || site.held() == 0);
for place in 0..8 {
    site.fault(`prefill-${place}`, #{});
}
site.thaw(2);
for one in asked {
    let answer = one.wait();
    check(answer.correct || answer.refusal != (), `an explicit end: ${answer}`);
}
eventually("nothing is held", 10000, || site.held() == 0);
