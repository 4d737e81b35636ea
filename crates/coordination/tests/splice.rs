//! Splice: late, reordered, duplicate and missing pieces never corrupt the output.

use crosslane_coordination::splice::{Action, Splice};
use crosslane_state::attempt::Id;
use crosslane_state::incarnation::Incarnation;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn attempt(retry_number: u16) -> Id {
    Id { origin: Incarnation(1), sequence: 1, retry_number }
}

/// Fixed seed, so that every run plays the same histories.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(4_000))]

    /// The pieces of two attempts arrive in any order; the accepted ones form a prefix of the answer.
    #[test]
    fn taken_pieces_are_in_order_and_of_the_current_attempt(
        pieces in prop::collection::vec((0..2u16, 0..12u64), 0..80),
        switch in 0..80usize,
        total in 0..12u64,
    ) {
        let mut splice = Splice::new(attempt(0));
        let mut current = 0;
        let mut taken = Vec::new();
        for (index, (retry_number, offset)) in pieces.into_iter().enumerate() {
            if index == switch {
                current = 1;
                splice.switch_attempt(attempt(1));
            }
            match splice.accept(attempt(retry_number), offset) {
                Action::Forward => {
                    prop_assert_eq!(retry_number, current);
                    taken.push(offset);
                }
                Action::Gap => prop_assert!(offset > splice.next_offset()),
                Action::Drop => {
                    prop_assert!(retry_number != current || offset < splice.next_offset());
                }
            }
        }
        let expected: Vec<u64> = (0..taken.len() as u64).collect();
        prop_assert_eq!(&taken, &expected);
        prop_assert!(!splice.finish(attempt(1 - current), taken.len() as u64), "not the current attempt");
        prop_assert_eq!(splice.finish(attempt(current), total), total == taken.len() as u64);
    }
}
