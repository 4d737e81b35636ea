//! Stand-ins as processes of their own, for tests and experiments.

use crate::arguments::{number, text};
use crate::error::Error;
use clap::ArgMatches;
use crosslane_standins::{engine, log, orders, service, vms};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpListener;

/// A listener on a loopback port that the system chooses.
pub async fn listener() -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Runs a stand-in and prints its address first.
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let (listener, address) = listener().await?;
    println!("{address}");
    let lag = number(matches, "lag-millis");
    match text(matches, "kind")?.as_str() {
        "engine" => engine::run(listener, options(matches)).await,
        "service" => service::run(listener).await,
        "log" => log::run(listener).await,
        _ => vms::run(listener, Duration::from_millis(lag)).await,
    }
    Ok(())
}

fn options(matches: &ArgMatches) -> orders::Options {
    orders::Options {
        prefill_rate: number(matches, "prefill-rate").max(1),
        step_micros: number(matches, "step-micros"),
        crowd_micros: number(matches, "crowd-micros"),
        link_rate: number(matches, "link-rate").max(1),
        slots: number(matches, "slots") as u32,
        kv_tokens: number(matches, "kv-tokens"),
        life_millis: number(matches, "life-millis"),
        lag_millis: number(matches, "lag-millis"),
        fences: !matches.get_flag("no-fencing"),
        ..orders::Options::default()
    }
}
