//! How answers without length or chunks are counted.

use crosslane_platform_standins::caller::Ending;
use crosslane_platform_standins::ledger::{Ended, Kind, Ledger};
use crosslane_platform_standins::unframed::Unframed;
use crosslane_soak::closes::{Closes, Tally};
use rstest::rstest;

struct Case {
    name: &'static str,
    share: u64,
    ending: Ending,
    ended: Ended,
    tally: Tally,
}

const NONE: Tally = Tally { answered: 0, cut_whole: 0, cut: 0 };

#[rstest]
#[case(Case { name: "answered", share: 100, ending: Ending::Answered, ended: Ended::Whole, tally: Tally { answered: 1, ..NONE } })]
#[case(Case { name: "cut although whole", share: 100, ending: Ending::Cut, ended: Ended::Whole, tally: Tally { cut_whole: 1, ..NONE } })]
#[case(Case { name: "cut", share: 100, ending: Ending::Cut, ended: Ended::Forgotten, tally: Tally { cut: 1, ..NONE } })]
#[case(Case { name: "with chunks", share: 0, ending: Ending::Cut, ended: Ended::Whole, tally: NONE })]
fn answers_that_end_with_their_connections_are_counted(#[case] case: Case) {
    let (ledger, closes) = (Ledger::default(), Closes::new(Unframed(case.share)));
    let index = ledger.begin_run("s1", Kind::Read, "e1", false);
    ledger.end_run("s1", index, case.ended);
    closes.record("s1", case.ending, &ledger.runs("s1"));
    assert_eq!(closes.tally(), case.tally, "{}", case.name);
}
