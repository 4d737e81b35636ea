//! A site: platform and runner stand-ins, and nodes, each a process.

use crate::process::Process;
use crosslane::fleet::{Fleet, KEY};
use crosslane::load::{self, Outcome, Sample};
use crosslane::vm::Access;
use crosslane_protocol::engine::HeldList;
use crosslane_protocol::platform::State;
use crosslane_transport::http::{Call, Client};
use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

/// Time for a stand-in to answer.
const ANSWER: Duration = Duration::from_secs(3);

/// Time for a site to be ready.
const READY: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Nodes.
    pub nodes: usize,
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
    /// Plain services.
    pub services: usize,
    /// Slots of a decode engine.
    pub slots: u32,
    /// Tokens prefilled per second.
    pub prefill_rate: u64,
    /// Further arguments of the engine stand-ins.
    pub engine: Vec<String>,
    /// Sections of the nodes' settings to replace.
    pub settings: Value,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            nodes: 3,
            prefill: 2,
            decode: 2,
            services: 1,
            slots: 20,
            prefill_rate: 20_000,
            engine: Vec::new(),
            settings: json!({}),
        }
    }
}

/// Programs to run.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// `crosslaned`.
    pub node: PathBuf,
    /// `crosslane`.
    pub command: PathBuf,
}

impl Binaries {
    /// The programs beside an executable of the same build.
    pub fn beside(executable: &Path) -> Self {
        let folder = executable.ancestors().nth(2).unwrap_or(executable);
        Self { node: folder.join("crosslaned"), command: folder.join("crosslane") }
    }
}

/// A node process and where it listens.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: Process,
    /// Callers' address.
    pub callers: SocketAddr,
    /// Operators' address.
    pub operator: SocketAddr,
    /// Control address.
    pub control: SocketAddr,
}

/// A whole site.
#[derive(Debug)]
pub struct Site {
    /// Programs.
    pub binaries: Binaries,
    /// Runs what is asynchronous.
    pub runtime: Runtime,
    /// Addresses of the stand-ins.
    pub fleet: Fleet,
    /// Nodes; one that was stopped is `None`.
    pub nodes: Vec<Option<Node>>,
    standins: BTreeMap<String, (Process, SocketAddr)>,
    folder: TempDir,
    client: Client,
}

impl Site {
    /// Starts everything and waits until each node is ready.
    pub fn start(binaries: Binaries, plan: &Plan) -> io::Result<Self> {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let fleet = Fleet {
            log: unset,
            vms: unset,
            prefill: Vec::new(),
            decode: Vec::new(),
            service: Vec::new(),
            slots: plan.slots,
            prefill_rate: plan.prefill_rate,
            extra: plan.settings.clone(),
        };
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let mut site = Self {
            binaries,
            runtime,
            fleet,
            nodes: Vec::new(),
            standins: BTreeMap::new(),
            folder: tempfile::tempdir()?,
            client: Client::default(),
        };
        site.fleet.log = site.standin("log", "log", &[])?;
        site.fleet.vms = site.standin("vms", "vms", &[])?;
        let mut engine = vec![format!("--slots={}", plan.slots)];
        engine.push(format!("--prefill-rate={}", plan.prefill_rate));
        engine.extend(plan.engine.iter().cloned());
        for place in 0..plan.prefill {
            let address = site.standin(&format!("prefill-{place}"), "engine", &engine)?;
            site.fleet.prefill.push(address);
        }
        for place in 0..plan.decode {
            let address = site.standin(&format!("decode-{place}"), "engine", &engine)?;
            site.fleet.decode.push(address);
        }
        for place in 0..plan.services {
            let address = site.standin(&format!("service-{place}"), "service", &[])?;
            site.fleet.service.push(address);
        }
        for place in 0..plan.nodes {
            site.nodes.push(None);
            site.start_node(place)?;
        }
        let ready = |site: &mut Self| (0..plan.nodes).all(|place| site.serves(place));
        if site.until(READY, ready) {
            Ok(site)
        } else {
            Err(io::Error::other(format!("the nodes are not ready: {}", site.logs())))
        }
    }

    /// Starts a node in a place, anew if one ran there.
    pub fn start_node(&mut self, place: usize) -> io::Result<()> {
        let path = self.folder.path().join(format!("entry-{place}.json"));
        let seeds: Vec<_> = self.nodes.iter().flatten().map(|it| it.control).collect();
        self.fleet.extra["seeds"] = json!(seeds);
        std::fs::write(&path, self.fleet.settings(place))?;
        let arguments = ["--config".to_owned(), path.display().to_string()];
        let errors = self.folder.path().join(format!("entry-{place}.log"));
        let process = Process::start(&self.binaries.node, &arguments, &errors)?;
        let value: Value = serde_json::from_str(&process.line)?;
        let address = |name: &str| -> io::Result<SocketAddr> {
            value[name]
                .as_str()
                .and_then(|it| it.parse().ok())
                .ok_or_else(|| io::Error::other(format!("{}: no {name} address", process.line)))
        };
        let (callers, operator) = (address("callers")?, address("operator")?);
        let control = address("control")?;
        self.nodes[place] = Some(Node { process, callers, operator, control });
        Ok(())
    }

    fn standin(&mut self, name: &str, kind: &str, options: &[String]) -> io::Result<SocketAddr> {
        let mut arguments = vec!["stand-in".to_owned(), kind.to_owned()];
        arguments.extend(options.iter().cloned());
        let errors = self.folder.path().join(format!("{name}.log"));
        let process = Process::start(&self.binaries.command, &arguments, &errors)?;
        let address = process.line.parse().map_err(io::Error::other)?;
        self.standins.insert(name.to_owned(), (process, address));
        Ok(address)
    }

    /// Signals a node.
    pub fn signal_node(&mut self, place: usize, signal: Signal) {
        if let Some(node) = &self.nodes[place] {
            node.process.signal(signal);
        }
        if signal == Signal::SIGKILL {
            self.nodes[place] = None;
        }
    }

    /// Exit code of a node that has ended.
    pub fn exit_code(&mut self, place: usize) -> Option<i32> {
        self.nodes[place].as_mut()?.process.ended()?.code()
    }

    /// Signals a stand-in.
    pub fn signal_standin(&mut self, name: &str, signal: Signal) {
        if let Some((process, _)) = self.standins.get(name) {
            process.signal(signal);
        }
    }

    /// Orders faults of a stand-in.
    pub fn fault(&self, name: &str, faults: &Value) {
        let (_, address) = &self.standins[name];
        let call = Call::json(*address, "/faults", faults);
        let _ = self.runtime.block_on(self.client.send_buffered(call, ANSWER));
    }

    /// Sets a VM's state in the platform's list.
    pub fn list(&self, vm: &str, state: State) {
        let call = Call::json(self.fleet.vms, format!("/vms/{vm}"), &state);
        let _ = self.runtime.block_on(self.client.send_buffered(call, ANSWER));
    }

    /// A stand-in's JSON answer.
    pub fn look(&self, name: &str, path: &str) -> Value {
        let (_, address) = &self.standins[name];
        let call = Call::new(Method::GET, *address, path);
        self.runtime.block_on(self.client.fetch(call, ANSWER)).unwrap_or_default()
    }

    /// Attempts that the engines hold memory for; those of dead engines do not count.
    pub fn held(&self) -> usize {
        let engines = self.fleet.prefill.iter().chain(&self.fleet.decode);
        let held = engines.map(|engine| {
            let call = Call::new(Method::GET, *engine, "/held");
            let list = self.runtime.block_on(self.client.fetch::<HeldList>(call, ANSWER));
            list.map_or(0, |it| it.held.len())
        });
        held.sum()
    }

    /// A node's status, null if it does not answer.
    pub fn status(&self, place: usize) -> Value {
        self.operate(place, Method::GET, "/status")
    }

    /// Calls a node's operator port.
    pub fn operate(&self, place: usize, method: Method, path: &str) -> Value {
        let Some(node) = &self.nodes[place] else {
            return Value::Null;
        };
        let access = Access::new(node.operator, KEY);
        self.runtime.block_on(access.call(method, path)).unwrap_or_default()
    }

    /// Access to every node's operators' port.
    pub fn operators(&self) -> Vec<Access> {
        self.nodes.iter().flatten().map(|it| Access::new(it.operator, KEY)).collect()
    }

    /// A node's counter.
    pub fn counter(&self, place: usize, name: &str) -> u64 {
        self.status(place)["counters"][name].as_u64().unwrap_or(0)
    }

    /// Whether a node is a serving member.
    pub fn serves(&self, place: usize) -> bool {
        let status = self.status(place);
        status["phase"] == "Serving" && status["member"] == true
    }

    /// Callers' address of a node.
    pub fn callers(&self, place: usize) -> SocketAddr {
        let node = self.nodes[place].as_ref();
        node.map_or(SocketAddr::from(([127, 0, 0, 1], 1)), |it| it.callers)
    }

    /// Sends a request without waiting for its answer.
    pub fn ask(&self, place: usize, sample: Sample) -> JoinHandle<Outcome> {
        let (client, to) = (self.client.clone(), self.callers(place));
        self.runtime.spawn(async move { load::send(&client, to, &sample).await })
    }

    /// Sends a request and reads status and body.
    pub fn whole(&self, place: usize, sample: &Sample) -> (u16, String) {
        let answered =
            self.runtime.block_on(load::whole(&self.client, self.callers(place), sample));
        answered.unwrap_or((0, String::new()))
    }

    /// Waits for a condition; false when it did not come about in time.
    pub fn until(&mut self, limit: Duration, condition: impl Fn(&mut Self) -> bool) -> bool {
        let deadline = Instant::now() + limit;
        loop {
            if condition(self) {
                return true;
            }
            if Instant::now() > deadline {
                return false;
            }
            std::thread::sleep(LOOK);
        }
    }

    /// What the nodes logged.
    pub fn logs(&self) -> String {
        let read = |place| {
            let path = self.folder.path().join(format!("entry-{place}.log"));
            let text = std::fs::read_to_string(path).unwrap_or_default();
            format!("--- entry-{place}\n{text}")
        };
        (0..self.nodes.len()).map(read).collect()
    }
}
