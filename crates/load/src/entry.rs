//! Service discovery of callers: which node to connect to.
//!
//! A caller queries any node and caches the answer for the time that the answer
//! states. An address that refuses connections is avoided until the next query;
//! the caller falls back to the alternates of the answer first, then to the seed
//! nodes.

use crate::http::Http;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Timeout of a query for the entry address.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// The answer of `GET /v1/entry`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// The address to use.
    pub address: SocketAddr,
    /// Fallback addresses, in case the node is down.
    pub alternates: Vec<SocketAddr>,
    /// Time that the answer may be cached, in milliseconds.
    pub keep_ms: u64,
}

#[derive(Debug, Default)]
struct Cached {
    entry: Option<Entry>,
    expires_at: Option<Instant>,
    avoided: BTreeSet<SocketAddr>,
}

/// Queries and caches the entry address of one caller.
#[derive(Debug)]
pub struct Finder {
    seeds: Vec<SocketAddr>,
    cached: Mutex<Cached>,
}

impl Finder {
    /// Creates a finder that queries `seeds` in order, starting at index `first`.
    pub fn open(mut seeds: Vec<SocketAddr>, first: usize) -> Self {
        let start = first % seeds.len().max(1);
        seeds.rotate_left(start);
        Self { seeds, cached: Mutex::default() }
    }

    /// Returns the address to connect to, or `None` if no node answers.
    pub async fn find_address(&self, http: &Http) -> Option<SocketAddr> {
        let mut cached = self.cached.lock().await;
        let stale = cached.expires_at.is_none_or(|expires_at| expires_at <= Instant::now());
        if stale || self.usable_addresses(&cached).is_empty() {
            self.query_nodes(http, &mut cached).await?;
        }
        self.usable_addresses(&cached).first().copied()
    }

    /// Avoids an address that refused a connection or whose node is draining.
    pub async fn avoid(&self, address: SocketAddr) {
        self.cached.lock().await.avoided.insert(address);
    }

    async fn query_nodes(&self, http: &Http, cached: &mut Cached) -> Option<()> {
        for address in self.known_addresses(cached) {
            if let Some(entry) = query_node(http, address).await {
                let expires_at = Some(Instant::now() + Duration::from_millis(entry.keep_ms));
                *cached = Cached { entry: Some(entry), expires_at, avoided: BTreeSet::new() };
                return Some(());
            }
        }
        None
    }

    fn usable_addresses(&self, cached: &Cached) -> Vec<SocketAddr> {
        let known = self.known_addresses(cached).into_iter();
        known.filter(|address| !cached.avoided.contains(address)).collect()
    }

    fn known_addresses(&self, cached: &Cached) -> Vec<SocketAddr> {
        let entry = cached.entry.iter();
        let answered =
            entry.flat_map(|entry| std::iter::once(&entry.address).chain(&entry.alternates));
        answered.chain(&self.seeds).copied().collect()
    }
}

async fn query_node(http: &Http, address: SocketAddr) -> Option<Entry> {
    let request = http.get_text(address, "/v1/entry");
    let (status, body) = tokio::time::timeout(ENTRY_TIMEOUT, request).await.ok()?.ok()?;
    (status == 200).then(|| serde_json::from_slice(&body).ok())?
}
