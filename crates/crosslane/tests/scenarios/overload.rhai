// More than the slots can take: refused at once and truly not run, or whole.
let site = site(#{ nodes: 3, prefill: 1, decode: 1, slots: 4, prefill_rate: 4000 });

let asked = [];
for place in 0..40 {
    asked.push(site.ask(place % 3, #{ prompt: place, tokens: 400, max_tokens: 40, deadline: 900 }));
}
let refused = 0;
let place = 0;
for one in asked {
    let answer = one.wait();
    let prefills = site.prefills("prefill-0", place, 400);
    if answer.refusal != () {
        refused += 1;
        check(answer.refusal[1] == "not_run", `nothing was handed to a runner: ${answer}`);
        check(prefills == 0, `refused as not run, and so not prefilled: ${place}`);
    } else {
        check(answer.correct, `whole: ${answer}`);
        check(prefills == 1, "prefilled once");
    }
    place += 1;
}
check(refused > 0 && refused < 40, `some are refused, some served: ${refused}`);
check(site.most_busy("decode-0") <= 4, "the engine was never overfilled");
eventually("nothing is held", 5000, || site.held() == 0);
