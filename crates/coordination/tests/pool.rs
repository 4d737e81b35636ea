//! Pool: which endpoints may be used, and which is chosen.

use crosslane_coordination::choice::{Query, Room};
use crosslane_coordination::connections;
use crosslane_coordination::health::{Outcome, Record};
use crosslane_coordination::pool::Pool;
use crosslane_coordination::usage::Usage;
use crosslane_state::endpoint::{Endpoint, Stage, Tag};
use crosslane_state::time::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const SERVICE: &str = "reply";
const CAPACITY: u64 = 50_000;

/// A request for any decoding engine.
const QUERY: Query<'static> = Query {
    service: SERVICE,
    stage: Stage::Decode,
    capacity: CAPACITY,
    connections: u32::MAX,
    room: None,
    except: &[],
};

/// When the endpoints started, in milliseconds of Unix time.
const BORN: u64 = 1_800_000_000_000;

/// Until when what others tell counts, where it does to the test's end.
const UNTIL: Millis = Millis(60_000);

fn tag(id: &str) -> Tag {
    endpoint(id, false).tag()
}

fn endpoint(id: &str, draining: bool) -> Endpoint {
    Endpoint {
        id: id.into(),
        born: BORN,
        service: SERVICE.into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "aarau".into(),
        slots: 128,
        stage: Stage::Decode,
        draining,
    }
}

fn pool(ids: &[&str]) -> Pool {
    let mut pool = Pool::new("aarau".into(), SmallRng::seed_from_u64(1));
    pool.replace(ids.iter().map(|id| endpoint(id, false)).collect(), false, Millis(0));
    pool
}

fn chosen(pool: &mut Pool, now: u64) -> Option<String> {
    let (key, _) = pool.choose(QUERY, Millis(now))?;
    pool.get(key).map(|endpoint| endpoint.id.clone())
}

struct Lapse {
    name: &'static str,
    lenient: bool,
    after: u64,
    kept: bool,
}

#[rstest]
#[case(Lapse { name: "left while the store was well", lenient: false, after: 0, kept: false })]
#[case(Lapse { name: "lapsed with the store", lenient: true, after: 1_000, kept: true })]
#[case(Lapse { name: "did not come back", lenient: true, after: 1_500, kept: false })]
fn records_that_go(#[case] case: Lapse) {
    let mut pool = pool(&["a"]);
    pool.replace(Vec::new(), case.lenient, Millis(10_000));
    pool.expire(Millis(10_000 + case.after));
    let kept = chosen(&mut pool, 10_000 + case.after).is_some();
    assert_eq!(kept, case.kept, "{}", case.name);
}

#[rstest]
fn a_lapsed_endpoint_that_is_listed_again_stays() {
    let mut pool = pool(&["a"]);
    pool.replace(Vec::new(), true, Millis(10_000));
    pool.replace(vec![endpoint("a", false)], false, Millis(10_500));
    pool.expire(Millis(20_000));
    assert_eq!(chosen(&mut pool, 20_000).as_deref(), Some("a"));
}

#[rstest]
fn leaving_endpoints_are_not_chosen() {
    let mut pool = pool(&["a"]);
    pool.replace(vec![endpoint("a", true)], false, Millis(1));
    assert_eq!(chosen(&mut pool, 1), None);
}

#[rstest]
fn what_others_have_at_an_endpoint_counts_until_they_are_silent() {
    let mut pool = pool(&["a", "b"]);
    let usage = Usage { requests: 5, tokens: 40_000, outcomes: Record::default() };
    pool.hear(Tag(7), vec![(tag("a"), usage)], Millis(2_000));
    pool.hear(Tag(8), vec![(tag("b"), Usage { tokens: 20_000, ..usage })], Millis(5_000));
    pool.expire(Millis(1_900));
    assert_eq!(chosen(&mut pool, 1_900).as_deref(), Some("b"));
    pool.expire(Millis(2_100));
    assert_eq!(chosen(&mut pool, 2_100).as_deref(), Some("a"));
}

#[rstest]
fn failures_are_avoided_and_forgotten() {
    let mut pool = pool(&["a", "b"]);
    let (key, _) = pool.choose(QUERY, Millis(0)).unwrap();
    let bad = pool.get(key).unwrap().id.clone();
    pool.note(key, Outcome::Failed, Millis(0));
    for _ in 0..50 {
        assert_ne!(chosen(&mut pool, 100).unwrap(), bad);
    }
    assert!((0..50).any(|_| chosen(&mut pool, 30_000).unwrap() == bad));
}

#[rstest]
fn requests_are_counted_until_they_leave() {
    let mut pool = pool(&["a"]);
    let (key, empty) = pool.choose(QUERY, Millis(0)).unwrap();
    pool.enter(key, 50_000);
    let (_, full) = pool.choose(QUERY, Millis(0)).unwrap();
    assert!(empty < 1.0 && full >= 1.0);
    assert_eq!(pool.usage(Millis(0)).len(), 1);
    pool.leave(key, 50_000);
    assert!(pool.usage(Millis(0)).is_empty());
}

#[rstest]
fn failures_are_not_load() {
    let mut pool = pool(&["a"]);
    let (key, _) = pool.choose(QUERY, Millis(0)).unwrap();
    pool.note(key, Outcome::Failed, Millis(0));
    let told = vec![(
        tag("a"),
        Usage { outcomes: Record { failures: 3.0, successes: 0.0 }, ..Usage::default() },
    )];
    (0..8).for_each(|peer| pool.hear(Tag(peer), told.clone(), UNTIL));
    let (_, load) = pool.choose(QUERY, Millis(0)).unwrap();
    assert!(load < 0.1, "an idle engine that failed is believed to be {load} full");
}

#[rstest]
fn an_update_counts_at_once_and_until_the_next_heartbeat() {
    let mut pool = pool(&["a", "b"]);
    let usage = Usage { requests: 1, tokens: 40_000, outcomes: Record::default() };
    pool.update(Tag(7), &[(tag("a"), usage)]);
    assert!((0..50).any(|_| chosen(&mut pool, 100).unwrap() == "a"), "not heard yet");
    pool.hear(Tag(7), Vec::new(), UNTIL);
    pool.update(Tag(7), &[(tag("a"), usage)]);
    pool.update(Tag(7), &[(tag("a"), usage)]);
    assert!((0..50).all(|_| chosen(&mut pool, 100).unwrap() == "b"), "told");
    pool.update(Tag(7), &[(tag("a"), Usage::default())]);
    pool.update(Tag(7), &[(tag("b"), usage)]);
    assert!((0..50).all(|_| chosen(&mut pool, 100).unwrap() == "a"), "left again");
    pool.hear(Tag(7), Vec::new(), UNTIL);
    assert!((0..50).any(|_| chosen(&mut pool, 200).unwrap() == "b"), "a heartbeat goes before");
}

#[rstest]
fn what_changed_is_told_once() {
    let mut pool = pool(&["a", "b"]);
    let (key, _) = pool.choose(QUERY, Millis(0)).unwrap();
    pool.enter(key, 5_000);
    let updates = pool.updates(Millis(0));
    assert_eq!(updates, [(pool.get(key).unwrap().tag(), usage(1, 5_000))]);
    assert!(pool.updates(Millis(0)).is_empty());
    pool.leave(key, 5_000);
    assert_eq!(pool.updates(Millis(0))[0].1, usage(0, 0));
}

fn usage(requests: u32, tokens: u32) -> Usage {
    Usage { requests, tokens, outcomes: Record::default() }
}

struct Spread {
    name: &'static str,
    /// Tokens at each engine of the own failure domain.
    near: u32,
    domain: &'static str,
}

/// Among many engines those of the own failure domain come first, while they have room.
#[rstest]
#[case(Spread { name: "idle", near: 0, domain: "aarau" })]
#[case(Spread { name: "one draft each", near: 5_000, domain: "aarau" })]
#[case(Spread { name: "three drafts each", near: 15_000, domain: "olten" })]
fn the_own_failure_domain_first_among_many(#[case] case: Spread) {
    let mut pool = Pool::new("aarau".into(), SmallRng::seed_from_u64(1));
    let domain = |place: usize| if place < 20 { "aarau" } else { "olten" };
    let engines = (0..40).map(|place| Endpoint {
        domain: domain(place).into(),
        ..endpoint(&format!("e{place}"), false)
    });
    pool.replace(engines.collect(), false, Millis(0));
    let told = (0..20).map(|place| (tag(&format!("e{place}")), usage(1, case.near)));
    pool.hear(Tag(7), told.collect(), UNTIL);
    for _ in 0..50 {
        let id = chosen(&mut pool, 100).unwrap();
        let place: usize = id[1..].parse().unwrap();
        assert_eq!(domain(place), case.domain, "{}", case.name);
    }
}

struct Doubt {
    name: &'static str,
    /// Failures and successes that each of eight other nodes tells of the one engine.
    told: (f32, f32),
    /// Tokens that the other engine has.
    other: u32,
    avoided: bool,
}

/// A few failures among many successes must not drive all work to the other engines.
#[rstest]
#[case(Doubt { name: "some fail", told: (0.6, 8.0), other: 15_000, avoided: false })]
#[case(Doubt { name: "many fail", told: (3.0, 3.0), other: 15_000, avoided: true })]
#[case(Doubt { name: "all fail", told: (0.6, 0.0), other: 49_000, avoided: true })]
fn failures_weigh_against_successes(#[case] case: Doubt) {
    let mut pool = pool(&["a", "b"]);
    let (failures, successes) = case.told;
    let told = Usage { outcomes: Record { failures, successes }, ..Usage::default() };
    (0..8).for_each(|peer| pool.hear(Tag(peer), vec![(tag("a"), told)], UNTIL));
    pool.hear(Tag(9), vec![(tag("b"), usage(1, case.other))], UNTIL);
    let avoided = (0..50).all(|_| chosen(&mut pool, 100).unwrap() == "b");
    assert_eq!(avoided, case.avoided, "{}", case.name);
}

#[rstest]
fn successes_are_told_where_others_doubt() {
    let mut pool = pool(&["a"]);
    let (key, _) = pool.choose(QUERY, Millis(0)).unwrap();
    pool.note(key, Outcome::Good, Millis(0));
    assert!(pool.usage(Millis(0)).is_empty());
    let doubt = Usage { outcomes: Record { failures: 0.6, successes: 0.0 }, ..Usage::default() };
    pool.hear(Tag(7), vec![(tag("a"), doubt)], UNTIL);
    assert_eq!(pool.usage(Millis(0))[0].1.outcomes, Record { failures: 0.0, successes: 1.0 });
}

#[rstest]
fn an_engine_that_is_gone_is_avoided_at_once_whatever_went_before() {
    let mut pool = pool(&["a", "b"]);
    let (key, _) = pool.choose(QUERY, Millis(0)).unwrap();
    let gone = pool.get(key).unwrap().id.clone();
    (0..30).for_each(|_| pool.note(key, Outcome::Good, Millis(0)));
    pool.note(key, Outcome::Down, Millis(0));
    let other = if gone == "a" { "b" } else { "a" };
    pool.hear(Tag(9), vec![(tag(other), usage(9, 49_000))], UNTIL);
    assert!((0..50).all(|_| chosen(&mut pool, 100).unwrap() == other));
}

#[rstest]
fn an_engine_that_changes_its_stage_gets_no_work_until_it_has() {
    let mut pool = pool(&["a", "b"]);
    let (key, _) = pool.choose(QUERY, Millis(0)).unwrap();
    let changes = pool.get(key).unwrap().id.clone();
    pool.ordered(key, Stage::Prefill, Millis(0));
    assert!((0..50).all(|_| chosen(&mut pool, 5_000).unwrap() != changes));
    assert_eq!(pool.changing(Millis(100)), [(tag(&changes), Stage::Prefill)]);
    let prefills = Endpoint { stage: Stage::Prefill, ..endpoint(&changes, false) };
    let other = if changes == "a" { "b" } else { "a" };
    pool.replace(vec![prefills, endpoint(other, false)], false, Millis(6_000));
    assert!(pool.changing(Millis(6_000)).is_empty(), "it has the stage");
    let query = Query { stage: Stage::Prefill, ..QUERY };
    assert!(pool.choose(query, Millis(6_000)).is_some());
}

#[rstest]
#[case(500, false)]
#[case(2_500, true)]
fn anothers_order_counts_while_it_is_told(#[case] after: u64, #[case] used: bool) {
    let mut pool = pool(&["a", "b"]);
    pool.hear_changing(&[(tag("a"), Stage::Prefill)], Millis(2_000));
    assert!(pool.changing(Millis(0)).is_empty(), "not passed on");
    assert_eq!((0..50).any(|_| chosen(&mut pool, after).unwrap() == "a"), used);
}

/// An engine that starts again under its id has nothing of what it had, whoever told of it.
#[rstest]
#[case(false)]
#[case(true)]
fn another_birth_is_another_endpoint(#[case] lenient: bool) {
    let mut pool = pool(&["a", "b"]);
    pool.hear(Tag(7), vec![(tag("a"), usage(5, 40_000))], UNTIL);
    let former = pool.engines()[SERVICE].iter().find(|engine| engine.1.id == "a").unwrap().0;
    pool.enter(former, 5_000);
    pool.note(former, Outcome::Failed, Millis(0));
    pool.ordered(former, Stage::Prefill, Millis(0));
    let again = Endpoint { born: BORN + 1, ..endpoint("a", false) };
    pool.replace(vec![again, endpoint("b", false)], lenient, Millis(100));
    assert_eq!(pool.len(), 2, "the former one is gone at once");
    assert!(pool.get(former).is_none());
    assert!(pool.changing(Millis(100)).is_empty(), "the order was the former one's");
    pool.leave(former, 5_000);
    pool.note(former, Outcome::Failed, Millis(100));
    pool.hear(Tag(8), vec![(tag("a"), usage(5, 40_000))], UNTIL);
    pool.hear_changing(&[(tag("a"), Stage::Prefill)], UNTIL);
    pool.hear(Tag(9), vec![(tag("b"), usage(1, 30_000))], UNTIL);
    let (key, load) = pool.choose(QUERY, Millis(100)).unwrap();
    assert_eq!((pool.get(key).unwrap().id.as_str(), load), ("a", 0.0));
    assert!(pool.usage(Millis(100)).is_empty(), "nothing is told of it");
}

struct Placed {
    name: &'static str,
    /// Tokens at each engine of the own failure domain, and of the other one.
    taken: (u32, u32),
    /// Tokens that the request needs.
    needs: u32,
    /// Domain of the engine that is chosen, if one is.
    domain: Option<&'static str>,
}

/// A burst fills one failure domain's engines before another's.
#[rstest]
#[case(Placed { name: "room here", taken: (40_000, 38_000), needs: 10_000, domain: Some("aarau") })]
#[case(Placed { name: "a little over full here", taken: (51_000, 43_500), needs: 6_000, domain: Some("olten") })]
#[case(Placed { name: "too little room here", taken: (45_000, 39_000), needs: 10_000, domain: Some("olten") })]
#[case(Placed { name: "enough for a smaller one", taken: (45_000, 45_000), needs: 5_000, domain: Some("aarau") })]
#[case(Placed { name: "no room anywhere", taken: (45_000, 45_000), needs: 10_000, domain: None })]
#[case(Placed { name: "larger than any estimate, but nothing runs", taken: (0, 0), needs: 60_000, domain: Some("aarau") })]
fn the_engine_must_have_room(#[case] case: Placed) {
    let mut pool = Pool::new("aarau".into(), SmallRng::seed_from_u64(1));
    let domain = |place: usize| if place < 20 { "aarau" } else { "olten" };
    let engine = |place: usize| Endpoint {
        domain: domain(place).into(),
        ..endpoint(&format!("e{place}"), false)
    };
    pool.replace((0..40).map(engine).collect(), false, Millis(0));
    let told = (0..40).map(|place| {
        let tokens = if place < 20 { case.taken.0 } else { case.taken.1 };
        (tag(&format!("e{place}")), usage(u32::from(tokens > 0), tokens))
    });
    pool.hear(Tag(7), told.collect(), UNTIL);
    let room = Some(Room { tokens: case.needs, below: 1.0 });
    let query = Query { connections: u32::MAX, room, ..QUERY };
    for _ in 0..50 {
        let chosen = pool.choose(query, Millis(100));
        let domain =
            chosen.and_then(|choice| pool.get(choice.0)).map(|endpoint| endpoint.domain.as_str());
        assert_eq!(domain, case.domain, "{}", case.name);
    }
}

struct Part {
    cap: u32,
    nodes: usize,
    part: u32,
}

#[rstest]
#[case(Part { cap: 110, nodes: 8, part: 12 })]
#[case(Part { cap: 410, nodes: 58, part: 6 })]
#[case(Part { cap: 110, nodes: 780, part: 1 })]
#[case(Part { cap: 0, nodes: 8, part: 1 })]
fn connections_are_shared_out_among_nodes(#[case] case: Part) {
    assert_eq!(connections::part(case.cap, case.nodes), case.part);
}

#[rstest]
fn an_endpoint_at_which_this_node_has_its_part_of_connections_is_not_chosen() {
    let mut pool = pool(&["a"]);
    let query = Query { connections: 2, ..QUERY };
    let (key, _) = pool.choose(query, Millis(0)).unwrap();
    pool.enter(key, 0);
    assert!(pool.choose(query, Millis(0)).is_some());
    pool.enter(key, 0);
    assert!(pool.choose(query, Millis(0)).is_none());
    pool.leave(key, 0);
    assert!(pool.choose(query, Millis(0)).is_some());
}

#[rstest]
fn an_endpoint_whose_limit_has_no_room_is_left_alone_until_it_has() {
    let mut pool = pool(&["a", "b"]);
    let keys = ["a", "b"].map(|id| pool.key(tag(id)).unwrap());
    pool.hold_back(keys[0], Millis(500));
    assert_eq!(chosen(&mut pool, 100).as_deref(), Some("b"));
    assert_eq!(pool.held_for(SERVICE, Stage::Decode, Millis(100)), None);
    pool.hold_back(keys[1], Millis(300));
    assert_eq!(chosen(&mut pool, 100), None);
    assert_eq!(pool.held_for(SERVICE, Stage::Decode, Millis(100)), Some(200));
    assert_eq!(chosen(&mut pool, 300).as_deref(), Some("b"));
    pool.let_in(tag("a"), true, Millis(310));
    pool.hold_back(keys[1], Millis(900));
    assert_eq!(chosen(&mut pool, 310).as_deref(), Some("a"));
}

#[rstest]
fn an_endpoint_that_comes_back_from_need_does_not_get_all_that_comes_at_once() {
    let mut pool = pool(&["a", "b"]);
    let key = pool.key(tag("b")).unwrap();
    pool.enter(key, (CAPACITY / 4) as u32);
    pool.let_in(tag("a"), true, Millis(1_000));
    assert_eq!(chosen(&mut pool, 1_010).as_deref(), Some("b"));
    assert_eq!(chosen(&mut pool, 4_000).as_deref(), Some("a"));
}
