//! Fault injection between a stand-in and its clients, switched on by request.
//!
//! These faults act on connections or on whole calls and are independent of what the stand-in
//! serves.

use hickory_store::host::Standing;
use hickory_unit::clock::{self, Clock};
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::task::Waker;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Run state of a stand-in's simulated process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub(crate) enum RunState {
    /// The process is running and its port is open.
    #[default]
    Up,
    /// The process is dead and its port is closed; it can be restarted.
    Down,
    /// The stand-in was dropped and can't be restarted.
    Stopped,
}

/// How a call is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// The connection is cut before the call takes effect.
    Call,
    /// The call takes effect, but the connection is cut before the answer.
    Answer,
    /// The call takes effect, but no answer is sent and the connection stays open.
    Silence,
}

/// A fault to switch on or off; the body of `POST /fault`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Switch {
    /// [`Faults::kill`].
    Kill,
    /// [`Faults::restart`].
    Restart,
    /// [`Faults::down_for`], in milliseconds.
    DownForMs(u64),
    /// [`Faults::freeze`].
    Freeze,
    /// [`Faults::thaw`].
    Thaw,
    /// [`Faults::slow`], in milliseconds.
    SlowMs(u64),
    /// [`Faults::lose`].
    Lose {
        /// How the calls are lost.
        loss: Loss,
        /// Prefix of the path of the calls.
        path: String,
        /// Number of calls.
        count: u32,
    },
    /// [`Faults::cut`].
    Cut,
    /// [`Faults::silence`].
    Silence,
    /// [`Faults::clear`].
    Clear,
    /// Engine or replica: it becomes cold again without reporting the change.
    TurnCold,
    /// Engine: streams stall after a number of tokens (0: before the first one); `null` lets them
    /// continue.
    Stall {
        /// Number of tokens after which the streams stall.
        after: Option<u64>,
    },
    /// Engine: a prompt that contains this text crashes the engine that runs it.
    CrashMarker(Option<String>),
    /// Key-value service: while on, reads return the state at the time of the switch.
    Stale(bool),
    /// Key-value service: limits the calls per second; excess calls wait. Zero means no limit.
    Rate {
        /// Gets, lists and watches.
        reads: u32,
        /// Writes and lease calls.
        writes: u32,
    },
    /// Key-value service: discards the change history.
    Compact,
    /// Host list or engine: the delay of the list or of the load report, in milliseconds.
    LagMs(u64),
    /// Host list: sets the standing of a target.
    Stand {
        /// The target.
        target: id::Target,
        /// The new standing.
        standing: Standing,
    },
    /// Host list: removes a target from the list.
    Unlist(id::Target),
}

#[derive(Debug)]
struct Rule {
    path: String,
    loss: Loss,
    remaining: u32,
}

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    rules: Vec<Rule>,
    wakers: HashMap<u64, Vec<Waker>>,
    acknowledged: RunState,
    frozen_since: Option<Instant>,
    total_frozen: Duration,
}

#[derive(Debug)]
struct Inner {
    frozen: AtomicBool,
    /// Connections with a lower number are silenced.
    silent_below: AtomicU64,
    next_connection: AtomicU64,
    incarnation: AtomicU64,
    transition: Mutex<()>,
    state: Mutex<State>,
    acknowledged: Condvar,
    run_state: watch::Sender<RunState>,
    /// Connections with a lower number are cut.
    cut_below: watch::Sender<u64>,
    thawed: watch::Sender<bool>,
}

/// The fault switches of one stand-in; clones act on the same stand-in.
#[derive(Clone, Debug)]
pub struct Faults {
    inner: Arc<Inner>,
}

impl Faults {
    pub(crate) fn none() -> Self {
        let inner = Inner {
            frozen: AtomicBool::new(false),
            silent_below: AtomicU64::new(0),
            next_connection: AtomicU64::new(0),
            incarnation: AtomicU64::new(clock::System.wall_ms() << 8),
            transition: Mutex::default(),
            state: Mutex::default(),
            acknowledged: Condvar::new(),
            run_state: watch::Sender::new(RunState::Up),
            cut_below: watch::Sender::new(0),
            thawed: watch::Sender::new(true),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Kills the process. When this returns, open connections are cut and the port is closed.
    pub fn kill(&self) {
        let transition = self.lock_transition();
        self.set_run_state(&transition, RunState::Down);
    }

    /// Restarts the process as a new incarnation on the same port. When this returns, the port is
    /// open.
    pub fn restart(&self) {
        let transition = self.lock_transition();
        self.set_run_state(&transition, RunState::Down);
        self.inner.incarnation.fetch_add(1, Ordering::SeqCst);
        self.thaw();
        self.set_run_state(&transition, RunState::Up);
    }

    /// Kills the process and restarts it after `time`.
    pub fn down_for(&self, time: Duration) {
        self.kill();
        self.restart_after(time);
    }

    fn restart_after(&self, time: Duration) {
        let faults = self.clone();
        crate::server::runtime().spawn(async move {
            tokio::time::sleep(time).await;
            let _ = tokio::task::spawn_blocking(move || faults.restart()).await;
        });
    }

    /// Kills the process from within its own runtime, and restarts it after `restart_after` if that
    /// is set.
    pub(crate) fn crash(&self, restart_after: Option<Duration>) {
        let (faults, crashed) = (self.clone(), self.incarnation());
        crate::server::runtime().spawn_blocking(move || {
            let transition = faults.lock_transition();
            // If the process was restarted in the meantime, the new one did not crash.
            if faults.incarnation() != crashed {
                return;
            }
            faults.set_run_state(&transition, RunState::Down);
            drop(transition);
            if let Some(time) = restart_after {
                faults.restart_after(time);
            }
        });
    }

    /// Applies a switch that every stand-in supports; returns `false` for any other switch.
    pub(crate) fn apply(&self, switch: &Switch) -> bool {
        match switch {
            Switch::Kill => self.kill(),
            Switch::Restart => self.restart(),
            Switch::DownForMs(time) => self.down_for(Duration::from_millis(*time)),
            Switch::Freeze => self.freeze(),
            Switch::Thaw => self.thaw(),
            Switch::SlowMs(delay) => self.slow(Duration::from_millis(*delay)),
            Switch::Lose { loss, path, count } => self.lose(*loss, path, *count),
            Switch::Cut => self.cut(),
            Switch::Silence => self.silence(),
            Switch::Clear => self.clear(),
            _ => return false,
        }
        true
    }

    /// Freezes the process: connections are accepted, but nothing is read, processed or sent.
    pub fn freeze(&self) {
        self.lock().frozen_since.get_or_insert_with(Instant::now);
        self.inner.frozen.store(true, Ordering::SeqCst);
        self.inner.thawed.send_replace(false);
    }

    /// Lets a frozen process continue.
    pub fn thaw(&self) {
        self.inner.frozen.store(false, Ordering::SeqCst);
        self.inner.thawed.send_replace(true);
        let mut state = self.lock();
        let since = state.frozen_since.take();
        state.total_frozen += since.map_or(Duration::ZERO, |since| since.elapsed());
        let wakers = std::mem::take(&mut state.wakers);
        drop(state);
        wakers.into_values().flatten().for_each(Waker::wake);
    }

    /// Delays each call by `delay`; zero switches the delay off.
    pub fn slow(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Loses the next `count` calls whose path starts with `path`, or their answers.
    pub fn lose(&self, loss: Loss, path: &str, count: u32) {
        self.lock().rules.push(Rule { path: path.into(), loss, remaining: count });
    }

    /// Loses the answers of the next `count` writes to a key-value service; the writes take effect.
    pub fn lose_write_answers(&self, count: u32) {
        self.lose(Loss::Answer, "/kv/write", count);
    }

    /// Loses the next `count` cancel calls to an engine before they take effect.
    pub fn lose_cancels(&self, count: u32) {
        self.lose(Loss::Call, "/v1/cancel", count);
    }

    /// Cuts all open connections shortly after the call; new connections work.
    pub fn cut(&self) {
        self.inner.cut_below.send_replace(self.inner.next_connection.load(Ordering::SeqCst));
    }

    /// Permanently stops I/O on all open connections without closing them; new connections work.
    pub fn silence(&self) {
        let next = self.inner.next_connection.load(Ordering::SeqCst);
        self.inner.silent_below.store(next, Ordering::SeqCst);
    }

    /// Switches off delays and losses, and thaws the process; a dead process stays dead.
    pub fn clear(&self) {
        let mut state = self.lock();
        state.delay = Duration::ZERO;
        state.rules.clear();
        drop(state);
        self.thaw();
    }

    /// Returns the incarnation of the process, which changes with each restart.
    pub fn incarnation(&self) -> id::Incarnation {
        id::Incarnation(self.inner.incarnation.load(Ordering::SeqCst))
    }

    /// Returns the time as the process sees it; it does not advance while the process is frozen.
    pub(crate) fn now(&self) -> Instant {
        let state = self.lock();
        state.frozen_since.unwrap_or_else(Instant::now) - state.total_frozen
    }

    pub(crate) fn stop(&self) {
        self.inner.run_state.send_replace(RunState::Stopped);
        // Tasks of a frozen stand-in wait for the thaw and would never end.
        self.thaw();
    }

    pub(crate) fn run_state(&self) -> watch::Receiver<RunState> {
        self.inner.run_state.subscribe()
    }

    pub(crate) fn next_connection(&self) -> u64 {
        self.inner.next_connection.fetch_add(1, Ordering::SeqCst)
    }

    /// Waits until connection `number` is cut.
    pub(crate) async fn wait_cut(&self, number: u64) {
        let mut cut = self.inner.cut_below.subscribe();
        let _ = cut.wait_for(|below| number < *below).await;
    }

    /// Waits until the process is not frozen.
    pub(crate) async fn wait_thawed(&self) {
        let mut thawed = self.inner.thawed.subscribe();
        let _ = thawed.wait_for(|thawed| *thawed).await;
    }

    /// Returns whether a fault blocks I/O on connection `number`. A connection of a frozen process
    /// is woken by the thaw; a silenced one never is.
    pub(crate) fn blocks_io(&self, number: u64, waker: &Waker) -> bool {
        if number < self.inner.silent_below.load(Ordering::SeqCst) {
            return true;
        }
        if !self.inner.frozen.load(Ordering::SeqCst) {
            return false;
        }
        let mut state = self.lock();
        // Checked again under the lock: if a thaw has taken the wakers in the meantime, a waker
        // added now would never be woken.
        if !self.inner.frozen.load(Ordering::SeqCst) {
            return false;
        }
        let wakers = state.wakers.entry(number).or_default();
        if !wakers.iter().any(|known| known.will_wake(waker)) {
            wakers.push(waker.clone());
        }
        true
    }

    pub(crate) fn delay(&self) -> Duration {
        self.lock().delay
    }

    /// Returns the loss to apply to a call to `path` and counts it as used.
    pub(crate) fn take_loss(&self, path: &str) -> Option<Loss> {
        let mut state = self.lock();
        let rule = state.rules.iter_mut().find(|r| r.remaining > 0 && path.starts_with(&r.path))?;
        rule.remaining -= 1;
        let loss = rule.loss;
        state.rules.retain(|rule| rule.remaining > 0);
        Some(loss)
    }

    /// Confirms that the accept loop has applied `run_state`.
    pub(crate) fn acknowledge(&self, run_state: RunState) {
        self.lock().acknowledged = run_state;
        self.inner.acknowledged.notify_all();
    }

    /// Serializes kills and restarts. If two changes were simultaneous, the accept loop would see
    /// only the last one, and the caller of the first would wait forever for its confirmation.
    fn lock_transition(&self) -> MutexGuard<'_, ()> {
        self.inner.transition.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_run_state(&self, _transition: &MutexGuard<'_, ()>, run_state: RunState) {
        if *self.inner.run_state.borrow() == RunState::Stopped {
            return;
        }
        self.inner.run_state.send_replace(run_state);
        let mut state = self.lock();
        while state.acknowledged != run_state && state.acknowledged != RunState::Stopped {
            state = self.inner.acknowledged.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
