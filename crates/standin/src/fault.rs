//! Faults between a stand-in and its clients, switched on by request.
//!
//! They act on the socket or on whole calls and know nothing of what the
//! stand-in serves.

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

/// Whether the process of a stand-in lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub(crate) enum RunState {
    /// It listens.
    #[default]
    Up,
    /// It is dead: its port is closed.
    Down,
    /// It is gone for good.
    Stopped,
}

/// What goes wrong with a call as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// The call is cut before it takes effect.
    Call,
    /// The call takes effect, and the connection is cut before the answer.
    Answer,
    /// The call takes effect, and no answer comes on the open connection.
    Silence,
}

/// A fault to switch on or off, as `POST /fault` takes it.
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
        /// What is lost.
        loss: Loss,
        /// How the path of the calls begins.
        path: String,
        /// How many calls.
        count: u32,
    },
    /// [`Faults::cut`].
    Cut,
    /// [`Faults::silence`].
    Silence,
    /// [`Faults::clear`].
    Clear,
    /// Engine or replica: it is cold again, without a word.
    TurnCold,
    /// Engine: streams stop to move after so many tokens (0: before the
    /// first); `null` lets them move again.
    Stall {
        /// Tokens after which they stop.
        after: Option<u64>,
    },
    /// Engine: a prompt that contains this crashes the engine that runs it.
    CrashMarker(Option<String>),
    /// Key-value service: reads show the state of now until switched off.
    Stale(bool),
    /// Key-value service: calls beyond so many a second wait; zero for no
    /// bound.
    Rate {
        /// Gets, lists and watches.
        reads: u32,
        /// Writes and calls about leases.
        writes: u32,
    },
    /// Key-value service: forget the changes so far.
    Compact,
    /// Host list, engine: how far the list or the load report lags behind, in
    /// milliseconds.
    LagMs(u64),
    /// Host list: the standing of a target.
    Stand {
        /// The target.
        target: id::Target,
        /// Its standing.
        standing: Standing,
    },
    /// Host list: a target goes off the list.
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
    silent_below: AtomicU64,
    next_connection: AtomicU64,
    incarnation: AtomicU64,
    transition: Mutex<()>,
    state: Mutex<State>,
    acknowledged: Condvar,
    run_state: watch::Sender<RunState>,
    cut_below: watch::Sender<u64>,
    thawed: watch::Sender<bool>,
}

/// The switches of one stand-in; clones act on the same one.
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

    /// Kills the process: open connections are cut and the port is closed
    /// when this returns.
    pub fn kill(&self) {
        let transition = self.lock_transition();
        self.set_run_state(&transition, RunState::Down);
    }

    /// Starts the process again as a new incarnation, on the same port; it
    /// listens when this returns.
    pub fn restart(&self) {
        let transition = self.lock_transition();
        self.set_run_state(&transition, RunState::Down);
        self.inner.incarnation.fetch_add(1, Ordering::SeqCst);
        self.thaw();
        self.set_run_state(&transition, RunState::Up);
    }

    /// Kills the process and starts it again after `time`.
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

    /// Kills the process from within its own runtime, and starts it again
    /// after a while where one is given.
    pub(crate) fn crash(&self, restart_after: Option<Duration>) {
        let (faults, crashed) = (self.clone(), self.incarnation());
        crate::server::runtime().spawn_blocking(move || {
            let transition = faults.lock_transition();
            // A restart may have come before: the new process did not crash.
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

    /// Applies a switch that every stand-in has; `false` for another one.
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

    /// Freezes the process: connections are accepted, nothing is said and
    /// nothing is done.
    pub fn freeze(&self) {
        self.lock().frozen_since.get_or_insert_with(Instant::now);
        self.inner.frozen.store(true, Ordering::SeqCst);
        self.inner.thawed.send_replace(false);
    }

    /// Lets a frozen process go on.
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

    /// Makes each call take `delay` longer; zero ends it.
    pub fn slow(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Loses the next `count` calls, or their answers, whose path begins with
    /// `path`.
    pub fn lose(&self, loss: Loss, path: &str, count: u32) {
        self.lock().rules.push(Rule { path: path.into(), loss, remaining: count });
    }

    /// Lets the next `count` writes of a key-value service take effect and
    /// loses their answers.
    pub fn lose_write_answers(&self, count: u32) {
        self.lose(Loss::Answer, "/kv/write", count);
    }

    /// Loses the next `count` cancels of an engine before they take effect.
    pub fn lose_cancels(&self, count: u32) {
        self.lose(Loss::Call, "/v1/cancel", count);
    }

    /// Cuts all open connections, within moments; new ones work.
    pub fn cut(&self) {
        self.inner.cut_below.send_replace(self.inner.next_connection.load(Ordering::SeqCst));
    }

    /// Makes all open connections silent for good, without closing them; new
    /// ones work.
    pub fn silence(&self) {
        let next = self.inner.next_connection.load(Ordering::SeqCst);
        self.inner.silent_below.store(next, Ordering::SeqCst);
    }

    /// Ends slowness and losses and thaws; a dead process stays dead.
    pub fn clear(&self) {
        let mut state = self.lock();
        state.delay = Duration::ZERO;
        state.rules.clear();
        drop(state);
        self.thaw();
    }

    /// The incarnation of the process; differs after each restart.
    pub fn incarnation(&self) -> id::Incarnation {
        id::Incarnation(self.inner.incarnation.load(Ordering::SeqCst))
    }

    /// The time as the process sees it: it stands still while frozen.
    pub(crate) fn now(&self) -> Instant {
        let state = self.lock();
        state.frozen_since.unwrap_or_else(Instant::now) - state.total_frozen
    }

    pub(crate) fn stop(&self) {
        self.inner.run_state.send_replace(RunState::Stopped);
        // Tasks of a frozen stand-in wait for the thaw, and would stay.
        self.thaw();
    }

    pub(crate) fn run_state(&self) -> watch::Receiver<RunState> {
        self.inner.run_state.subscribe()
    }

    pub(crate) fn next_connection(&self) -> u64 {
        self.inner.next_connection.fetch_add(1, Ordering::SeqCst)
    }

    /// Ends when connection `number` is cut.
    pub(crate) async fn wait_cut(&self, number: u64) {
        let mut cut = self.inner.cut_below.subscribe();
        let _ = cut.wait_for(|below| number < *below).await;
    }

    /// Ends when the process is not frozen.
    pub(crate) async fn wait_thawed(&self) {
        let mut thawed = self.inner.thawed.subscribe();
        let _ = thawed.wait_for(|thawed| *thawed).await;
    }

    /// Whether connection `number` may say nothing now; it is woken when it
    /// may again.
    pub(crate) fn blocks_io(&self, number: u64, waker: &Waker) -> bool {
        if number < self.inner.silent_below.load(Ordering::SeqCst) {
            return true;
        }
        if !self.inner.frozen.load(Ordering::SeqCst) {
            return false;
        }
        let mut state = self.lock();
        // Checked again under the lock: a thaw in between has taken the
        // wakers already, and this one would wait for good.
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

    /// Takes the loss that is due for a call to `path`.
    pub(crate) fn take_loss(&self, path: &str) -> Option<Loss> {
        let mut state = self.lock();
        let rule = state.rules.iter_mut().find(|r| r.remaining > 0 && path.starts_with(&r.path))?;
        rule.remaining -= 1;
        let loss = rule.loss;
        state.rules.retain(|rule| rule.remaining > 0);
        Some(loss)
    }

    /// Says that the accept loop has done what `life` asks.
    pub(crate) fn acknowledge(&self, run_state: RunState) {
        self.lock().acknowledged = run_state;
        self.inner.acknowledged.notify_all();
    }

    /// Kills and restarts go one after another: the accept loop sees only
    /// the last of two that come together, and the first would wait for good.
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
