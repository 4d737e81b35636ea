//! The node that stands between callers and runners.

use clap::{Arg, Command, value_parser};
use crosslane::error::{Error, FENCED};
use crosslane::{config, logs};
use crosslane_gateway::server::{self, METRICS_PORT};
use crosslane_platform::settings::{self as site_settings, FILE_VARIABLE};
use crosslane_protocol::settings::Settings;
use crosslane_transport::node;
use serde_json::json;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let matches = Command::new("crosslaned")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes requests of callers to engines and services")
        .args_conflicts_with_subcommands(true)
        .arg(Arg::new("config").long("config").value_name("FILE").required(true))
        .subcommand(
            Command::new("site").about("Serves a site through the platform").arg(
                Arg::new("metrics-port")
                    .long("metrics-port")
                    .value_name("PORT")
                    .value_parser(value_parser!(u16))
                    .help("Port of the metrics; 19464 if not given"),
            ),
        )
        .get_matches();
    let started = match matches.subcommand() {
        Some((_, inner)) => {
            serve_site(inner.get_one("metrics-port").copied().unwrap_or(METRICS_PORT))
        }
        None => start(matches.get_one::<String>("config").map_or("", String::as_str)),
    };
    match started {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.code())
        }
    }
}

/// Serves a site on one thread: its VMs have a fraction of a core.
fn serve_site(metrics_port: u16) -> Result<ExitCode, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // Until its handler is installed, a signal ends the process.
    let (mut terminate, reload) = {
        let _context = runtime.enter();
        (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?)
    };
    logs::start_queued()?;
    logs::log_panics();
    let path = std::env::var(FILE_VARIABLE)
        .map_err(|_| Error::failed(format!("{FILE_VARIABLE} is not set")))?;
    let settings = site_settings::Settings::read(&path)?;
    let announced = async move { terminate.recv().await.unwrap_or_default() };
    runtime.block_on(server::run(settings, &path, metrics_port, announced, reload))?;
    logs::flush();
    Ok(ExitCode::SUCCESS)
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
            "incarnation": handle.shared.incarnation.to_string(),
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
