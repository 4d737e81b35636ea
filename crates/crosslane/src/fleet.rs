//! Settings for several nodes before stand-ins on loopback.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// Key of the operators' port in demos and tests.
pub const KEY: &str = "demo-key";

/// Model that the engines serve.
pub const MODEL: &str = "reply";

/// Path prefix that the services serve.
pub const PREFIX: &str = "/booking";

/// Failure domains, in turn.
pub const DOMAINS: [&str; 3] = ["Aarau", "Olten", "Solothurn"];

/// Where the stand-ins listen, and what to change in the settings.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Log service.
    pub log: SocketAddr,
    /// VM list.
    pub vms: SocketAddr,
    /// Prefill engines.
    pub prefill: Vec<SocketAddr>,
    /// Decode engines.
    pub decode: Vec<SocketAddr>,
    /// Plain services.
    pub service: Vec<SocketAddr>,
    /// Slots of a decode engine.
    pub slots: u32,
    /// Tokens prefilled per second.
    pub prefill_rate: u64,
    /// Sections of the settings to replace, by name.
    pub extra: Value,
}

impl Fleet {
    /// Settings of a node, as text.
    pub fn settings(&self, node: usize) -> String {
        let any = "127.0.0.1:0";
        let mut settings = json!({
            "vm": format!("entry-{node}"),
            "domain": DOMAINS[node % DOMAINS.len()],
            "listen": { "callers": any, "forward": any, "control": any, "operator": any },
            "operator_key": KEY,
            "log": self.log,
            "vms": self.vms,
            "placement": { "prefill_rate": self.prefill_rate },
            "runners": self.runners(),
        });
        for (name, section) in self.extra.as_object().into_iter().flatten() {
            match settings[name].as_object_mut() {
                Some(object) => {
                    let entries = section.as_object().into_iter().flatten();
                    object.extend(entries.map(|(key, value)| (key.clone(), value.clone())));
                }
                None => settings[name] = section.clone(),
            }
        }
        settings.to_string()
    }

    fn runners(&self) -> Vec<Value> {
        let kinds = [
            ("prefill", &self.prefill, MODEL, 1),
            ("decode", &self.decode, MODEL, self.slots),
            ("service", &self.service, PREFIX, 100),
        ];
        let runner = |role: &str, serves: &str, slots: u32, place: usize, address: &SocketAddr| {
            json!({
                "name": format!("{role}-{place}"),
                "domain": DOMAINS[place % DOMAINS.len()],
                "address": address,
                "role": role,
                "serves": serves,
                "slots": slots,
            })
        };
        kinds
            .iter()
            .flat_map(|(role, addresses, serves, slots)| {
                let numbered = addresses.iter().enumerate();
                numbered.map(move |(place, it)| runner(role, serves, *slots, place, it))
            })
            .collect()
    }
}
