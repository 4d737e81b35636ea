//! The node that stands between callers and runners.

use clap::{Arg, Command};
use crosslane::error::{Error, FENCED};
use crosslane::{config, logs};
use crosslane_protocol::settings::Settings;
use crosslane_transport::node;
use serde_json::json;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let matches = Command::new("crosslaned")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes requests of callers to engines and services")
        .arg(Arg::new("config").long("config").value_name("FILE").required(true))
        .get_matches();
    let path = matches.get_one::<String>("config").map_or("", String::as_str);
    match start(path) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.code())
        }
    }
}

fn start(path: &str) -> Result<ExitCode, Error> {
    let settings = config::load(path)?;
    logs::start(settings.json_logs)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()?;
    runtime.block_on(run(settings))
}

async fn run(settings: Settings) -> Result<ExitCode, Error> {
    let handle = node::start(settings).await?;
    let addresses = handle.addresses;
    println!(
        "{}",
        json!({
            "callers": addresses.callers,
            "operator": addresses.operator,
            "control": addresses.control,
            "incarnation": handle.shared.me.to_string(),
        })
    );
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = handle.fenced() => return Ok(ExitCode::from(FENCED)),
    }
    tokio::select! {
        () = handle.leave() => Ok(ExitCode::SUCCESS),
        _ = interrupt.recv() => Err(Error::failed("stopped before everything was handed over")),
    }
}
