//! The story of one request, from the log lines of any number of nodes.

use crate::error::Error;
use crosslane_gateway::event;
use serde_json::{Map, Value};
use std::fmt::{Display, Formatter, Result as Written};
use std::io::BufRead;

/// Fields that every line has, or that the story gives otherwise.
const COMMON: [&str; 3] = ["time_ms", "event", "request"];

/// One line that names the request.
#[derive(Debug)]
struct Line {
    time: u64,
    event: String,
    fields: Map<String, Value>,
}

/// All lines that name a request, in order of time.
#[derive(Debug, Default)]
pub struct Story {
    id: String,
    lines: Vec<Line>,
    /// Lines that are no JSON objects of ours.
    skipped: u64,
    /// Lines that the nodes dropped under load.
    dropped: u64,
}

impl Story {
    /// Reads the lines that name a request.
    pub fn read(id: &str, input: impl BufRead) -> Result<Self, Error> {
        let mut story = Self { id: id.to_owned(), ..Self::default() };
        for line in input.lines() {
            story.take(&line?);
        }
        story.lines.sort_by_key(|it| it.time);
        Ok(story)
    }

    fn take(&mut self, text: &str) {
        // Collectors put the node's name and their own time before the object.
        let object = text.find('{').map(|at| &text[at..]);
        let parsed = object.and_then(|it| serde_json::from_str::<Map<String, Value>>(it).ok());
        let Some(fields) = parsed.filter(|it| it.contains_key("event")) else {
            self.skipped += u64::from(!text.trim().is_empty());
            return;
        };
        let event = fields["event"].as_str().unwrap_or_default().to_owned();
        if event == event::DROPPED {
            self.dropped += fields.get("lines").and_then(Value::as_u64).unwrap_or_default();
        }
        if fields.get("request").and_then(Value::as_str) == Some(self.id.as_str()) {
            let time = fields.get("time_ms").and_then(Value::as_u64).unwrap_or_default();
            self.lines.push(Line { time, event, fields });
        }
    }

    /// Whether no line names the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The cause of the request's ending, in one line.
    pub fn cause(&self) -> String {
        let ended = self.lines.iter().rfind(|it| it.event == event::REQUEST);
        let Some(ended) = ended else {
            let last = self.lines.last().map(summary).unwrap_or_default();
            return format!("no ending: its node was killed or dropped the line, after {last}");
        };
        let ending = text(ended, "ending");
        let trouble = [
            event::ATTEMPT,
            event::HELD_BACK,
            event::FORWARD,
            event::SILENT,
            event::CUT,
            event::RESERVE,
            event::STRUCK,
            event::BARRED,
        ];
        let before = self.lines.iter().rfind(|it| trouble.contains(&it.event.as_str()));
        let took = text(ended, "took_ms");
        match (ending.as_str(), before) {
            ("answered", None) => format!("answered at the first attempt after {took} ms"),
            ("answered", Some(line)) => format!("answered after {took} ms and {}", summary(line)),
            ("caller_left", None) => format!("the caller left after {took} ms"),
            ("caller_left", Some(line)) => {
                format!("the caller left after {took} ms and {}", summary(line))
            }
            (ending, None) => format!("{ending}, with nothing sent to an endpoint"),
            (ending, Some(line)) => format!("{ending}: {}", summary(line)),
        }
    }
}

/// What a line says besides its time.
fn summary(line: &Line) -> String {
    let fields = line.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str()));
    let pairs: Vec<String> =
        fields.map(|(name, value)| format!("{name}={}", plain(value))).collect();
    format!("{} {}", line.event, pairs.join(" "))
}

fn text(line: &Line, field: &str) -> String {
    line.fields.get(field).map(plain).unwrap_or_default()
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

impl Display for Story {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Written {
        let start = self.lines.first().map_or(0, |it| it.time);
        writeln!(formatter, "request {}", self.id)?;
        for line in &self.lines {
            writeln!(formatter, "  +{} ms  {}", line.time - start, summary(line))?;
        }
        writeln!(formatter, "cause: {}", self.cause())?;
        if self.skipped + self.dropped > 0 {
            let (skipped, dropped) = (self.skipped, self.dropped);
            writeln!(formatter, "{skipped} lines could not be read; nodes dropped {dropped}")?;
        }
        Ok(())
    }
}

/// Reads log lines from standard input and prints the story of a request.
pub fn run(id: &str) -> Result<(), Error> {
    let story = Story::read(id, std::io::stdin().lock())?;
    if story.is_empty() {
        return Err(Error::failed(format!("no line names request {id}")));
    }
    print!("{story}");
    Ok(())
}
