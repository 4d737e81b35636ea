// 200 streamed requests, 8 at once, over three nodes: every answer whole, nothing held after.
let site = site(#{ nodes: 3, prefill: 2, decode: 2, services: 1 });

let sent = 0;
while sent < 200 {
    let batch = [];
    while batch.len() < 8 && sent < 200 {
        let tokens = if sent % 3 == 0 { 40 } else { 100 + sent * 3 };
        batch.push(site.ask(sent % 3, #{ prompt: sent, tokens: tokens, max_tokens: 24 }));
        sent += 1;
    }
    for asked in batch {
        let answer = asked.wait();
        check(answer.correct, `answer is whole: ${answer}`);
    }
}
eventually("engines hold nothing", 5000, || site.held() == 0);
