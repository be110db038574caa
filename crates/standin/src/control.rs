//! Switches faults of several stand-ins over HTTP on a separate port, so that killed and frozen
//! stand-ins can be reached too.

use crate::fault::{Faults, Switch};
use crate::server::{self, Call, Reply, Service};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Applies a switch to one stand-in; returns `false` if it does not support the fault.
type Apply = Arc<dyn Fn(&Switch) -> bool + Send + Sync>;

/// Fault switches of several stand-ins: `POST /fault/{name}` with a [`Switch`] as JSON.
#[derive(Clone, Default)]
pub struct Switchboard {
    stand_ins: Arc<BTreeMap<String, Apply>>,
}

/// A running switchboard.
pub type Handle = server::Handle<Switchboard>;

impl Switchboard {
    /// Adds a stand-in under `name`.
    pub fn add<S: Service>(&mut self, name: &str, handle: &server::Handle<S>) {
        let (faults, service) = (handle.faults().clone(), handle.service().clone());
        let apply: Apply = Arc::new(move |switch: &Switch| apply_switch(&faults, &service, switch));
        let mut stand_ins = (*self.stand_ins).clone();
        stand_ins.insert(name.to_owned(), apply);
        self.stand_ins = Arc::new(stand_ins);
    }

    /// Serves the switchboard.
    pub fn spawn(self, listen: SocketAddr) -> std::io::Result<Handle> {
        server::spawn(listen, self)
    }
}

impl Service for Switchboard {
    async fn call(&self, call: Call) -> Reply {
        let name = call.path.strip_prefix("/fault/").unwrap_or_default();
        let Some(apply) = self.stand_ins.get(name).cloned() else {
            return Reply::status(404, "no such stand-in");
        };
        match call.json::<Switch>() {
            Ok(switch) => confirm(tokio::task::spawn_blocking(move || apply(&switch)).await),
            Err(reply) => reply,
        }
    }
}

fn confirm(applied: Result<bool, tokio::task::JoinError>) -> Reply {
    match applied {
        Ok(true) => Reply::json(&()),
        _ => Reply::status(422, "this stand-in has no such fault"),
    }
}

/// Applies a switch; may block until a port is closed or open again. Returns `false` if the
/// stand-in does not support the fault.
pub(crate) fn apply_switch<S: Service>(faults: &Faults, service: &S, switch: &Switch) -> bool {
    faults.apply(switch) || service.switch(switch)
}
