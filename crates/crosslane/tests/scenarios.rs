//! Scenarios with real processes, each a script in `tests/scenarios`.

use crosslane_harness::script;
use crosslane_harness::site::Binaries;
use rstest::rstest;
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};

/// Sites are run one after another, so that each has the machine to itself.
static ONE_SITE: Mutex<()> = Mutex::new(());

fn binaries() -> Binaries {
    Binaries {
        node: PathBuf::from(env!("CARGO_BIN_EXE_crosslaned")),
        command: PathBuf::from(env!("CARGO_BIN_EXE_crosslane")),
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/*.rhai")] path: PathBuf) {
    let _alone = ONE_SITE.lock().unwrap_or_else(PoisonError::into_inner);
    let text = std::fs::read_to_string(&path).unwrap();
    if let Err(error) = script::run(binaries(), &text) {
        panic!("{}: {error}", path.display());
    }
}
