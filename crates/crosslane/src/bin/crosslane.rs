//! The operator's command.

use crosslane::arguments;
use std::process::ExitCode;

fn main() -> ExitCode {
    match arguments::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.code())
        }
    }
}
