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
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

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
struct Kept {
    entry: Option<Entry>,
    until: Option<Instant>,
    avoided: BTreeSet<SocketAddr>,
}

/// Finds and keeps the address of one caller.
#[derive(Debug)]
pub struct Finder {
    seeds: Vec<SocketAddr>,
    kept: Mutex<Kept>,
}

impl Finder {
    /// A finder that asks `seeds` from the one at `first` on.
    pub fn open(mut seeds: Vec<SocketAddr>, first: usize) -> Self {
        let middle = first % seeds.len().max(1);
        seeds.rotate_left(middle);
        Self { seeds, kept: Mutex::default() }
    }

    /// The address to use now; `None` where no node answers.
    pub async fn find_address(&self, http: &Http) -> Option<SocketAddr> {
        let mut kept = self.kept.lock().await;
        let stale = kept.until.is_none_or(|until| until <= Instant::now());
        if stale || self.list_usable(&kept).is_empty() {
            self.ask_nodes(http, &mut kept).await?;
        }
        self.list_usable(&kept).first().copied()
    }

    /// Avoids an address that took no connection or said that it leaves.
    pub async fn avoid(&self, address: SocketAddr) {
        self.kept.lock().await.avoided.insert(address);
    }

    async fn ask_nodes(&self, http: &Http, kept: &mut Kept) -> Option<()> {
        for at in self.list_known(kept) {
            if let Some(entry) = ask_node(http, at).await {
                let until = Some(Instant::now() + Duration::from_millis(entry.keep_ms));
                *kept = Kept { entry: Some(entry), until, avoided: BTreeSet::new() };
                return Some(());
            }
        }
        None
    }

    fn list_usable(&self, kept: &Kept) -> Vec<SocketAddr> {
        let known = self.list_known(kept).into_iter();
        known.filter(|at| !kept.avoided.contains(at)).collect()
    }

    fn list_known(&self, kept: &Kept) -> Vec<SocketAddr> {
        let entry = kept.entry.iter();
        let answered =
            entry.flat_map(|entry| std::iter::once(&entry.address).chain(&entry.alternates));
        answered.chain(&self.seeds).copied().collect()
    }
}

async fn ask_node(http: &Http, at: SocketAddr) -> Option<Entry> {
    let asked = http.get_text(at, "/v1/entry");
    let (status, body) = tokio::time::timeout(ASK_TIMEOUT, asked).await.ok()?.ok()?;
    (status == 200).then(|| serde_json::from_slice(&body).ok())?
}
