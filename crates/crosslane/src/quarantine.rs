//! Requests and segments of prompts that are shut out because endpoints ended under them: listed, and let in again.

use crate::arguments::{address, text};
use crate::error::Error;
use clap::ArgMatches;
use crosslane_coordination::ruling::Ruling;
use crosslane_gateway::rulings::{self, Entry, Subject};
use crosslane_platform::store::Client;

/// Runs a subcommand of `quarantine`.
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let Some((verb, inner)) = matches.subcommand() else {
        return Ok(());
    };
    let mut client = Client::new(address(inner, "store")?);
    match verb {
        "list" => list(&mut client).await,
        _ => lift(&mut client, &text(inner, "fingerprint")?).await,
    }
}

async fn list(client: &mut Client) -> Result<(), Error> {
    for Entry { subject, ruling } in rulings::list(client).await? {
        let (key, Ruling { verdict, at }) = (subject.key(), ruling);
        match subject {
            Subject::Request(_) => println!("{key}  {verdict}  since {at} ms of Unix time"),
            Subject::Segments(pattern) => {
                println!("{key}  {verdict}  since {at} ms of Unix time  prompts with {pattern}");
            }
        }
    }
    Ok(())
}

async fn lift(client: &mut Client, fingerprint: &str) -> Result<(), Error> {
    let listed = rulings::list(client).await?.into_iter().map(|entry| entry.subject);
    let subject = listed.into_iter().find(|subject| subject.key() == fingerprint);
    let subject = match subject {
        Some(subject) => subject,
        None => Subject::Request(
            fingerprint
                .parse()
                .map_err(|error| Error::Argument { message: format!("{fingerprint}: {error}") })?,
        ),
    };
    rulings::lift(client, subject).await?;
    println!("{fingerprint}: lifted; nodes hear of it within seconds");
    Ok(())
}
