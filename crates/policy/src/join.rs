//! Contact with seeds: addresses where other nodes may be.
//!
//! Load pattern: a thousand nodes start at once and know only the same few seeds.

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between messages to seeds at first.
const MIN_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of times that the interval is doubled.
const MAX_DOUBLINGS: u32 = 2;

/// Each interval varies by this fraction, so that nodes that started together don't ask together.
const JITTER: f64 = 0.25;

/// The addresses of the seeds and when to ask them.
#[derive(Clone, Debug)]
pub(crate) struct Seeds {
    addresses: Vec<SocketAddr>,
    asked: u32,
    next_at: Option<Instant>,
}

impl Seeds {
    pub(crate) fn new(mut addresses: Vec<SocketAddr>, random: &mut SmallRng) -> Self {
        addresses.shuffle(random);
        Self { addresses, asked: 0, next_at: None }
    }

    /// Adds the addresses that are new.
    pub(crate) fn add(&mut self, addresses: impl Iterator<Item = SocketAddr>) {
        for address in addresses {
            if !self.addresses.contains(&address) {
                self.addresses.push(address);
            }
        }
    }

    /// Returns the seeds to ask now. `own` is this node's address.
    ///
    /// At first a node asks all seeds, since each may have been joined by different nodes. It then
    /// asks one at a time and less and less often, in an order that differs between nodes.
    pub(crate) fn next(
        &mut self,
        now: Instant,
        own: SocketAddr,
        random: &mut SmallRng,
    ) -> Vec<SocketAddr> {
        if self.next_at.is_some_and(|at| now < at) {
            return Vec::new();
        }
        let doublings = self.asked.min(MAX_DOUBLINGS);
        let jitter = random.random_range(1.0 - JITTER..1.0 + JITTER);
        self.next_at = Some(now + (MIN_INTERVAL * 2_u32.pow(doublings)).mul_f64(jitter));
        self.asked += 1;
        let mut others: Vec<SocketAddr> =
            self.addresses.iter().copied().filter(|seed| *seed != own).collect();
        if self.asked > 1 && !others.is_empty() {
            let index = self.asked as usize % others.len();
            others = vec![others[index]];
        }
        others
    }
}
