//! A simulated model engine: serves the cost model over HTTP.

use crate::fault::{Faults, RunState, Switch};
use crate::peer::Peers;
use crate::reader::Readers;
use crate::server::{self, Call, Reply};
use hickory_model::batch::Stall;
use hickory_model::engine::{Engine, Job, Options as Model, Refusal};
use hickory_model::loading::Fetch;
use hickory_target::engine::{Generate, Handle as Cache, Weights};
use hickory_target::http::{FencedOrder, ImportRequest, ResumeRequest};
use hickory_unit::{id, size};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Interval at which an engine checks that other engines still hold the linked KV caches that its
/// streams use.
const LINK_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before an engine retries a read from a busy weight store.
const WEIGHTS_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Behaviour of an engine.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The cost model. Its warmth applies to the first start; after a restart the engine is cold.
    pub model: Model,
    /// Weights that are loaded at the start, in addition to those in the cost model.
    pub loaded: Vec<Weights>,
    /// Address of the weight store; if `None`, weights load instantly.
    pub weights: Option<SocketAddr>,
    /// Delay of the restart after a crash; if `None`, the engine is not restarted.
    pub restart_after: Option<Duration>,
    /// The engine crashes when it runs a prompt that contains this text.
    pub crash_marker: Option<String>,
    /// Whether the engine ignores the requested position and resumes each stream from its first
    /// token.
    pub ignores_resume_position: bool,
}

/// State of an engine process, which is lost when the process dies.
#[derive(Debug)]
pub(crate) struct ProcessState {
    pub(crate) engine: Engine,
    pub(crate) readers: Readers,
    crash_marker: Option<String>,
    /// Whether the process has already been killed for the crash of `engine`.
    is_crash_handled: bool,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    faults: Faults,
    state: Mutex<ProcessState>,
    ticked: watch::Sender<u64>,
    engine_changed: Notify,
    peers: Peers,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Simulator {
    inner: Arc<Inner>,
}

/// A running engine.
pub type Handle = server::Handle<Simulator>;

/// Starts an engine.
pub fn spawn(listen: SocketAddr, mut options: Options) -> std::io::Result<Handle> {
    options.model.loaded.append(&mut options.loaded);
    let faults = Faults::none();
    let engine = Engine::new(faults.now(), faults.incarnation(), options.model.clone());
    let crash_marker = options.crash_marker.clone();
    let state =
        ProcessState { engine, readers: Readers::default(), crash_marker, is_crash_handled: false };
    let inner = Inner {
        options,
        faults: faults.clone(),
        state: Mutex::new(state),
        ticked: watch::Sender::new(0),
        engine_changed: Notify::new(),
        peers: Peers::open(),
    };
    let simulator = Simulator { inner: Arc::new(inner) };
    let handle = server::spawn_with(listen, simulator.clone(), faults)?;
    server::runtime().spawn(simulator.clone().run_steps());
    server::runtime().spawn(simulator.check_links());
    Ok(handle)
}

impl Simulator {
    /// Calls `act` on the cost model; faults and report lag do not apply.
    pub fn with_engine<T>(&self, act: impl FnOnce(&mut Engine) -> T) -> T {
        act(&mut self.lock().engine)
    }

    /// Returns the KV memory that streams, handles and pins use now.
    pub fn kv_used(&self) -> size::Tokens {
        self.with_engine(|engine| engine.kv_used())
    }

    /// Sets the text that crashes the engine when it runs a prompt that contains it.
    pub fn set_crash_marker(&self, marker: Option<String>) {
        self.lock().crash_marker = marker;
    }

    /// Makes the engine cold without reporting the change.
    pub fn turn_cold(&self) {
        let now = self.inner.faults.now();
        self.with_engine(|engine| engine.turn_cold(now));
    }

    /// Stalls the streams, or lets them continue.
    pub fn stall(&self, stall: Stall) {
        let now = self.inner.faults.now();
        self.with_engine(|engine| engine.set_stall(now, stall));
        self.inner.engine_changed.notify_one();
    }

    /// Runs each step of the cost model when it is due.
    async fn run_steps(self) {
        let mut changes = self.inner.faults.run_state();
        loop {
            self.inner.faults.wait_thawed().await;
            let now = self.inner.faults.now();
            let next = {
                let mut state = self.lock();
                state.engine.advance(now);
                state.engine.next_step()
            };
            self.stop_if_crashed();
            self.inner.ticked.send_modify(|tick| *tick += 1);
            let sleep = async {
                match next {
                    Some(at) => tokio::time::sleep(at.saturating_duration_since(now)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => {}
                () = self.inner.engine_changed.notified() => {}
                Ok(()) = changes.changed() => if *changes.borrow_and_update() == RunState::Stopped {
                    self.inner.ticked.send_modify(|tick| *tick += 1);
                    return;
                }
            }
        }
    }

    /// Fails the streams that use a linked KV cache whose engine is unreachable or has dropped it.
    async fn check_links(self) {
        let run_state = self.inner.faults.run_state();
        let mut ticked = self.inner.ticked.subscribe();
        while *run_state.borrow() != RunState::Stopped {
            let links = self.with_engine(|engine| engine.links());
            if links.is_empty() {
                // Links are added only by new streams, and each new stream causes a tick.
                let _ = ticked.changed().await;
            }
            tokio::time::sleep(LINK_CHECK_INTERVAL).await;
            self.inner.faults.wait_thawed().await;
            for link in links {
                if self.inner.peers.export(link.at, &link.handle).await.is_none() {
                    let now = self.inner.faults.now();
                    self.with_engine(|engine| engine.lose_link(now, &link.handle));
                    self.inner.engine_changed.notify_one();
                }
            }
        }
    }

    fn stop_if_crashed(&self) {
        let mut state = self.lock();
        let crashed = state.engine.is_crashed() && !state.is_crash_handled;
        state.is_crash_handled |= crashed;
        drop(state);
        if crashed {
            self.inner.faults.crash(self.inner.options.restart_after);
        }
    }

    fn generate(&self, generate: &Generate) -> Reply {
        let mut job = Job::from_call(generate);
        let mut state = self.lock();
        let marker = state.crash_marker.as_deref();
        job.crashes_engine = marker.is_some_and(|marker| generate.prompt.contains(marker));
        if let Err(refused) = state.engine.begin(self.inner.faults.now(), job) {
            drop(state);
            self.stop_if_crashed();
            return refuse(refused);
        }
        let ProcessState { engine, readers, .. } = &mut *state;
        readers.add(generate, engine);
        drop(state);
        self.inner.engine_changed.notify_one();
        self.read(&generate.stream, generate.from)
    }

    fn read(&self, stream: &id::Stream, from: u64) -> Reply {
        let now = self.inner.faults.now();
        let mut state = self.lock();
        state.engine.advance(now);
        let generation = state.engine.progress(stream).and_then(|_| state.readers.attach(stream));
        drop(state);
        let Some(generation) = generation else {
            return Reply::status(404, "no such stream");
        };
        // Wakes an earlier reader so that it stops even if the stream makes no progress.
        self.inner.ticked.send_modify(|tick| *tick += 1);
        let (pieces, reply) = Reply::stream();
        let task =
            crate::reader::stream_events(self.clone(), stream.clone(), generation, from, pieces);
        tokio::spawn(task);
        reply
    }

    fn cancel(&self, stream: &id::Stream) -> Reply {
        let mut state = self.lock();
        let cancelled = state.engine.cancel(self.inner.faults.now(), stream);
        state.readers.remove(stream);
        drop(state);
        self.inner.engine_changed.notify_one();
        self.inner.ticked.send_modify(|tick| *tick += 1);
        Reply::json(&cancelled)
    }

    fn order(&self, fenced: &FencedOrder) -> Reply {
        let now = self.inner.faults.now();
        let result =
            self.with_engine(|engine| engine.apply_order(now, fenced.fence, &fenced.order));
        self.inner.engine_changed.notify_one();
        match result {
            Ok(None) => Reply::json(&()),
            Ok(Some(fetch)) => {
                server::runtime().spawn(self.clone().fetch(fetch));
                Reply::json(&())
            }
            Err(refused) => refuse(refused),
        }
    }

    /// Reads weights from the weight store, with retries until they are loaded or no longer
    /// wanted.
    async fn fetch(self, fetch: Fetch) {
        let incarnation = self.inner.faults.incarnation();
        if let Some(at) = self.inner.options.weights {
            while !self.inner.peers.read_weights(at, fetch.bytes).await {
                tokio::time::sleep(WEIGHTS_RETRY_INTERVAL).await;
                let is_wanted = self.with_engine(|engine| engine.has_weights(&fetch.weights));
                if !is_wanted || self.inner.faults.incarnation() != incarnation {
                    return;
                }
            }
        }
        self.inner.faults.wait_thawed().await;
        if self.inner.faults.incarnation() == incarnation {
            self.with_engine(|engine| engine.finish_load(&fetch.weights));
        }
    }

    async fn import(&self, import: &ImportRequest) -> Reply {
        let Some(export) = self.inner.peers.export(import.from, &import.handle).await else {
            return Reply::status(404, "no such KV cache");
        };
        let (now, incarnation) = (self.inner.faults.now(), self.inner.faults.incarnation());
        let import_time =
            self.with_engine(|engine| engine.import(now, &import.handle, export, import.from));
        let time = match import_time {
            Ok(time) => time,
            Err(refused) => return refuse(refused),
        };
        // A separate task completes the copy even if the caller disconnects; otherwise the import
        // would stay incomplete forever.
        let copy = self.clone().finish_import(import.handle.clone(), time, incarnation);
        match tokio::spawn(copy).await {
            Ok(true) => Reply::json(&()),
            _ => Reply::cut(),
        }
    }

    async fn finish_import(
        self,
        handle: Cache,
        time: Duration,
        incarnation: id::Incarnation,
    ) -> bool {
        tokio::time::sleep(time).await;
        self.inner.faults.wait_thawed().await;
        let is_current = self.inner.faults.incarnation() == incarnation;
        if is_current {
            self.with_engine(|engine| engine.finish_import(&handle));
        }
        is_current
    }

    fn drop_handle(&self, handle: &Cache) -> Reply {
        let now = self.inner.faults.now();
        self.with_engine(|engine| engine.drop_handle(now, handle));
        self.inner.engine_changed.notify_one();
        Reply::json(&())
    }

    fn export(&self, handle: &Cache) -> Reply {
        match self.with_engine(|engine| engine.export(handle)) {
            Some(export) => Reply::json(&export),
            None => Reply::status(404, "no such KV cache"),
        }
    }

    pub(crate) fn ticked(&self) -> watch::Receiver<u64> {
        self.inner.ticked.subscribe()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, ProcessState> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refuse(refused: Refusal) -> Reply {
    match refused {
        Refusal::StaleFence => Reply::status(409, &refused.to_string()),
        Refusal::Crashed => Reply::cut(),
        _ => Reply::status(422, &refused.to_string()),
    }
}

impl server::Service for Simulator {
    async fn call(&self, call: Call) -> Reply {
        let now = self.inner.faults.now();
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/generate") => call.answer_json(|body| self.generate(&body)),
            ("POST", "/v1/resume") => call.answer_json(|body: ResumeRequest| {
                let from = if self.inner.options.ignores_resume_position { 0 } else { body.from };
                self.read(&body.stream, from)
            }),
            ("POST", "/v1/cancel") => call.answer_json(|body| self.cancel(&body)),
            ("GET", "/v1/report") => Reply::json(&self.with_engine(|engine| engine.report(now))),
            ("GET", "/v1/cache-events") => {
                let after = call.query("after").parse().unwrap_or(0);
                Reply::json(&self.with_engine(|engine| engine.cache_events(now, after)))
            }
            ("POST", "/v1/order") => call.answer_json(|body| self.order(&body)),
            ("POST", "/v1/import") => match call.json::<ImportRequest>() {
                Ok(import) => self.import(&import).await,
                Err(reply) => reply,
            },
            ("POST", "/v1/export") => call.answer_json(|body| self.export(&body)),
            ("POST", "/v1/drop") => call.answer_json(|body| self.drop_handle(&body)),
            _ => Reply::status(405, "no such call"),
        }
    }

    fn reset(&self, faults: &Faults) {
        let model = Model { warmth: 0, ..self.inner.options.model.clone() };
        let mut state = self.lock();
        state.engine = Engine::new(faults.now(), faults.incarnation(), model);
        state.readers = Readers::default();
        state.is_crash_handled = false;
        drop(state);
        self.inner.engine_changed.notify_one();
    }

    fn switch(&self, switch: &Switch) -> bool {
        match switch {
            Switch::TurnCold => self.turn_cold(),
            Switch::Stall { after } => {
                self.stall(after.map_or(Stall::None, Stall::After));
            }
            Switch::LagMs(lag) => {
                let lag = Duration::from_millis(*lag);
                self.with_engine(|engine| engine.set_report_lag(lag));
            }
            Switch::CrashMarker(marker) => self.set_crash_marker(marker.clone()),
            _ => return false,
        }
        true
    }
}
