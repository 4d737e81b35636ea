//! Logs by log4rs: one line per event, as key=value pairs or as JSON, on standard error.

use crate::error::Error;
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::{Encode, Write, json::JsonEncoder};
use std::time::{SystemTime, UNIX_EPOCH};

/// Libraries whose lines below a warning are left out.
const QUIET: [&str; 3] = ["ractor", "tarpc", "hyper"];

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

/// Sets up logging for the process.
pub fn start(json: bool) -> Result<(), Error> {
    let encoder: Box<dyn Encode> =
        if json { Box::new(JsonEncoder::new()) } else { Box::new(Pairs) };
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let failed = |message: String| Error::Logs { message };
    let quiet = QUIET.map(|name| Logger::builder().build(name, LevelFilter::Warn));
    let config = Config::builder()
        .loggers(quiet)
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))
        .map_err(|error| failed(error.to_string()))?;
    log4rs::init_config(config).map(drop).map_err(|error| failed(error.to_string()))
}
