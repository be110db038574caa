//! Bytes on the sockets of the node processes, by what they lead to.
//!
//! The kernel counts them for each connection; `ss` prints the counts.

use crate::fleet::Fleet;
use eyre::{Context, Result, ensure};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::process::Command;

/// Bytes sent and received by one node.
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
    /// Its end.
    pub local: SocketAddr,
    /// The other end.
    pub remote: SocketAddr,
    /// Bytes sent and received.
    pub bytes: u64,
}

/// Reads all connections of the machine.
pub fn read_connections() -> Result<Vec<Connection>> {
    let output = Command::new("ss").args(["-tinpH"]).output().context("ss, of iproute2")?;
    ensure!(output.status.success(), "ss: {}", String::from_utf8_lossy(&output.stderr));
    Ok(parse_connections(&String::from_utf8_lossy(&output.stdout)))
}

/// The traffic of each node between two readings.
///
/// What went over connections that were closed in between is not known: a
/// lower bound, and close to the truth only where connections last.
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

/// The connections of `after` with the bytes that passed since `before`; a
/// new connection counts whole.
pub fn subtract_bytes(before: &[Connection], after: &[Connection]) -> Vec<Connection> {
    let known: HashMap<_, _> =
        before.iter().map(|c| ((c.pid, c.local, c.remote), c.bytes)).collect();
    let transferred = after.iter().map(|connection| {
        let key = (connection.pid, connection.local, connection.remote);
        // Fewer bytes than before: the same ports, but a new connection.
        let earlier = known.get(&key).copied().filter(|bytes| *bytes <= connection.bytes);
        Connection { bytes: connection.bytes - earlier.unwrap_or(0), ..*connection }
    });
    transferred.collect()
}

/// Reads what `ss -tinpH` prints: a line with the ends and the process, and
/// an indented one with the counts.
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
