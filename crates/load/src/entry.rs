//! Which node a caller connects to.
//!
//! A caller asks any node, keeps the answer for the time that the answer
//! states, and connects there. An address that takes no connection is avoided
//! until the next answer; alternates come first, then the nodes known from
//! the start.

use crate::http::Http;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// How long a node may take to say which address to use.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

/// The answer of `GET /v1/entry`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Entry {
    /// The address to use.
    pub address: SocketAddr,
    /// Others, should it be dead.
    pub alternates: Vec<SocketAddr>,
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: u64,
}

#[derive(Debug, Default)]
struct Cached {
    entry: Option<Entry>,
    expires_at: Option<Instant>,
    avoided: BTreeSet<SocketAddr>,
}

/// Finds and keeps the address of one caller.
#[derive(Debug)]
pub struct Finder {
    seeds: Vec<SocketAddr>,
    cached: Mutex<Cached>,
}

impl Finder {
    /// A finder that asks `seeds` from the one at `first` on.
    pub fn open(mut seeds: Vec<SocketAddr>, first: usize) -> Self {
        let start = first % seeds.len().max(1);
        seeds.rotate_left(start);
        Self { seeds, cached: Mutex::default() }
    }

    /// The address to use now; `None` where no node answers.
    pub async fn find_address(&self, http: &Http) -> Option<SocketAddr> {
        let mut cached = self.cached.lock().await;
        let stale = cached.expires_at.is_none_or(|expires_at| expires_at <= Instant::now());
        if stale || self.usable_addresses(&cached).is_empty() {
            self.query_nodes(http, &mut cached).await?;
        }
        self.usable_addresses(&cached).first().copied()
    }

    /// Avoids an address that took no connection or said that it leaves.
    pub async fn avoid(&self, address: SocketAddr) {
        self.cached.lock().await.avoided.insert(address);
    }

    async fn query_nodes(&self, http: &Http, cached: &mut Cached) -> Option<()> {
        for at in self.known_addresses(cached) {
            if let Some(entry) = query_node(http, at).await {
                let expires_at = Some(Instant::now() + Duration::from_millis(entry.keep_ms));
                *cached = Cached { entry: Some(entry), expires_at, avoided: BTreeSet::new() };
                return Some(());
            }
        }
        None
    }

    fn usable_addresses(&self, cached: &Cached) -> Vec<SocketAddr> {
        let known = self.known_addresses(cached).into_iter();
        known.filter(|at| !cached.avoided.contains(at)).collect()
    }

    fn known_addresses(&self, cached: &Cached) -> Vec<SocketAddr> {
        let entry = cached.entry.iter();
        let answered =
            entry.flat_map(|entry| std::iter::once(&entry.address).chain(&entry.alternates));
        answered.chain(&self.seeds).copied().collect()
    }
}

async fn query_node(http: &Http, at: SocketAddr) -> Option<Entry> {
    let request = http.get_text(at, "/v1/entry");
    let (status, body) = tokio::time::timeout(ENTRY_TIMEOUT, request).await.ok()?.ok()?;
    (status == 200).then(|| serde_json::from_slice(&body).ok())?
}
