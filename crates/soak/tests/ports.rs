//! Ports of endpoints beside those of nodes.

use crosslane_platform_standins::ports;
use std::fs;
use std::net::{IpAddr, Ipv4Addr};

/// Ports drawn: if half of them are taken, one of those is among these but for one run in 2^100.
const DRAWS: usize = 100;

/// An endpoint that took a port of a node which had not started kept that node from starting.
#[test]
fn no_endpoint_takes_a_port_of_a_node() {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let bounds: Vec<u16> = range.split_whitespace().map(|it| it.parse().unwrap()).collect();
    // Whatever part of its range and whichever parity the system prefers, half of those ports are taken.
    let taken: Vec<u16> = (bounds[0]..=bounds[1]).filter(|port| port % 4 < 2).collect();
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    for _ in 0..DRAWS {
        let port = ports::free_except(ip, &taken).unwrap();
        assert!(!taken.contains(&port), "{port}");
    }
}
