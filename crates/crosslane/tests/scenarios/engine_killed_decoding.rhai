// A decode engine is killed in the middle of a stream; the stream goes on at the exact token.
let site = site(#{ nodes: 2, prefill: 2, decode: 2 });

let asked = [];
for place in 0..6 {
    asked.push(site.ask(place % 2, #{ prompt: place, tokens: 300, max_tokens: 1600, deadline: 60000 }));
}
eventually("both engines decode, and every prefill has ended", 30000, || {
    let first = site.look("decode-0", "/held").held.len();
    let second = site.look("decode-1", "/held").held.len();
    first > 0 && second > 0 && first + second == 6 && site.held() == 6
});
site.kill("decode-0");
for one in asked {
    let answer = one.wait();
    check(answer.correct, `whole: ${answer}`);
}
eventually("the live engines hold nothing", 10000, || site.held() == 0);
