//! Leaving VMs and the status of nodes, through a node's operator port.

use crate::arguments::{KEY_VARIABLE, address, text};
use crate::config;
use crate::error::Error;
use clap::ArgMatches;
use crosslane_transport::http::{Call, Client};
use hyper::Method;
use hyper::header::{AUTHORIZATION, HeaderValue};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for a node to answer.
const ANSWER: Duration = Duration::from_secs(5);

/// Time between looks while waiting.
const LOOK: Duration = Duration::from_millis(200);

/// Operator port of a node, and the key to it.
#[derive(Clone, Debug)]
pub struct Access {
    node: SocketAddr,
    key: String,
    client: Client,
}

impl TryFrom<&ArgMatches> for Access {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self, Error> {
        Ok(Self::new(address(matches, "node")?, &key(matches)?))
    }
}

/// The operators' key, from a file or the environment.
pub fn key(matches: &ArgMatches) -> Result<String, Error> {
    match matches.get_one::<String>("key-file") {
        Some(path) => Ok(config::read(path)?.trim().to_owned()),
        None => Ok(std::env::var(KEY_VARIABLE).unwrap_or_default()),
    }
}

impl Access {
    /// Access to a node with a key.
    pub fn new(node: SocketAddr, key: &str) -> Self {
        Self { node, key: key.to_owned(), client: Client::default() }
    }

    /// Makes one call and returns the JSON answer.
    pub async fn call(&self, method: Method, path: &str) -> Result<Value, Error> {
        let mut call = Call::new(method, self.node, path);
        let header = HeaderValue::from_str(&format!("Bearer {}", self.key));
        let wrong = |_| Error::Argument { message: "the key has odd characters".to_owned() };
        call.headers.insert(AUTHORIZATION, header.map_err(wrong)?);
        Ok(self.client.fetch(call, ANSWER).await?)
    }
}

/// Shows a node's status.
pub async fn status(access: &Access) -> Result<(), Error> {
    show(&access.call(Method::GET, "/status").await?);
    Ok(())
}

/// Runs a subcommand of `vm`.
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let Some((verb, inner)) = matches.subcommand() else {
        return Ok(());
    };
    let access = Access::try_from(inner)?;
    let vm = text(inner, "vm")?;
    match verb {
        "leave" | "stop" => {
            show(&access.call(Method::POST, &format!("/vms/{vm}/leave")).await?);
            let waits = verb == "stop" || inner.get_flag("wait");
            if waits { wait(&access, &vm).await } else { Ok(()) }
        }
        "back" => {
            show(&access.call(Method::POST, &format!("/vms/{vm}/back")).await?);
            Ok(())
        }
        _ if inner.get_flag("wait") => wait(&access, &vm).await,
        _ => {
            show(&access.call(Method::GET, &format!("/vms/{vm}")).await?);
            Ok(())
        }
    }
}

/// Waits until a VM is safe to stop, printing what changes.
async fn wait(access: &Access, vm: &str) -> Result<(), Error> {
    let mut last = Value::Null;
    loop {
        let now = access.call(Method::GET, &format!("/vms/{vm}")).await?;
        if now != last {
            show(&now);
        }
        if now["safe_to_stop"] == true {
            return Ok(());
        }
        last = now;
        tokio::time::sleep(LOOK).await;
    }
}

fn show(value: &Value) {
    println!("{value:#}");
}
