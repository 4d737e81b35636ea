//! Mirror: nodes that read and nodes that are told hold the same, and never go back.

use bytes::Bytes;
use crosslane_gateway::history::Download;
use crosslane_gateway::mirror::{Change, List, Mirror, Part, Topic};
use crosslane_platform::store::{CONFIGURATION_KEY, Page, Record};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Records at their offsets, from an offset on.
fn numbered(from: u64, records: impl IntoIterator<Item = (u64, Option<u64>)>) -> Vec<Record> {
    let record = |(offset, (key, value)): (u64, (u64, Option<u64>))| Record {
        offset,
        key: format!("e{key}"),
        value: value.map(|it| Bytes::from(it.to_string())),
    };
    (from..).zip(records).map(record).collect()
}

fn held(mirror: &Mirror) -> Vec<(String, Bytes)> {
    mirror.endpoints().map(|(id, value)| (id.clone(), value.clone())).collect()
}

/// What a log of records holds up to an offset.
fn expected(log: &[Record], end: u64) -> Vec<(String, Bytes)> {
    let mut mirror = Mirror::default();
    let records = log[..end as usize].to_vec();
    mirror.take(Topic::Endpoints, Page { records, end }, Some(0));
    held(&mirror)
}

/// Takes what another node sends, all pages of a list at once; the entries that came.
fn pull(node: &mut Mirror, ahead: &Mirror, from: u64) -> (usize, Change) {
    let mut list = List::default();
    let mut came = 0;
    loop {
        match ahead.part(from, list.after().map(String::as_str)) {
            Part::Recent { entries, end } => {
                return (entries.len(), node.merge_recent(entries, end));
            }
            Part::Listed { entries, end, next } => {
                came += entries.len();
                if let Some(list) = list.add(entries, end, next) {
                    return (came, node.merge_list(list));
                }
            }
        }
    }
}

/// Nodes read the log at their own pace, and pull from each other at any time.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
fn any_mix_of_reading_and_pulling_holds_the_log(#[case] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut log = Vec::new();
    let mut nodes: Vec<Mirror> = (0..4).map(|_| Mirror::default()).collect();
    for _ in 0..3_000 {
        match random.random_range(0..4) {
            0 => {
                let value = random.random_bool(0.8).then(|| random.random());
                let key = random.random_range(0..40);
                log.extend(numbered(log.len() as u64, [(key, value)]));
            }
            1 => {
                let node = &mut nodes[random.random_range(0..2)];
                let from = node.end(Topic::Endpoints);
                let records = log[from as usize..].to_vec();
                node.take(Topic::Endpoints, Page { records, end: log.len() as u64 }, Some(from));
            }
            _ => {
                let (from, to) = (random.random_range(0..4), random.random_range(0..4));
                let before = nodes[to].end(Topic::Endpoints);
                if from == to {
                    // A node that is sent what it knows itself takes nothing from it.
                    let Part::Recent { entries, end } = nodes[to].part(before, None) else {
                        panic!("a list for a node that lacks nothing");
                    };
                    assert!(!nodes[to].merge_recent(entries, end).endpoints);
                } else {
                    let mut node = std::mem::take(&mut nodes[to]);
                    pull(&mut node, &nodes[from], before);
                    nodes[to] = node;
                }
                assert!(nodes[to].end(Topic::Endpoints) >= before);
            }
        }
        for node in &nodes {
            assert_eq!(held(node), expected(&log, node.end(Topic::Endpoints)));
        }
    }
}

#[rstest]
fn a_read_that_another_node_overtook_undoes_nothing() {
    let log = numbered(0, [(1, Some(1)), (1, Some(2)), (1, Some(3))]);
    let page = |from: usize, to: usize| Page { records: log[from..to].to_vec(), end: to as u64 };
    let mut ahead = Mirror::default();
    ahead.take(Topic::Endpoints, page(0, 3), Some(0));
    let mut node = Mirror::default();
    node.take(Topic::Endpoints, page(0, 1), Some(0));
    pull(&mut node, &ahead, 1);
    let change = node.take(Topic::Endpoints, page(1, 2), Some(1));
    assert!(!change.endpoints);
    assert_eq!(held(&node), expected(&log, 3));
}

#[rstest]
fn a_part_that_does_not_reach_back_far_enough_is_left_out() {
    let mut ahead = Mirror::default();
    let page = |records: Vec<Record>, end| Page { records, end };
    ahead.take(Topic::Endpoints, page(numbered(9, [(1, Some(1))]), 10), None);
    ahead.take(Topic::Endpoints, page(numbered(10, [(2, Some(2))]), 11), Some(10));
    let mut node = Mirror::default();
    // Asked on behalf of a node that had read more.
    assert!(!pull(&mut node, &ahead, 10).1.endpoints && held(&node).is_empty());
    pull(&mut node, &ahead, 0);
    assert_eq!(held(&node).len(), 2);
}

struct Behind {
    name: &'static str,
    end: u64,
    from: u64,
    whole: bool,
}

#[rstest]
#[case(Behind { name: "while the endpoints of 300 nodes' site start", end: 6_000, from: 1_000, whole: false })]
#[case(Behind { name: "a little", end: 40_000, from: 39_990, whole: false })]
#[case(Behind { name: "by more than is kept", end: 40_000, from: 1_000, whole: true })]
fn what_a_node_that_is_behind_is_sent(#[case] case: Behind) {
    let mut mirror = Mirror::default();
    let records = |from: u64, to: u64| numbered(from, (from..to).map(|it| (it % 5_000, Some(it))));
    mirror.take(Topic::Endpoints, Page { records: records(0, 10), end: 10 }, None);
    mirror.take(Topic::Endpoints, Page { records: records(10, case.end), end: case.end }, Some(10));
    let mut node = Mirror::default();
    node.take(Topic::Endpoints, Page { records: records(0, case.from), end: case.from }, Some(0));
    let (mut sent, mut parts, mut whole) = (0, 0, false);
    while node.end(Topic::Endpoints) < case.end {
        let from = node.end(Topic::Endpoints);
        whole |= matches!(mirror.part(from, None), Part::Listed { .. });
        let (came, change) = pull(&mut node, &mirror, from);
        sent += came;
        parts += 1;
        assert!(change.endpoints, "{}", case.name);
    }
    assert_eq!(held(&node), held(&mirror), "{}", case.name);
    let expected = if case.whole { 5_000 } else { (case.end - case.from) as usize };
    assert_eq!((whole, sent), (case.whole, expected), "{}", case.name);
    assert_eq!(parts > 1, !case.whole && sent > 5_000 / 2, "{}", case.name);
}

/// No answer is longer than what a slow link carries in a moment.
#[rstest]
#[case(false)]
#[case(true)]
fn what_is_sent_at_once_is_bounded(#[case] listed: bool) {
    let mut ahead = Mirror::default();
    let records = numbered(0, (0..8_000).map(|it| (it, Some(it))));
    let from = (!listed).then_some(0);
    ahead.take(Topic::Endpoints, Page { records, end: 8_000 }, from);
    let mut after = None;
    let mut from = 0;
    for _ in 0..8_000 {
        let part = ahead.part(from, after.as_deref());
        assert!(part.len() < 33_000);
        match part {
            Part::Recent { end, .. } => from = end,
            Part::Listed { next, .. } => after = next,
        }
        if from == 8_000 || (listed && after.is_none()) {
            return;
        }
    }
    panic!("it never ended");
}

/// A configuration of some routes that do not compress well, of which one has changed.
fn text(version: u64, routes: u64) -> Bytes {
    let mut random = SmallRng::seed_from_u64(3);
    let mut route = |_| format!("{:032x}", random.random::<u128>());
    let routes: Vec<_> = (0..routes).map(&mut route).collect();
    format!("{version} {} {version}", routes.join(" ")).into()
}

fn publish(mirror: &mut Mirror, offset: u64, text: Bytes) {
    let key = CONFIGURATION_KEY.into();
    let record = Record { offset, key, value: Some(text) };
    mirror.take(Topic::Operators, Page { records: vec![record], end: offset + 1 }, Some(offset));
}

/// Takes pieces from a node until it knows nothing newer; the bytes that came.
fn catch_up(node: &mut Mirror, ahead: &mut Mirror, download: &mut Download) -> usize {
    let mut bytes = 0;
    while let Some(piece) = ahead.piece(download.wanted(node.ends().configuration)).unwrap() {
        bytes += piece.len();
        if let Some(step) = download.take(piece) {
            node.take_step(step).unwrap();
        }
    }
    bytes
}

struct Versions {
    name: &'static str,
    /// Routes of the versions that the node behind knows.
    known: &'static [u64],
    /// Routes of those that it does not.
    new: &'static [u64],
    /// Most bytes that it is sent.
    bytes: usize,
}

#[rstest]
#[case(Versions { name: "nothing but the version", known: &[4_000], new: &[4_000], bytes: 200 })]
#[case(Versions { name: "routes added", known: &[3_000], new: &[4_000], bytes: 30_000 })]
#[case(Versions { name: "routes taken away", known: &[4_000], new: &[2_000], bytes: 200 })]
#[case(Versions { name: "two versions behind", known: &[3_000], new: &[4_000, 4_000], bytes: 30_000 })]
#[case(Versions { name: "nothing known", known: &[], new: &[100, 4_000], bytes: 100_000 })]
#[case(Versions { name: "further behind than is kept", known: &[4_000], new: &[4_001; 60], bytes: 100_000 })]
fn a_node_that_is_behind_gets_what_changed(#[case] case: Versions) {
    let mut ahead = Mirror::default();
    let mut node = Mirror::default();
    let versions = case.known.iter().chain(case.new);
    for (offset, routes) in (0..).zip(versions) {
        let text = text(offset, *routes);
        if (offset as usize) < case.known.len() {
            publish(&mut node, offset, text.clone());
        }
        publish(&mut ahead, offset, text);
    }
    let sent = catch_up(&mut node, &mut ahead, &mut Download::default());
    assert_eq!(node.configuration(), ahead.configuration(), "{}", case.name);
    assert_eq!(node.ends(), ahead.ends(), "{}", case.name);
    assert!(sent <= case.bytes, "{}: {sent} bytes", case.name);
}

/// A transfer that takes longer than the next change is away still ends.
#[rstest]
fn a_whole_version_arrives_though_newer_ones_come_with_every_piece() {
    let mut ahead = Mirror::default();
    publish(&mut ahead, 0, text(0, 8_000));
    let mut node = Mirror::default();
    let mut download = Download::default();
    for offset in 1..30 {
        let wanted = download.wanted(node.ends().configuration);
        if let Some(piece) = ahead.piece(wanted).unwrap()
            && let Some(step) = download.take(piece)
        {
            node.take_step(step).unwrap();
        }
        publish(&mut ahead, offset, text(offset, 8_000));
    }
    assert!(node.ends().configuration > 20, "{:?}", node.ends());
}

#[rstest]
fn a_transfer_that_stalled_goes_on_at_another_node() {
    let mut nodes: Vec<Mirror> = (0..2).map(|_| Mirror::default()).collect();
    for ahead in &mut nodes {
        publish(ahead, 0, text(0, 8_000));
    }
    let mut node = Mirror::default();
    let mut download = Download::default();
    let piece = nodes[0].piece(download.wanted(0)).unwrap().unwrap();
    let first = piece.len();
    assert!(download.take(piece).is_none());
    let rest = catch_up(&mut node, &mut nodes[1], &mut download);
    assert_eq!(node.configuration(), nodes[1].configuration());
    let mut fresh = Mirror::default();
    let whole = catch_up(&mut fresh, &mut nodes[1], &mut Download::default());
    assert_eq!(first + rest, whole);
}

/// A step that was made from another text is refused, and a whole version asked for.
#[rstest]
fn a_step_that_does_not_fit_is_not_taken() {
    let mut ahead = Mirror::default();
    let mut node = Mirror::default();
    publish(&mut ahead, 0, text(0, 2_000));
    publish(&mut node, 0, Bytes::from_static(b"something else"));
    publish(&mut ahead, 1, text(1, 2_000));
    let mut download = Download::default();
    let piece = ahead.piece(download.wanted(1)).unwrap().unwrap();
    let step = download.take(piece).expect("a small step comes in one piece");
    assert!(node.take_step(step).is_err());
    assert_eq!(node.configuration(), Some(&Bytes::from_static(b"something else")));
    download.distrust();
    catch_up(&mut node, &mut ahead, &mut download);
    assert_eq!(node.configuration(), ahead.configuration());
}

/// A read of the store that comes late does not undo what another node told meanwhile.
#[rstest]
fn a_version_that_was_overtaken_is_not_taken_again() {
    let mut ahead = Mirror::default();
    publish(&mut ahead, 0, text(0, 100));
    publish(&mut ahead, 1, text(1, 100));
    let mut node = Mirror::default();
    publish(&mut node, 0, text(0, 100));
    catch_up(&mut node, &mut ahead, &mut Download::default());
    let record = Record { offset: 0, key: CONFIGURATION_KEY.into(), value: Some(text(0, 100)) };
    let change = node.take(Topic::Operators, Page { records: vec![record], end: 1 }, None);
    assert!(!change.configuration);
    assert_eq!(node.configuration(), ahead.configuration());
}

/// Pages of a list may come from several nodes, of which one knows more than the other.
#[rstest]
fn a_list_is_gone_on_with_at_another_node() {
    let start = |it: u64| (it % 6_000, Some(it));
    let log = numbered(0, (0..40_000).map(start));
    let read = |end: u64| {
        let mut node = Mirror::default();
        let records = log[..end as usize].to_vec();
        node.take(Topic::Endpoints, Page { records, end }, Some(0));
        node
    };
    let nodes = [39_000, 40_000].map(read);
    let mut list = List::default();
    let mut turn = 0;
    let whole = loop {
        let ahead = &nodes[turn % 2];
        let Part::Listed { entries, end, next } = ahead.part(1, list.after().map(String::as_str))
        else {
            panic!("not a list");
        };
        turn += 1;
        if let Some(whole) = list.add(entries, end, next) {
            break whole;
        }
    };
    assert!(turn > 1);
    let mut node = Mirror::default();
    node.merge_list(whole);
    assert_eq!(node.end(Topic::Endpoints), 39_000);
    pull(&mut node, &nodes[1], 39_000);
    assert_eq!(held(&node), expected(&log, 40_000));
}
