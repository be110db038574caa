//! Network traffic of the node processes by kind of remote end.
//!
//! The kernel counts the bytes of each connection, and `ss` prints the counts.

use crate::fleet::Fleet;
use eyre::{Context, Result, ensure};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::process::Command;

/// Bytes sent and received by one node, by kind of remote end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// With other nodes.
    pub peers: u64,
    /// With the platform's services.
    pub platform: u64,
    /// With targets.
    pub targets: u64,
}

/// A connection of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection {
    /// The process.
    pub pid: u32,
    /// The local address.
    pub local: SocketAddr,
    /// The remote address.
    pub remote: SocketAddr,
    /// Bytes sent and received.
    pub bytes: u64,
}

/// Returns all TCP connections of the machine.
pub fn read_connections() -> Result<Vec<Connection>> {
    let output = Command::new("ss")
        .args(["-tinpH"])
        .output()
        .context("running ss, of the package iproute2")?;
    ensure!(output.status.success(), "ss failed: {}", String::from_utf8_lossy(&output.stderr));
    Ok(parse_connections(&String::from_utf8_lossy(&output.stdout)))
}

/// Returns the traffic of each node between two readings.
///
/// The traffic of connections that were closed in between is unknown. The result is
/// a lower bound, which is accurate only if connections are long-lived.
pub fn measure_traffic(fleet: &Fleet, before: &[Connection], after: &[Connection]) -> Vec<Traffic> {
    let standins = &fleet.standins;
    let peers: HashSet<_> = fleet.nodes.iter().map(|node| node.address.peers).collect();
    let platform = standins.platform();
    let platform = HashSet::from([platform.store, platform.hosts, platform.weights]);
    let replicas = standins.replicas.iter().map(|replica| replica.address());
    let targets: HashSet<_> = fleet.engine_addresses().into_iter().chain(replicas).collect();
    let transferred = subtract_bytes(before, after);
    let sum = |pid: u32, endpoints: &HashSet<SocketAddr>| {
        let own = transferred.iter().filter(|connection| connection.pid == pid);
        let chosen = own.filter(|c| endpoints.contains(&c.remote) || endpoints.contains(&c.local));
        chosen.map(|connection| connection.bytes).sum()
    };
    let pids = fleet.nodes.iter().map(|node| node.process.pid());
    pids.map(|pid| Traffic {
        peers: sum(pid, &peers),
        platform: sum(pid, &platform),
        targets: sum(pid, &targets),
    })
    .collect()
}

/// Returns the connections of `after` with the bytes transferred since `before`.
/// All bytes of a new connection count.
pub fn subtract_bytes(before: &[Connection], after: &[Connection]) -> Vec<Connection> {
    let known: HashMap<_, _> =
        before.iter().map(|c| ((c.pid, c.local, c.remote), c.bytes)).collect();
    let transferred = after.iter().map(|connection| {
        let key = (connection.pid, connection.local, connection.remote);
        // A lower count than before means a new connection between the same ports.
        let earlier = known.get(&key).copied().filter(|bytes| *bytes <= connection.bytes);
        Connection { bytes: connection.bytes - earlier.unwrap_or(0), ..*connection }
    });
    transferred.collect()
}

/// Parses the output of `ss -tinpH`: for each connection, a line with the addresses
/// and the process, followed by an indented line with the counts.
pub fn parse_connections(text: &str) -> Vec<Connection> {
    let mut lines = text.lines().peekable();
    let mut connections = Vec::new();
    while let Some(line) = lines.next() {
        let counts = lines.next_if(|next| next.starts_with([' ', '\t'])).unwrap_or("");
        connections.extend(parse_connection(line, counts));
    }
    connections
}

fn parse_connection(line: &str, counts: &str) -> Option<Connection> {
    let mut words = line.split_whitespace();
    let local = words.nth(3)?.parse().ok()?;
    let remote = words.next()?.parse().ok()?;
    let (_, rest) = line.split_once("pid=")?;
    let pid = rest.split(',').next()?.parse().ok()?;
    let count = |name: &str| {
        let words = counts.split_whitespace();
        words.filter_map(|word| word.strip_prefix(name)?.parse::<u64>().ok()).next().unwrap_or(0)
    };
    let bytes = count("bytes_sent:") + count("bytes_received:");
    Some(Connection { pid, local, remote, bytes })
}
