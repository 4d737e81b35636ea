//! Keeps requests that make endpoints crash away from endpoints.
//!
//! What is held against a request is decided by `coordination::quarantine`. Here an endpoint that broke
//! something off is looked at, requests are let through or not, and what was seen is logged and told. While
//! nothing is held against any request, each costs one look at an empty map; fingerprints are taken only after
//! a break.

use crate::event;
use crate::exchange::{Call, Failure};
use crate::node::{Node, lock};
use crate::refusal::{Reason, Refusal};
use crate::stream;
use crosslane_coordination::quarantine::{ANNOUNCED, BLAMED, INNOCENT};
use crosslane_coordination::ruling::{SHUT, Verdict};
use crosslane_coordination::suspect::{SHUT_AT, TOGETHER};
use crosslane_coordination::suspicion::{Standing, Strike, Word};
use crosslane_platform::request::Purpose;
use crosslane_state::endpoint::{Endpoint, Key, Tag};
use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::time::Millis;
use crosslane_transport::clock;
use log::{info, warn};
use std::collections::HashMap;
use std::fmt::Display;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::time::{sleep, timeout};

/// Time for a look at an endpoint that broke something off: a port without a process refuses within a
/// round trip of some 3 ms. The request's next attempt waits for it.
const LOOK: Duration = Duration::from_millis(100);

/// Time after which an endpoint is looked at again that still took connections: a process that ends closes its connections
/// and its port one after the other.
const AGAIN: Duration = Duration::from_millis(10);

/// Time after which it is looked at for the last time.
const LATER: Duration = Duration::from_millis(150);

/// Looks that are remembered: those of some seconds in which hundreds of endpoints end.
const LOOKS: usize = 1_024;

/// Looks at endpoints that broke something off: one for all that ran there.
#[derive(Debug, Default)]
pub struct Checks(Mutex<HashMap<Tag, Arc<OnceCell<bool>>>>);

impl Checks {
    /// Whether an endpoint is gone. Those who ask meanwhile share the look; one that is alive may be gone at the next.
    async fn gone(&self, endpoint: &Endpoint) -> bool {
        let tag = endpoint.tag();
        let look = {
            let mut looks = lock(&self.0);
            if looks.len() >= LOOKS {
                looks.clear();
            }
            looks.entry(tag).or_default().clone()
        };
        let gone = *look.get_or_init(|| gone(endpoint.address)).await;
        if !gone {
            lock(&self.0).remove(&tag);
        }
        gone
    }
}

/// Whether a process has ended at an address, or just ends.
async fn gone(address: SocketAddr) -> bool {
    if refuses(address).await {
        return true;
    }
    sleep(AGAIN).await;
    refuses(address).await
}

/// Whether no process listens at an address. One that is silent or cut off does not count.
pub async fn refuses(address: SocketAddr) -> bool {
    let connected = timeout(LOOK, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// A run of a suspect; what it showed is noted when it is dropped.
#[derive(Debug)]
pub struct Trial {
    node: Arc<Node>,
    request: Fingerprint,
    /// When the run began, if it has: a request may wait at its engine for seconds.
    pub began: Option<Millis>,
    /// Whether its whole answer was made.
    pub well: bool,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let ran = self.began.map_or(0, |it| self.node.now().since(it));
        let innocent = self.well || ran >= INNOCENT;
        let mut quarantine = self.node.quarantine();
        let cleared = innocent && quarantine.clear(self.request);
        if !innocent {
            quarantine.rest(self.request, self.node.now());
        }
        drop(quarantine);
        if cleared {
            let why = if self.well { "it ran well" } else { "its run went on" };
            info!(fingerprint:% = self.request, ran_ms = ran, why; "{}", event::FORGOTTEN);
        }
        self.node.suspected.notify_one();
    }
}

/// Whether a request may be sent now.
pub fn check(node: &Node, call: &Call) -> Result<(), Failure> {
    match standing(node, call) {
        Standing::Free | Standing::Suspect => Ok(()),
        Standing::OnTrial => Err(Failure::OnTrial),
        Standing::Shut(_) => Err(Failure::ShutOut),
    }
}

fn standing(node: &Node, call: &Call) -> Standing {
    if node.quarantine().is_empty() {
        return Standing::Free;
    }
    let request = call.fingerprint();
    node.quarantine().standing(request, node.now(), clock::unix())
}

/// Lets a request through to an endpoint. A run of a suspect keeps its copies back; to read its prompt
/// does not.
pub async fn admit(
    node: &Arc<Node>,
    call: &Call,
    endpoint: &Endpoint,
    purpose: &Purpose<'_>,
) -> Result<Option<Trial>, Failure> {
    let runs = !matches!(purpose, Purpose::Prefill);
    match standing(node, call) {
        Standing::Shut(_) => Err(barred(call, Failure::ShutOut)),
        Standing::OnTrial if runs => Err(barred(call, Failure::OnTrial)),
        Standing::Suspect if runs => try_suspect(node, call, endpoint).await.map(Some),
        Standing::Free | Standing::Suspect | Standing::OnTrial => Ok(None),
    }
}

/// Announces a run of a suspect, and lets it through if no other suspect runs there: if the endpoint ends, both are
/// struck.
async fn try_suspect(node: &Arc<Node>, call: &Call, endpoint: &Endpoint) -> Result<Trial, Failure> {
    let (request, tag) = (call.fingerprint(), endpoint.tag());
    {
        let mut quarantine = node.quarantine();
        if quarantine.trials(request, node.now()).contains(&tag) {
            return Err(beside_another(call));
        }
        quarantine.begin(request, tag, node.now());
    }
    node.suspected.notify_one();
    let trial = Trial { node: node.clone(), request, began: None, well: false };
    sleep(Duration::from_millis(ANNOUNCED)).await;
    if node.quarantine().gives_way(request, tag, node.now()) {
        return Err(beside_another(call));
    }
    match standing(node, call) {
        Standing::Shut(_) => Err(barred(call, Failure::ShutOut)),
        Standing::Free | Standing::Suspect | Standing::OnTrial => Ok(trial),
    }
}

fn beside_another(call: &Call) -> Failure {
    told_barred(call, "beside another suspect");
    Failure::Unsent
}

/// Engines at which other suspects run, for a suspect not to be placed beside them.
pub fn others_on_trial(node: &Node, call: &Call) -> Vec<Key> {
    if standing(node, call) != Standing::Suspect {
        return Vec::new();
    }
    let engines = node.quarantine().trials(call.fingerprint(), node.now());
    let pool = node.pool();
    engines.into_iter().filter_map(|it| pool.key(it)).collect()
}

/// Tells a caller that its request was not sent, and when to come back.
pub fn refusal(node: &Node, call: &Call, failure: Failure) -> Refusal {
    barred(call, failure);
    match standing(node, call) {
        Standing::Shut(left) => Refusal::later(Reason::ShutOut, Duration::from_millis(left)),
        Standing::Free | Standing::Suspect | Standing::OnTrial => stream::come_back(failure.into()),
    }
}

fn barred(call: &Call, failure: Failure) -> Failure {
    told_barred(call, failure);
    failure
}

fn told_barred(call: &Call, why: impl Display) {
    let (request, fingerprint) = (call.ask.id.as_str(), call.fingerprint());
    info!(request, fingerprint:%, why:%; "{}", event::BARRED);
}

/// Finds out whether an endpoint that broke a request off ended under it, and holds it against the request
/// if it had begun a moment before. An error, a cut way or a silent endpoint is no crash.
pub async fn judge(node: &Arc<Node>, call: &Call, endpoint: &Endpoint, began: Millis) {
    let (request, to) = (call.ask.id.as_str(), endpoint.id.as_str());
    let ran_ms = node.now().since(began);
    let fingerprint = call.fingerprint();
    info!(request, to, ran_ms, fingerprint:%; "{}", event::BROKE);
    if ran_ms > BLAMED {
        // It says nothing of the request, but whether endpoints end together.
        let (node, endpoint) = (node.clone(), endpoint.clone());
        tokio::spawn(async move {
            if node.checks.gone(&endpoint).await {
                node.quarantine().ended(endpoint.tag(), node.now());
            }
        });
        return;
    }
    if node.checks.gone(endpoint).await {
        strike(node, request, fingerprint, endpoint);
        return;
    }
    let (node, endpoint, request) = (node.clone(), endpoint.clone(), request.to_owned());
    tokio::spawn(async move {
        sleep(LATER).await;
        if node.checks.gone(&endpoint).await {
            strike(&node, &request, fingerprint, &endpoint);
        }
    });
}

fn strike(node: &Arc<Node>, request: &str, fingerprint: Fingerprint, endpoint: &Endpoint) {
    let struck = node.quarantine().strike(fingerprint, endpoint.tag(), node.now());
    let to = endpoint.id.as_str();
    let Strike::Held(strikes) = struck else {
        info!(request, fingerprint:%, to, why:% = struck; "{}", event::SPARED);
        return;
    };
    node.meter.strikes.inc();
    info!(request, fingerprint:%, to, strikes; "{}", event::STRUCK);
    node.suspected.notify_one();
    if strikes >= SHUT_AT {
        let node = node.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(TOGETHER)).await;
            settle(&node);
        });
    }
}

/// Rules on requests under which enough endpoints ended, and lets those in again that these outdo.
fn settle(node: &Node) {
    let (now, unix) = (node.now(), clock::unix());
    let (shut, acquitted) = {
        let mut quarantine = node.quarantine();
        (quarantine.settle(now, unix), quarantine.acquit(now, unix))
    };
    let for_s = SHUT / 1_000;
    for fingerprint in &shut {
        warn!(fingerprint:%, verdict:% = Verdict::Shut, source = "here", for_s; "{}", event::RULED);
    }
    for fingerprint in &acquitted {
        let why = "another request is shut out for it";
        warn!(fingerprint:%, verdict:% = Verdict::Lifted, source = "here", why; "{}", event::RULED);
    }
    if !shut.is_empty() || !acquitted.is_empty() {
        node.ruled.notify_one();
        node.suspected.notify_one();
    }
}

/// Takes another node's words.
pub fn hear(node: &Node, from: Tag, words: Vec<(Fingerprint, Word)>) {
    let (now, unix) = (node.now(), clock::unix());
    for (fingerprint, word) in words {
        let verdict = match &word {
            Word::Ruled(ruling) => ruling.verdict.to_string(),
            _ => String::new(),
        };
        if node.quarantine().hear(from, fingerprint, word, now, unix) {
            info!(fingerprint:%, verdict, source = "peer"; "{}", event::RULED);
        }
    }
}

/// Rules on what others did not, and forgets what is over.
pub fn tidy(node: &Node) {
    if node.quarantine().is_empty() {
        return;
    }
    settle(node);
    let mut quarantine = node.quarantine();
    for fingerprint in quarantine.expire(node.now(), clock::unix()) {
        info!(fingerprint:%, why = "its time is over"; "{}", event::FORGOTTEN);
    }
    node.meter.shut_out.set(quarantine.shut_count() as i64);
}
