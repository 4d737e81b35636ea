//! Scenarios in Rhai: the words that a script has for a site.

use crate::site::{Binaries, Plan, Site};
use crosslane::fleet::MODEL;
use crosslane::load::{self, Outcome, Sample};
use crosslane_protocol::platform::State;
use hyper::Method;
use nix::sys::signal::Signal;
use rhai::{Dynamic, Engine, EvalAltResult, FnPtr, Map, NativeCallContext};
use serde_json::{Value, json};
use std::process::Command;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

type Result<T> = std::result::Result<T, Box<EvalAltResult>>;

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

/// A site as a script holds it.
#[derive(Clone)]
struct Handle(Arc<Mutex<Site>>);

/// A request on its way.
#[derive(Clone)]
struct Asked {
    site: Handle,
    answer: Arc<Mutex<Option<JoinHandle<Outcome>>>>,
}

impl Handle {
    fn lock(&self) -> MutexGuard<'_, Site> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a scenario; the error tells where it failed, and what the nodes logged.
pub fn run(binaries: Binaries, script: &str) -> std::result::Result<(), String> {
    let mut engine = Engine::new();
    engine.set_max_expr_depths(0, 0);
    let started: Arc<Mutex<Option<Handle>>> = Arc::default();
    starts(&mut engine, binaries, started.clone());
    faults(&mut engine);
    requests(&mut engine);
    looks(&mut engine);
    operators(&mut engine);
    conditions(&mut engine);
    engine.run(script).map_err(|error| {
        let site = started.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let logs = site.map(|it| it.lock().logs()).unwrap_or_default();
        format!("{error}\n{logs}")
    })
}

fn starts(engine: &mut Engine, binaries: Binaries, started: Arc<Mutex<Option<Handle>>>) {
    engine.register_fn("site", move |options: Map| -> Result<Handle> {
        let plan = plan(&options)?;
        let site = Site::start(binaries.clone(), &plan).map_err(|it| it.to_string())?;
        let handle = Handle(Arc::new(Mutex::new(site)));
        *started.lock().unwrap_or_else(PoisonError::into_inner) = Some(handle.clone());
        Ok(handle)
    });
    engine.register_fn("start_node", |site: &mut Handle, place: i64| -> Result<()> {
        site.lock().start_node(place as usize).map_err(|it| it.to_string().into())
    });
}

fn plan(options: &Map) -> Result<Plan> {
    let value: Value = rhai::serde::from_dynamic(&Dynamic::from(options.clone()))?;
    let number =
        |name: &str, default: usize| value[name].as_u64().map_or(default, |it| it as usize);
    let usual = Plan::default();
    let engine = value["engine"].as_array().into_iter().flatten();
    Ok(Plan {
        nodes: number("nodes", usual.nodes),
        prefill: number("prefill", usual.prefill),
        decode: number("decode", usual.decode),
        services: number("services", usual.services),
        slots: number("slots", usual.slots as usize) as u32,
        prefill_rate: number("prefill_rate", usual.prefill_rate as usize) as u64,
        engine: engine.filter_map(|it| it.as_str().map(str::to_owned)).collect(),
        settings: value.get("settings").cloned().unwrap_or_else(|| json!({})),
    })
}

/// Signals by the word that a script has for them.
const SIGNALS: [(&str, Signal); 4] = [
    ("kill", Signal::SIGKILL),
    ("freeze", Signal::SIGSTOP),
    ("thaw", Signal::SIGCONT),
    ("stop", Signal::SIGTERM),
];

fn faults(engine: &mut Engine) {
    for (word, signal) in SIGNALS {
        engine.register_fn(word, move |site: &mut Handle, place: i64| {
            site.lock().signal_node(place as usize, signal);
        });
        engine.register_fn(word, move |site: &mut Handle, name: &str| {
            site.lock().signal_standin(name, signal);
        });
    }
    engine.register_fn("fault", |site: &mut Handle, name: &str, faults: Map| -> Result<()> {
        let faults: Value = rhai::serde::from_dynamic(&Dynamic::from(faults))?;
        site.lock().fault(name, &faults);
        Ok(())
    });
    engine.register_fn("list", |site: &mut Handle, vm: &str, state: &str| -> Result<()> {
        let state: State = serde_json::from_value(json!(state)).map_err(|it| it.to_string())?;
        site.lock().list(vm, state);
        Ok(())
    });
}

fn requests(engine: &mut Engine) {
    engine.register_fn("ask", |site: &mut Handle, place: i64, options: Map| -> Result<Asked> {
        let sample = sample(&options)?;
        let answer = site.lock().ask(place as usize, sample);
        Ok(Asked { site: site.clone(), answer: Arc::new(Mutex::new(Some(answer))) })
    });
    engine.register_fn("whole", |site: &mut Handle, place: i64, options: Map| -> Result<Map> {
        let (status, body) = site.lock().whole(place as usize, &sample(&options)?);
        let mut map = Map::new();
        map.insert("status".into(), Dynamic::from(i64::from(status)));
        map.insert("body".into(), Dynamic::from(body));
        Ok(map)
    });
    engine.register_fn("wait", |asked: &mut Asked| -> Result<Dynamic> {
        let answer = asked.answer.lock().unwrap_or_else(PoisonError::into_inner).take();
        let answer = answer.ok_or("this answer was waited for before, or its caller left")?;
        let handle = asked.site.lock().runtime.handle().clone();
        let outcome = handle.block_on(answer).map_err(|it| it.to_string())?;
        rhai::serde::to_dynamic(&outcome)
    });
    engine.register_fn("done", |asked: &mut Asked| {
        let answer = asked.answer.lock().unwrap_or_else(PoisonError::into_inner);
        answer.as_ref().is_none_or(JoinHandle::is_finished)
    });
    engine.register_fn("leave", |asked: &mut Asked| {
        let answer = asked.answer.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(answer) = answer {
            answer.abort();
        }
    });
}

/// A request from a script's map: for a model unless it has a path.
fn sample(options: &Map) -> Result<Sample> {
    let value: Value = rhai::serde::from_dynamic(&Dynamic::from(options.clone()))?;
    let number = |name: &str, default: u64| value[name].as_u64().unwrap_or(default);
    let key = value["key"].as_str().map(str::to_owned);
    let mut sample = match value["path"].as_str() {
        Some(path) => Sample::service(path, None),
        None => {
            let (sequence, tokens) = (number("prompt", 1), number("tokens", 400));
            Sample::model(MODEL, sequence, tokens, number("max_tokens", 40))
        }
    };
    sample.key = key;
    sample.deadline_ms = number("deadline", 0);
    if let Some(organisation) = value["organisation"].as_str() {
        organisation.clone_into(&mut sample.organisation);
    }
    if let Some(stream) = value["stream"].as_bool() {
        sample.body["stream"] = json!(stream);
    }
    Ok(sample)
}

fn looks(engine: &mut Engine) {
    engine.register_fn("held", |site: &mut Handle| site.lock().held() as i64);
    engine
        .register_fn("serves", |site: &mut Handle, place: i64| site.lock().serves(place as usize));
    engine.register_fn("exit_code", |site: &mut Handle, place: i64| {
        site.lock().exit_code(place as usize).map_or(-1, i64::from)
    });
    engine.register_fn("status", |site: &mut Handle, place: i64| -> Result<Dynamic> {
        rhai::serde::to_dynamic(site.lock().status(place as usize))
    });
    engine.register_fn("counter", |site: &mut Handle, place: i64, name: &str| {
        site.lock().counter(place as usize, name) as i64
    });
    engine.register_fn("runs", |site: &mut Handle, name: &str, key: &str| {
        site.lock().look(name, "/counts")[key].as_i64().unwrap_or(0)
    });
    engine.register_fn("prefills", |site: &mut Handle, name: &str, prompt: i64, tokens: i64| {
        let text = load::prompt(prompt as u64, tokens as u64);
        site.lock().look(name, "/stats")["runs"][&text].as_i64().unwrap_or(0)
    });
    engine.register_fn("most_busy", |site: &mut Handle, name: &str| {
        site.lock().look(name, "/stats")["most_busy"].as_i64().unwrap_or(0)
    });
    engine.register_fn("look", |site: &mut Handle, name: &str, path: &str| -> Result<Dynamic> {
        rhai::serde::to_dynamic(site.lock().look(name, path))
    });
}

fn operators(engine: &mut Engine) {
    engine.register_fn("leave", |site: &mut Handle, place: i64, vm: &str| -> Result<Dynamic> {
        let path = format!("/vms/{vm}/leave");
        let answer = site.lock().operate(place as usize, Method::POST, &path);
        rhai::serde::to_dynamic(answer)
    });
    engine.register_fn("vm", |site: &mut Handle, place: i64, vm: &str| -> Result<Dynamic> {
        let path = format!("/vms/{vm}");
        let answer = site.lock().operate(place as usize, Method::GET, &path);
        rhai::serde::to_dynamic(answer)
    });
    engine.register_fn("crosslane", |site: &mut Handle, words: rhai::Array| -> Result<Map> {
        let (program, log) = {
            let site = site.lock();
            (site.binaries.command.clone(), site.fleet.log)
        };
        let words = words.into_iter().map(|it| it.to_string().replace("LOG", &log.to_string()));
        let output =
            Command::new(program).args(words).output().map_err(|error| error.to_string())?;
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let mut map = Map::new();
        let code = output.status.code().unwrap_or(-1);
        map.insert("code".into(), Dynamic::from(i64::from(code)));
        map.insert("out".into(), Dynamic::from(text(&output.stdout)));
        map.insert("err".into(), Dynamic::from(text(&output.stderr)));
        Ok(map)
    });
}

fn conditions(engine: &mut Engine) {
    engine.register_fn(
        "eventually",
        |context: NativeCallContext, what: &str, millis: i64, condition: FnPtr| -> Result<()> {
            let deadline = Instant::now() + Duration::from_millis(millis as u64);
            while !condition.call_within_context::<bool>(&context, ())? {
                if Instant::now() > deadline {
                    return Err(format!("not in {millis} ms: {what}").into());
                }
                std::thread::sleep(LOOK);
            }
            Ok(())
        },
    );
    engine.register_fn("check", |holds: bool, what: &str| -> Result<()> {
        if holds { Ok(()) } else { Err(format!("does not hold: {what}").into()) }
    });
    engine.register_fn("pause", |millis: i64| {
        std::thread::sleep(Duration::from_millis(millis as u64));
    });
}
