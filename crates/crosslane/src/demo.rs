//! A whole small site in one process: stand-ins, three nodes and a few requests.

use crate::error::Error;
use crate::fleet::{Fleet, MODEL};
use crate::load::{self, Sample};
use crate::standin::listener;
use crosslane_protocol::settings::{Raw, Settings};
use crosslane_standins::{engine, log, orders, service, vms};
use crosslane_transport::http::{Call, Client};
use crosslane_transport::node::{self, Handle, Phase};
use hyper::Method;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Nodes of the demo.
const NODES: usize = 3;

/// Requests sent to each node.
const REQUESTS: u64 = 2;

/// Time for a node to become ready.
const READY: Duration = Duration::from_secs(20);

/// Time for the engines to be empty after the last answer.
const EMPTY: Duration = Duration::from_secs(10);

/// Runs the demo; with `keep` it stays up until interrupted.
pub async fn run(keep: bool) -> Result<(), Error> {
    let fleet = standins().await?;
    let mut nodes = Vec::new();
    for place in 0..NODES {
        let text = fleet.settings(place);
        let settings = Settings::try_from(Raw { file: "demo", text: &text })?;
        let handle = node::start(settings).await?;
        println!("node entry-{place}: callers at {}", handle.addresses.callers);
        nodes.push(handle);
    }
    for handle in &nodes {
        ready(handle).await?;
    }
    for sequence in 0..REQUESTS * NODES as u64 {
        let handle = &nodes[sequence as usize % NODES];
        model(handle.addresses.callers, sequence).await?;
    }
    booking(nodes[0].addresses.callers, nodes[1].addresses.callers).await?;
    empty(&fleet).await?;
    println!("engines hold nothing: the demo is done");
    if keep {
        let callers = nodes[0].addresses.callers;
        let body = json!({ "model": MODEL, "prompt": "Is the lake site free?", "stream": true });
        println!("try: curl -N http://{callers}/v1/completions -d '{body}'");
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

async fn standins() -> Result<Fleet, Error> {
    let options = orders::Options::default();
    let mut engines = Vec::new();
    for _ in 0..4 {
        let (socket, address) = listener().await?;
        tokio::spawn(engine::run(socket, options));
        engines.push(address);
    }
    let (socket, web) = listener().await?;
    tokio::spawn(service::run(socket));
    let (socket, journal) = listener().await?;
    tokio::spawn(log::run(socket));
    let (socket, list) = listener().await?;
    tokio::spawn(vms::run(socket, Duration::from_secs(1)));
    Ok(Fleet {
        log: journal,
        vms: list,
        decode: engines.split_off(2),
        prefill: engines,
        service: vec![web],
        slots: options.slots,
        prefill_rate: options.prefill_rate,
        extra: json!({}),
    })
}

async fn ready(handle: &Handle) -> Result<(), Error> {
    let mut phase = handle.shared.phase.subscribe();
    let serving = phase.wait_for(|it| *it == Phase::Serving);
    match tokio::time::timeout(READY, serving).await {
        Ok(Ok(_)) => Ok(()),
        _ => Err(Error::failed("a node did not become ready")),
    }
}

async fn model(node: SocketAddr, sequence: u64) -> Result<(), Error> {
    let tokens = if sequence.is_multiple_of(2) { 40 } else { 1_500 };
    let sample = Sample::model(MODEL, sequence, tokens, 24);
    let result = load::send(&Client::default(), node, &sample).await;
    let path =
        if tokens == 40 { "prefilled where it decodes" } else { "prefill, transfer, decode" };
    println!(
        "request {sequence}: {tokens} tokens at {node}: {path}; first output after {:.1} ms, \
         {} pieces, {:.1} ms between them, complete {}",
        result.first_ms, result.pieces, result.between_ms, result.correct
    );
    if result.correct { Ok(()) } else { Err(Error::failed("an answer was not whole")) }
}

/// Sends one confirmation twice under one key, through two nodes.
async fn booking(first: SocketAddr, second: SocketAddr) -> Result<(), Error> {
    let mut bodies = Vec::new();
    for node in [first, second] {
        let sample = Sample::service("/booking/confirm", Some("demo-booking-1".to_owned()));
        let (status, body) = load::whole(&Client::default(), node, &sample).await?;
        println!("confirmation at {node}: {status} {body}");
        bodies.push(body);
    }
    if bodies[0] == bodies[1] {
        println!("one run, the same answer twice");
        return Ok(());
    }
    Err(Error::failed("the confirmation was run twice"))
}

async fn empty(fleet: &Fleet) -> Result<(), Error> {
    let client = Client::default();
    let holds = async {
        loop {
            let mut held = 0;
            for engine in fleet.prefill.iter().chain(&fleet.decode) {
                let call = Call::new(Method::GET, *engine, "/held");
                let list: crosslane_protocol::engine::HeldList = client.fetch(call, READY).await?;
                held += list.held.len();
            }
            if held == 0 {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    match tokio::time::timeout(EMPTY, holds).await {
        Ok(result) => result,
        Err(_) => Err(Error::failed("an engine still holds memory")),
    }
}
