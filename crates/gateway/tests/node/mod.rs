//! Settings of a node without sockets, shared by the tests.

use crosslane_coordination::allowance::Budget;
use crosslane_coordination::limits::ColdTolerance;
use crosslane_platform::settings::{Adjustable, Fixed, Settings};

/// Failure domain of the node.
pub const DOMAIN: &str = "aarau";

pub fn settings() -> Settings {
    let address = "127.0.0.1:1".parse().unwrap();
    let fixed = Fixed {
        vm: "n3".into(),
        ip: "127.0.0.1".parse().unwrap(),
        domain: DOMAIN.into(),
        caller_address: address,
        readiness_address: address,
        peer_port: 1,
        forward_port: None,
        store_address: address,
        lease_ms: 3_000,
        first_start: true,
    };
    let adjustable = Adjustable {
        regions: Default::default(),
        seeds: Vec::new(),
        link_bytes_per_second: 1_250_000,
        grace_ms: 8_000,
        retry_budget: Budget { ratio: 0.2, slack: 50.0, window_ms: 10_000 },
        quota: Default::default(),
        cold: ColdTolerance { factor: 1.5, slack: 5.0 },
    };
    Settings { fixed, adjustable }
}
