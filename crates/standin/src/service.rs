//! A replica of a plain service, which counts the runs of its calls.

use crate::server::{self, Call, Reply};
use hickory_target::service::Report;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How a replica behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time that a call takes.
    pub time: Duration,
    /// Calls that it bears at once.
    pub calls_max: u32,
    /// Where the runs are counted; replicas of one service share it.
    pub runs: Runs,
}

impl Default for Options {
    fn default() -> Self {
        Self { time: Duration::from_millis(1), calls_max: 64, runs: Runs::default() }
    }
}

/// Runs by idempotency key; outlives restarts, as a service's books do.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    counts: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Runs {
    /// How often calls with `key` ran.
    pub fn of(&self, key: &str) -> u32 {
        self.lock().get(key).copied().unwrap_or(0)
    }

    /// All counts.
    pub fn all(&self) -> BTreeMap<String, u32> {
        self.lock().clone()
    }

    fn add(&self, key: &str) {
        *self.lock().entry(key.to_owned()).or_default() += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A replica.
#[derive(Clone, Debug)]
pub struct Replica {
    options: Options,
    running: Arc<AtomicU32>,
    faults: crate::fault::Faults,
}

/// A running replica.
pub type Handle = server::Handle<Replica>;

/// Serves a replica.
pub fn spawn(listen: SocketAddr, options: Options) -> std::io::Result<Handle> {
    let faults = crate::fault::Faults::none();
    let replica = Replica { options, running: Arc::default(), faults: faults.clone() };
    server::spawn_with(listen, replica, faults)
}

impl Replica {
    /// The counted runs.
    pub fn runs(&self) -> &Runs {
        &self.options.runs
    }

    /// Echoes the call, after it was counted.
    async fn run(&self, call: Call) -> Reply {
        let key = call.headers.get("idempotency-key").and_then(|key| key.to_str().ok());
        if let Some(key) = key {
            self.options.runs.add(key);
        }
        let _running = Running::enter(&self.running);
        tokio::time::sleep(self.options.time).await;
        let body = String::from_utf8_lossy(&call.body).into_owned();
        Reply::json(&Echo { path: call.path, key: key.map(str::to_owned), body })
    }

    fn report(&self) -> Report {
        Report {
            incarnation: self.faults.incarnation(),
            running: self.running.load(Ordering::SeqCst),
            calls_max: self.options.calls_max,
            warmth: 100,
        }
    }
}

/// The answer of a stand-in service: what was called.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Echo {
    /// The whole path.
    pub path: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The body.
    pub body: String,
}

struct Running<'a>(&'a AtomicU32);

impl<'a> Running<'a> {
    fn enter(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl server::Service for Replica {
    async fn call(&self, call: Call) -> Reply {
        match call.path.as_str() {
            "/report" => Reply::json(&self.report()),
            "/runs" => Reply::json(&self.options.runs.all()),
            path if path.starts_with("/call/") => self.run(call).await,
            _ => Reply::status(405, "no such call"),
        }
    }
}
