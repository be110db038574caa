//! Measures what membership gossip costs a fleet that starts, and how long it takes.
//!
//! `cargo run --release -p hickory-policy --example membership -- --nodes 100,1000,2000`

#[path = "../tests/network/mod.rs"]
#[expect(dead_code, reason = "the tests also stop, restart and suspend nodes")]
mod network;

use clap::Parser;
use network::Network;
use std::time::Duration;

/// The time for which each fleet runs; by then no start causes any traffic.
const RUN_TIME: Duration = Duration::from_secs(10);

/// Measures the start of fleets.
#[derive(Parser)]
struct Options {
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1000])]
    nodes: Vec<usize>,
    /// Seed of the network.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() {
    let options = Options::parse();
    println!("nodes  known by all  bytes sent by a node in {} s", RUN_TIME.as_secs());
    println!("            seconds     median    highest       mean");
    for nodes in options.nodes {
        let mut network = Network::start(nodes, options.seed);
        let known = network.run_until(RUN_TIME, |network| network.unknown_pairs() == 0);
        network.run_for(RUN_TIME.saturating_sub(network.now));
        let mut sent = network.bytes_by_node.clone();
        sent.sort_unstable();
        let known = known.map_or("-".to_owned(), |time| format!("{:.2}", time.as_secs_f64()));
        let mean = network.bytes_sent() / nodes as u64;
        println!("{nodes:5}  {known:>12}  {:9}  {:9}  {mean:9}", sent[nodes / 2], sent[nodes - 1]);
    }
}
