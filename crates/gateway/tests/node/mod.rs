//! Settings of a node without sockets, shared by the tests.

use crosslane_platform::settings::Settings;

/// Failure domain of the node.
pub const DOMAIN: &str = "aarau";

pub fn settings() -> Settings {
    let address = "127.0.0.1:1".parse().unwrap();
    Settings {
        vm: "n3".into(),
        ip: "127.0.0.1".parse().unwrap(),
        domain: DOMAIN.into(),
        callers: address,
        ready: address,
        peer_port: 1,
        seeds: Vec::new(),
        store: address,
        link: 1_250_000,
        grace: 8_000,
        lease: 3_000,
        retry_ratio: 0.2,
        retry_slack: 50.0,
        retry_window: 10_000,
        quota: Default::default(),
    }
}
