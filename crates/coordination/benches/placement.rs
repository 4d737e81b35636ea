//! Cost of one placement by size of the pool, for each placement mode.

use crosslane_coordination::placement::{Chooser, Mode, Query};
use crosslane_state::incarnation::Incarnation;
use crosslane_state::load::{Report, Tracker};
use crosslane_state::member::{Member, Roster};
use crosslane_state::runner::{Id, Role, Runner, Table};
use crosslane_state::time::Millis;
use divan::{Bencher, black_box};

const SIZES: [usize; 3] = [10, 1_000, 10_000];

const SPREAD_MODES: [Mode; 3] = [Mode::BestOfTwo, Mode::RoundRobin, Mode::Random];

fn main() {
    divan::main();
}

fn pool(size: usize) -> (Table, Tracker) {
    let mut table = Table::default();
    let mut loads = Tracker::default();
    for index in 0..size {
        let name = format!("decode-{index}");
        let id = Id::of(&name);
        loads.record_report(id, Report { busy: index as u32 % 20, ..Report::default() }, Millis(0));
        table.insert(Runner {
            id,
            vm: name.clone(),
            name,
            domain: "Aarau".to_owned(),
            address: ([127, 0, 0, 1], 9).into(),
            role: Role::Decode,
            serves: "reply".to_owned(),
            slots: 20,
            kv_tokens: 0,
            fences: true,
        });
    }
    (table, loads)
}

fn bench(bencher: Bencher<'_, '_>, mode: Mode, size: usize) {
    let (table, mut loads) = pool(size);
    let mut chooser = Chooser::new(mode, 1);
    bencher.bench_local(|| {
        let keys = table.pool(Role::Decode, "reply");
        let query =
            Query { pool: keys, table: &table, loads: &loads, hold_ms: 100, now: Millis(1) };
        let chosen = chooser.choose(black_box(query), |_| true);
        if let Some(id) = chosen {
            loads.record_sent(id);
        }
        chosen
    });
}

#[divan::bench(args = SIZES)]
fn best_of_two(bencher: Bencher<'_, '_>, size: usize) {
    bench(bencher, Mode::BestOfTwo, size);
}

#[divan::bench(args = SIZES)]
fn round_robin(bencher: Bencher<'_, '_>, size: usize) {
    bench(bencher, Mode::RoundRobin, size);
}

#[divan::bench(args = SIZES)]
fn random(bencher: Bencher<'_, '_>, size: usize) {
    bench(bencher, Mode::Random, size);
}

#[divan::bench(args = SIZES)]
fn least_reported(bencher: Bencher<'_, '_>, size: usize) {
    bench(bencher, Mode::LeastReported, size);
}

fn roster(size: u64) -> Roster {
    let mut roster = Roster::default();
    for number in 0..size {
        let address = ([127, 0, 0, 1], 9).into();
        roster.join(Member {
            incarnation: Incarnation(number),
            vm: format!("entry-{number}"),
            domain: "Aarau".to_owned(),
            control: address,
            forward: address,
        });
    }
    roster
}

/// Ranking of all members for a key, done for each keyed request.
#[divan::bench(args = [8, 100, 780])]
fn ranked(bencher: Bencher<'_, '_>, size: u64) {
    let roster = roster(size);
    bencher.bench_local(|| roster.ranked(black_box(7)));
}

/// Owner of a runner, determined for each slot request.
#[divan::bench(args = [8, 100, 780])]
fn owner(bencher: Bencher<'_, '_>, size: u64) {
    let roster = roster(size);
    bencher.bench_local(|| roster.owner(black_box(7), |_| true));
}

/// Difference between the most and the least loaded runner after ten requests per runner.
#[divan::bench(args = SPREAD_MODES, consts = SIZES, sample_count = 1, sample_size = 1)]
fn spread<const SIZE: usize>(mode: Mode) -> u32 {
    let (table, _) = pool(SIZE);
    let mut loads = Tracker::default();
    let mut chooser = Chooser::new(mode, 1);
    for _ in 0..SIZE * 10 {
        let keys = table.pool(Role::Decode, "reply");
        let query =
            Query { pool: keys, table: &table, loads: &loads, hold_ms: 100, now: Millis(1) };
        if let Some(id) = chooser.choose(query, |_| true) {
            loads.record_sent(id);
        }
    }
    let depths = || table.iter().map(|runner| loads.estimate(runner.id).outstanding());
    let spread = depths().max().unwrap_or(0) - depths().min().unwrap_or(0);
    println!("spread of {mode:?} over {SIZE} runners: {spread}");
    spread
}
