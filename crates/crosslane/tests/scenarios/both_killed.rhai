// The entry node and the runners' owners are killed together; a new owner cleans up.
let site = site(#{ nodes: 4, prefill: 2, decode: 2 });

site.fault("decode-0", #{ freeze: true });
site.fault("decode-1", #{ freeze: true });
for place in 0..6 {
    site.ask(place % 3, #{ prompt: place, tokens: 300, deadline: 20000 });
}
eventually("streams run", 8000, || site.look("decode-0", "/held").held.len() + site.look("decode-1", "/held").held.len() == 6);
for place in 0..3 {
    site.kill(place);
    site.list(`entry-${place}`, "gone");
}
eventually("the one left owns every engine", 20000, || site.status(3).owned.len() == 4);
eventually("and holds nothing for the dead", 20000, || site.held() == 0);
site.fault("decode-0", #{});
site.fault("decode-1", #{});
check(site.ask(3, #{ prompt: 77 }).wait().correct, "and serves");
