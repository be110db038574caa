//! The host list, which callers can see with a delay.

use crate::fault::Switch;
use crate::server::{self, Call, Reply};
use hickory_store::host::{Host, Standing};
use hickory_unit::id;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    /// The lists that were set, with the time of each; callers see the front one.
    history: VecDeque<(Instant, Vec<Host>)>,
}

/// The host list.
#[derive(Clone, Debug, Default)]
pub struct List {
    state: Arc<Mutex<State>>,
}

impl List {
    /// Replaces the list; callers see the new one after the lag.
    pub fn set(&self, hosts: Vec<Host>) {
        self.lock().history.push_back((Instant::now(), hosts));
    }

    /// Sets the delay after which callers see a change.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Changes the standing of one target.
    pub fn set_standing(&self, target: &id::Target, standing: Standing) {
        let mut hosts = self.current();
        hosts.iter_mut().filter(|host| host.target == *target).for_each(|h| h.standing = standing);
        self.set(hosts);
    }

    /// Removes a target from the list.
    pub fn remove(&self, target: &id::Target) {
        let mut hosts = self.current();
        hosts.retain(|host| host.target != *target);
        self.set(hosts);
    }

    /// Returns the current list, without the lag.
    pub fn current(&self) -> Vec<Host> {
        self.lock().history.back().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    /// Returns the list that callers see now.
    pub fn visible(&self) -> Vec<Host> {
        let mut state = self.lock();
        let lag = state.lag;
        while state.history.get(1).is_some_and(|(set, _)| set.elapsed() >= lag) {
            state.history.pop_front();
        }
        state.history.front().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running host list.
pub type Handle = server::Handle<List>;

/// Starts a host list of `hosts` without lag.
pub fn spawn(listen: SocketAddr, hosts: Vec<Host>) -> std::io::Result<Handle> {
    let list = List::default();
    list.set(hosts);
    server::spawn(listen, list)
}

impl server::Service for List {
    async fn call(&self, call: Call) -> Reply {
        match call.path.as_str() {
            "/hosts" => Reply::json(&self.visible()),
            _ => Reply::status(405, "no such call"),
        }
    }

    fn switch(&self, switch: &Switch) -> bool {
        match switch {
            Switch::LagMs(lag) => self.set_lag(Duration::from_millis(*lag)),
            Switch::Stand { target, standing } => self.set_standing(target, *standing),
            Switch::Unlist(target) => self.remove(target),
            _ => return false,
        }
        true
    }
}
