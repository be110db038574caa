//! A simulated replica of a plain service that counts how often each call was run.

use crate::fault::{Faults, Switch};
use crate::server::{self, Call, Reply};
use hickory_model::option::Options as Model;
use hickory_model::warmth::Warmth;
use hickory_target::service::Report;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Behaviour of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// Duration of a call on a warm replica.
    pub call_time: Duration,
    /// Number of concurrent calls that the replica can handle.
    pub max_calls: u32,
    /// Warmth at the first start, from 0 to 100; it is 0 after a restart.
    pub warmth: u8,
    /// Time from cold to warm under load.
    pub warm_time: Duration,
    /// Whether the replica crashes when it is overloaded while not warm.
    pub crashes_on_overload: bool,
    /// Run counts, shared by the replicas of a service.
    pub runs: Runs,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            call_time: Duration::from_millis(1),
            max_calls: 64,
            warmth: 100,
            warm_time: Duration::from_secs(10),
            crashes_on_overload: true,
            runs: Runs::default(),
        }
    }
}

impl Options {
    /// Returns the options of the warm-up model, which replicas share with engines.
    fn model(&self, warmth: u8) -> Model {
        let (max_streams, warm_up_time) = (self.max_calls, self.warm_time);
        Model { max_streams, warm_up_time, warmth, ..Model::default() }
    }
}

/// Number of runs by idempotency key. It survives restarts, like a service's database.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    counts: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Runs {
    /// Returns how often calls with `key` were run.
    pub fn count(&self, key: &str) -> u32 {
        self.lock().get(key).copied().unwrap_or(0)
    }

    /// Returns all counts.
    pub fn all(&self) -> BTreeMap<String, u32> {
        self.lock().clone()
    }

    fn add(&self, key: &str) {
        *self.lock().entry(key.to_owned()).or_default() += 1;
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u32>> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A simulated replica.
#[derive(Clone, Debug)]
pub struct Replica {
    options: Options,
    running: Arc<AtomicU32>,
    faults: Faults,
    warmth: Arc<Mutex<(Warmth, Model)>>,
}

/// A running replica.
pub type Handle = server::Handle<Replica>;

/// Starts a replica.
pub fn spawn(listen: SocketAddr, options: Options) -> std::io::Result<Handle> {
    let faults = Faults::none();
    let model = options.model(options.warmth);
    let warmth = Arc::new(Mutex::new((Warmth::new(faults.now(), &model), model)));
    let replica = Replica { options, running: Arc::default(), faults: faults.clone(), warmth };
    server::spawn_with(listen, replica, faults)
}

impl Replica {
    /// Returns the run counts.
    pub fn runs(&self) -> &Runs {
        &self.options.runs
    }

    /// Counts the call, then echoes it.
    async fn run(&self, call: Call) -> Reply {
        let key = call.headers.get("idempotency-key").and_then(|key| key.to_str().ok());
        if let Some(key) = key {
            self.options.runs.add(key);
        }
        let running = Running::enter(&self.running);
        let Some(speed) = self.update_speed(running.1) else {
            self.faults.crash(None);
            return Reply::cut();
        };
        // Even a sleep of zero takes one tick of the timer, a millisecond.
        if !self.options.call_time.is_zero() {
            tokio::time::sleep(self.options.call_time.div_f64(speed)).await;
        }
        let body = String::from_utf8_lossy(&call.body).into_owned();
        Reply::json(&Echo { path: call.path, key: key.map(str::to_owned), body })
    }

    /// Makes the replica cold without reporting the change.
    pub fn turn_cold(&self) {
        let now = self.faults.now();
        self.lock_warmth().0.turn_cold(now);
    }

    /// Updates the warmth and returns the speed, relative to a warm replica. Returns `None` if the
    /// replica crashes because `running` calls overload it.
    fn update_speed(&self, running: u32) -> Option<f64> {
        let now = self.faults.now();
        let (warmth, model) = &mut *self.lock_warmth();
        warmth.advance(now, running > 1, model);
        let is_overloaded =
            warmth.is_overloaded(running, model) && !warmth.is_within_detection_time(now, model);
        (!is_overloaded || !self.options.crashes_on_overload).then(|| warmth.speed(model))
    }

    fn lock_warmth(&self) -> MutexGuard<'_, (Warmth, Model)> {
        self.warmth.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> Report {
        self.update_speed(self.running.load(Ordering::SeqCst));
        Report {
            incarnation: self.faults.incarnation(),
            running: self.running.load(Ordering::SeqCst),
            calls_max: self.options.max_calls,
            warmth: self.lock_warmth().0.level(),
        }
    }
}

/// The answer of a stand-in service, which echoes the call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Echo {
    /// The complete path.
    pub path: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The body.
    pub body: String,
}

/// Guard of a running call, with the number of running calls at its start.
struct Running<'a>(&'a AtomicU32, u32);

impl<'a> Running<'a> {
    fn enter(count: &'a AtomicU32) -> Self {
        let running = count.fetch_add(1, Ordering::SeqCst) + 1;
        Self(count, running)
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

    fn reset(&self, faults: &Faults) {
        let model = self.options.model(0);
        *self.lock_warmth() = (Warmth::new(faults.now(), &model), model);
    }

    fn switch(&self, switch: &Switch) -> bool {
        let is_supported = *switch == Switch::TurnCold;
        if is_supported {
            self.turn_cold();
        }
        is_supported
    }
}
