//! Policies: checked here, published and read through the platform's log.

use crate::arguments::{address, number, text};
use crate::config;
use crate::error::Error;
use clap::ArgMatches;
use crosslane_coordination::control_log::{Outcome, State};
use crosslane_coordination::program::{Input, Program};
use crosslane_coordination::record::Record;
use crosslane_protocol::envelope::{self, Raw};
use crosslane_protocol::platform::CONTROL_STREAM;
use crosslane_state::policy::{Publication, Version};
use crosslane_transport::http::Client;
use crosslane_transport::platform::{Platform, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for the log to answer.
const ANSWER: Duration = Duration::from_secs(3);

/// Pause before the log is asked again.
const PAUSE: Duration = Duration::from_millis(100);

/// Runs a subcommand of `policy`.
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let Some((verb, inner)) = matches.subcommand() else {
        return Ok(());
    };
    match verb {
        "check" => {
            let path = text(inner, "file")?;
            check(&config::read(&path)?)?;
            println!("{path}: the policy is right");
            Ok(())
        }
        "publish" => publish(inner).await,
        "withdraw" => withdraw(inner).await,
        "show" => show(inner).await,
        "history" => history(inner).await,
        _ => diff(inner).await,
    }
}

/// Compiles a policy and tries it on sample requests of every kind.
pub fn check(text: &str) -> Result<(), Error> {
    let sample = |method: &str, path: &str, prompt_tokens: i64| Input {
        organisation: "sample".to_owned(),
        model: if path.starts_with("/v1/") { "sample".to_owned() } else { String::new() },
        method: method.to_owned(),
        path: path.to_owned(),
        prompt_tokens,
        max_tokens: if prompt_tokens > 0 { 64 } else { 0 },
    };
    let samples = [
        sample("POST", "/v1/completions", 20),
        sample("POST", "/v1/chat/completions", 20_000),
        sample("GET", "/lookup", 0),
        sample("POST", "/confirm", 0),
    ];
    Program::check(text, &samples)?;
    Ok(())
}

/// A reader and writer of the control stream.
pub struct Journal {
    platform: Platform,
    /// Fold of what was read.
    pub state: State,
}

impl Journal {
    /// A journal that has read nothing.
    pub fn new(log: SocketAddr) -> Self {
        let platform = Platform::new(Client::default(), log, log, ANSWER);
        Self { platform, state: State::default() }
    }

    /// Reads to the tail.
    pub async fn read(&mut self) -> Result<(), Error> {
        let mut from = self.state.next_offset;
        loop {
            match self.platform.read(CONTROL_STREAM, from, Duration::ZERO).await? {
                Read::Trimmed { first } => from = first,
                Read::Page(page) => {
                    for (place, text) in page.records.iter().enumerate() {
                        let record = Record::try_from(Raw(text)).ok();
                        let _ = self.state.replay(page.from + place as u64, record);
                    }
                    let end = page.from + page.records.len() as u64;
                    let bridged = (page.first..end).contains(&self.state.next_offset);
                    from = if bridged { self.state.next_offset } else { end };
                    if from >= page.tail {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Appends a record; an error leaves open whether it was.
    pub async fn append(&self, record: &Record) -> Result<(), Error> {
        self.platform.append(CONTROL_STREAM, vec![envelope::encode(record)]).await?;
        Ok(())
    }

    /// Publishes, and reads back what became of it even if the log's answer was lost.
    pub async fn publish(&mut self, record: &Record, id: &str) -> Result<Outcome, Error> {
        let appended = self.append(record).await;
        let deadline = Instant::now() + ANSWER;
        loop {
            let read = self.read().await;
            if let Some(verdict) = self.state.outcome(id) {
                return Ok(verdict.clone());
            }
            if Instant::now() > deadline {
                appended?;
                read?;
                return Err(Error::failed(format!("publication {id} is not in the log")));
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}

async fn publish(matches: &ArgMatches) -> Result<(), Error> {
    let program = config::read(&text(matches, "file")?)?;
    check(&program)?;
    let mut journal = Journal::new(address(matches, "log")?);
    journal.read().await?;
    let base = matches.get_one::<u64>("base").copied().map(Version);
    let base = base.unwrap_or_else(|| journal.state.version());
    let given = matches.get_one::<String>("id").cloned();
    let id = given.unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
    let author = text(matches, "author")?;
    let record = Record::Publish { id: id.clone(), base, program, author };
    let verdict = journal.publish(&record, &id).await?;
    println!("publication {id}: {verdict}");
    let Outcome::Applied(version) = verdict else {
        return Err(Error::failed("the policy did not count; look at the newest and try again"));
    };
    if matches.get_flag("wait") {
        let patience = Duration::from_millis(number(matches, "patience-ms"));
        return accepted(&mut journal, version, patience).await;
    }
    Ok(())
}

async fn accepted(
    journal: &mut Journal,
    version: Version,
    patience: Duration,
) -> Result<(), Error> {
    let deadline = Instant::now() + patience;
    let mut shown = None;
    loop {
        let _ = journal.read().await;
        let found = journal.state.history.iter().find(|it| it.version == version);
        if found.is_some_and(|it| it.accepted) {
            println!("version {version}: accepted, in force in every failure domain");
            return Ok(());
        }
        let missing = journal.state.unconfirmed_domains();
        if journal.state.version() > version {
            return Err(Error::failed(format!("version {version} was replaced before acceptance")));
        }
        if Instant::now() > deadline {
            let message = format!("version {version} is not accepted; missing: {missing:?}");
            return Err(Error::failed(message));
        }
        if shown.as_ref() != Some(&missing) {
            println!("version {version}: waiting for {missing:?}");
            shown = Some(missing);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn withdraw(matches: &ArgMatches) -> Result<(), Error> {
    let id = text(matches, "id")?;
    let mut journal = Journal::new(address(matches, "log")?);
    journal.append(&Record::Withdraw { publication: id.clone() }).await?;
    journal.read().await?;
    match journal.state.outcome(&id) {
        Some(Outcome::Withdrawn) => {
            println!("publication {id}: withdrawn");
            Ok(())
        }
        _ => Err(Error::failed(format!("publication {id} was not open, so it stands as it was"))),
    }
}

async fn newest(matches: &ArgMatches) -> Result<Journal, Error> {
    let mut journal = Journal::new(address(matches, "log")?);
    journal.read().await?;
    Ok(journal)
}

async fn show(matches: &ArgMatches) -> Result<(), Error> {
    let journal = newest(matches).await?;
    match journal.state.history.back() {
        None => println!("version 0: the default policy"),
        Some(newest) => {
            println!("{}", line(newest));
            println!("{}", newest.program.trim_end());
        }
    }
    Ok(())
}

async fn history(matches: &ArgMatches) -> Result<(), Error> {
    for publication in &newest(matches).await?.state.history {
        println!("{}", line(publication));
    }
    Ok(())
}

fn line(publication: &Publication) -> String {
    let Publication { version, id, author, accepted, confirmed, .. } = publication;
    format!("version {version}: id {id}, author {author}, accepted {accepted}, in {confirmed:?}")
}

async fn diff(matches: &ArgMatches) -> Result<(), Error> {
    let journal = newest(matches).await?;
    let theirs = journal.state.program().unwrap_or_default().to_owned();
    let ours = config::read(&text(matches, "file")?)?;
    for line in theirs.lines().filter(|line| !ours.lines().any(|it| it == *line)) {
        println!("- {line}");
    }
    for line in ours.lines().filter(|line| !theirs.lines().any(|it| it == *line)) {
        println!("+ {line}");
    }
    Ok(())
}
