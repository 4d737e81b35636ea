//! Output by offset: late, crossed, doubled and missing pieces never reach the caller wrongly.

use crosslane_coordination::splice::{Piece, Splice};
use crosslane_state::attempt::Id;
use crosslane_state::incarnation::Incarnation;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn attempt(round: u16) -> Id {
    Id { origin: Incarnation(1), sequence: 1, retry_number: round }
}

/// The same histories in every run.
fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(4_000))]

    /// Two attempts' pieces come in any order; what is taken is the answer's beginning.
    #[test]
    fn taken_pieces_are_in_order_and_of_the_current_attempt(
        pieces in prop::collection::vec((0..2u16, 0..12u64), 0..80),
        switch in 0..80usize,
        total in 0..12u64,
    ) {
        let mut splice = Splice::new(attempt(0));
        let mut current = 0;
        let mut taken = Vec::new();
        for (place, (round, offset)) in pieces.into_iter().enumerate() {
            if place == switch {
                current = 1;
                splice.switch(attempt(1));
            }
            match splice.piece(attempt(round), offset) {
                Piece::Take => {
                    prop_assert_eq!(round, current);
                    taken.push(offset);
                }
                Piece::Gap => prop_assert!(offset > splice.next()),
                Piece::Drop => prop_assert!(round != current || offset < splice.next()),
            }
        }
        let expected: Vec<u64> = (0..taken.len() as u64).collect();
        prop_assert_eq!(&taken, &expected);
        prop_assert!(!splice.end(attempt(1 - current), taken.len() as u64), "not the current one");
        prop_assert_eq!(splice.end(attempt(current), total), total == taken.len() as u64);
    }
}
