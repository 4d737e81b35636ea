//! Logs by log4rs: one line per event, as key=value pairs or as JSON, on standard error.
//!
//! A node on the platform writes JSON lines to standard output instead, through a bounded queue
//! and a thread of its own, so that a slow reader never holds up a request. Lines that find the
//! queue full are dropped, and the next line that is written tells how many.

use crate::error::Error;
use crosslane_gateway::event;
use crosslane_gateway::metrics::LINES_DROPPED;
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record, error};
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::writer::simple::SimpleWriter;
use log4rs::encode::{Encode, Write, json::JsonEncoder};
use serde_json::{Map, json};
use std::io::Write as _;
use std::panic;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Libraries whose lines below a warning are left out.
const QUIET: [&str; 3] = ["ractor", "tarpc", "hyper"];

/// Lines that wait for a slow reader: some seconds at a node's usual rate, about 1 MB.
const QUEUED_LINES: usize = 4_096;

/// Longest wait for queued lines at the end of the process, in steps of `FLUSH_STEP`.
const FLUSH_STEPS: usize = 20;

/// Step of the wait for queued lines.
const FLUSH_STEP: Duration = Duration::from_millis(5);

/// Lines queued and not written yet.
static WAITING: AtomicU64 = AtomicU64::new(0);

/// Name of the one appender.
const APPENDER: &str = "stderr";

/// Writes a record as key=value pairs.
#[derive(Debug)]
struct Pairs;

struct Visitor<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for Visitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

impl Encode for Pairs {
    fn encode(&self, writer: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        write!(writer, "time={}.{:03}", time.as_secs(), time.subsec_millis())?;
        write!(writer, " level={}", record.level())?;
        record.key_values().visit(&mut Visitor(writer))?;
        let message = record.args().to_string();
        if !message.is_empty() {
            write!(writer, " message={message:?}")?;
        }
        writeln!(writer)?;
        Ok(())
    }
}

/// Writes a record as one JSON object.
#[derive(Debug)]
struct Lines;

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(whole), _, _) => json!(whole),
            (_, Some(number), _) => json!((number * 1_000.0).round() / 1_000.0),
            (_, _, Some(truth)) => json!(truth),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

impl Encode for Lines {
    fn encode(&self, writer: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut fields = Fields(Map::new());
        fields.0.insert("time_ms".into(), json!(time.as_millis() as u64));
        fields.0.insert("event".into(), json!(record.args().to_string()));
        record.key_values().visit(&mut fields)?;
        serde_json::to_writer(&mut *writer, &fields.0)?;
        writeln!(writer)?;
        Ok(())
    }
}

/// Hands lines to the thread that writes them.
#[derive(Debug)]
struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Vec::new();
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let told = json!({"time_ms": time.as_millis() as u64, "event": event::DROPPED, "lines": dropped});
            writeln!(line, "{told}")?;
        }
        Lines.encode(&mut SimpleWriter(&mut line), record)?;
        WAITING.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            WAITING.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
            LINES_DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn write(lines: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    for line in lines {
        // Nobody reads: there is nowhere left to say so.
        let _ = out.write_all(&line).and_then(|()| out.flush());
        WAITING.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sets up logging of a node on the platform.
pub fn start_queued() -> Result<(), Error> {
    let (lines, queued) = sync_channel(QUEUED_LINES);
    thread::Builder::new().name("logs".into()).spawn(move || write(&queued))?;
    init(Box::new(Queue { lines, dropped: AtomicU64::new(0) }))
}

/// Logs panics as events, beside the message on standard error.
pub fn log_panics() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let at = info.location().map(ToString::to_string).unwrap_or_default();
        let why = info.payload_as_str().unwrap_or_default();
        error!(why, at; "{}", event::PANICKED);
        print(info);
    }));
}

/// Waits a moment for queued lines to be written.
pub fn flush() {
    for _ in 0..FLUSH_STEPS {
        if WAITING.load(Ordering::Relaxed) == 0 {
            return;
        }
        thread::sleep(FLUSH_STEP);
    }
}

/// Sets up logging for the process.
pub fn start(json: bool) -> Result<(), Error> {
    let encoder: Box<dyn Encode> =
        if json { Box::new(JsonEncoder::new()) } else { Box::new(Pairs) };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    init(Box::new(appender))
}

fn init(appender: Box<dyn Append>) -> Result<(), Error> {
    let failed = |message: String| Error::Logs { message };
    let quiet = QUIET.map(|name| Logger::builder().build(name, LevelFilter::Warn));
    let config = Config::builder()
        .loggers(quiet)
        .appender(Appender::builder().build(APPENDER, appender))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))
        .map_err(|error| failed(error.to_string()))?;
    log4rs::init_config(config).map(drop).map_err(|error| failed(error.to_string()))
}
