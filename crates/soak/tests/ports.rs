//! Ports of endpoints beside those of nodes.

use crosslane_platform_standins::ports;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, TcpListener};

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

/// Listeners at the second address: one of the ports drawn is among theirs but for one run in 100,000.
const TAKEN: usize = 400;

/// Ports were looked for at the first node's address, so a node whose address a former site had used could not start.
#[test]
fn ports_of_nodes_are_free_at_all_addresses() {
    let ips = [IpAddr::V4(Ipv4Addr::new(127, 99, 1, 1)), IpAddr::V4(Ipv4Addr::new(127, 99, 1, 2))];
    let held: Vec<TcpListener> =
        (0..TAKEN).map(|_| TcpListener::bind((ips[1], 0)).unwrap()).collect();
    let taken: Vec<u16> = held.iter().map(|it| it.local_addr().unwrap().port()).collect();
    for _ in 0..2 * DRAWS {
        let [port]: [u16; 1] = ports::free_at_all(&ips).unwrap();
        assert!(!taken.contains(&port) && !taken.contains(&(port + 1)), "{port}");
    }
}
