//! A control over an in-memory configuration, with fault injection.

use hickory_admin::control::{Accepted, Control, Failure};
use hickory_admin::view;
use hickory_release::accept::{Acceptance, Rejection, accept_note};
use hickory_release::configuration::{Configuration, digest_token};
use hickory_release::note::{Note, parse_note};
use hickory_unit::{id, size};
use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex};

/// The token of the operator.
pub const TOKEN: &str = "operator-token";

/// A fault at the next accepted note.
#[derive(Clone, Debug)]
#[allow(dead_code)]
pub enum Fault {
    /// The platform is unreachable.
    Unavailable,
    /// The write takes effect, but the platform's answer is lost.
    LostAfter,
    /// The write is lost, and the node gets no answer.
    LostBefore,
    /// The write takes effect, but the node does not answer the operator.
    Silent,
    /// An earlier, delayed write of the same note takes effect first; the node only sees that the
    /// version has changed.
    Overtaken,
    /// Another operator's note is written between the node's read and write, and the node reports
    /// the version that it had read.
    RaceUnseen(&'static str),
    /// Another operator's note is written first.
    Race(&'static str),
}

/// The platform's key-value service, which all nodes share.
#[derive(Debug, Default)]
pub struct Platform {
    configuration: Mutex<Configuration>,
}

/// A node that reads the platform's current state.
#[derive(Debug)]
pub struct Fake {
    platform: Arc<Platform>,
    faults: Mutex<VecDeque<Fault>>,
    received_notes: Mutex<usize>,
    drained: Mutex<bool>,
    released: (Mutex<bool>, Condvar),
}

#[allow(dead_code)]
impl Platform {
    /// Creates a platform whose configuration results from a note.
    pub fn open(note: &str) -> Arc<Self> {
        let platform = Arc::new(Self::default());
        platform.write(&parse_note(note).unwrap()).unwrap();
        platform
    }

    /// Returns the stored configuration.
    pub fn configuration(&self) -> Configuration {
        self.configuration.lock().unwrap().clone()
    }

    /// Accepts another operator's note against the current version.
    pub fn race(&self, mut note: Note) -> Result<Accepted, Failure> {
        note.against = self.configuration().version;
        note.operation = format!("op-race-{}", note.against);
        self.write(&note)
    }

    /// Accepts a note.
    pub fn write(&self, note: &Note) -> Result<Accepted, Failure> {
        let mut present = self.configuration.lock().unwrap();
        match accept_note(&present, note) {
            Ok(Acceptance::NewConfiguration(next)) => {
                *present = *next;
                Ok(Accepted { version: present.version, repeated: false })
            }
            Ok(Acceptance::Repeated(version)) => Ok(Accepted { version, repeated: true }),
            Err(Rejection::Conflict(version)) => Err(Failure::Conflict(version)),
            Err(Rejection::Invalid(findings)) => Err(Failure::Invalid(findings)),
        }
    }
}

#[allow(dead_code)]
impl Fake {
    /// Creates a node that uses `platform`.
    pub fn open(platform: &Arc<Platform>, faults: impl IntoIterator<Item = Fault>) -> Arc<Self> {
        Arc::new(Self {
            platform: Arc::clone(platform),
            faults: Mutex::new(faults.into_iter().collect()),
            received_notes: Mutex::default(),
            drained: Mutex::default(),
            released: Default::default(),
        })
    }

    /// Injects a fault at the next accepted note.
    pub fn fail(&self, fault: Fault) {
        self.faults.lock().unwrap().push_back(fault);
    }

    /// Returns the number of notes received.
    pub fn received_notes(&self) -> usize {
        *self.received_notes.lock().unwrap()
    }

    /// Returns whether a drain was requested.
    pub fn drained(&self) -> bool {
        *self.drained.lock().unwrap()
    }

    /// Unblocks a node with the fault [`Fault::Silent`].
    pub fn release(&self) {
        *self.released.0.lock().unwrap() = true;
        self.released.1.notify_all();
    }

    fn wait(&self) {
        let mut released = self.released.0.lock().unwrap();
        while !*released {
            released = self.released.1.wait(released).unwrap();
        }
    }
}

impl Control for Fake {
    fn is_operator(&self, token: &str) -> bool {
        let configuration = self.platform.configuration();
        configuration.is_operator(token)
            || (configuration.operators.is_empty() && digest_token(token) == digest_token(TOKEN))
    }

    fn accept(&self, note: &Note) -> Result<Accepted, Failure> {
        *self.received_notes.lock().unwrap() += 1;
        let fault = self.faults.lock().unwrap().pop_front();
        match fault {
            None => self.platform.write(note),
            Some(Fault::Unavailable) => Err(Failure::Unavailable("the platform is down".into())),
            Some(Fault::LostBefore) => Err(Failure::Unknown("no answer".into())),
            Some(Fault::LostAfter) => {
                self.platform.write(note)?;
                Err(Failure::Unknown("no answer".into()))
            }
            Some(Fault::Silent) => {
                let accepted = self.platform.write(note);
                self.wait();
                accepted
            }
            Some(Fault::Overtaken) => {
                let accepted = self.platform.write(note)?;
                Err(Failure::Conflict(accepted.version))
            }
            Some(Fault::RaceUnseen(other)) => {
                self.platform.race(parse_note(other).unwrap())?;
                Err(Failure::Conflict(note.against))
            }
            Some(Fault::Race(other)) => {
                self.platform.race(parse_note(other).unwrap())?;
                self.platform.write(note)
            }
        }
    }

    fn find_operation(&self, operation: &str) -> Result<Option<id::Release>, Failure> {
        Ok(self.platform.configuration().find_operation(operation))
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        let configuration = self.platform.configuration();
        (configuration.version.0 > 0).then(|| Arc::new(configuration))
    }

    fn nodes(&self) -> Vec<view::Node> {
        let node = |name: &str, zone: &str, reachable| view::Node {
            node: name.into(),
            zone: zone.into(),
            callers: "10.0.1.1:8080".parse().unwrap(),
            version: id::Release(1),
            draining: self.drained(),
            reachable,
            owned: 2,
        };
        vec![node("entry-1", "nairobi-a", true), node("entry-22", "nairobi-b", false)]
    }

    fn targets(&self) -> Vec<view::Target> {
        vec![view::Target {
            target: "engine-1".into(),
            zone: "nairobi-a".into(),
            kind: "engine".into(),
            address: "10.0.2.1:9000".parse().unwrap(),
            standing: "live".into(),
            accepting: true,
            bound: 8,
            running: 3,
            waiting: 1,
            kv_free: size::Tokens(120_000),
            ready: vec!["advice@1".into(), "advice@1+paint".into()],
        }]
    }

    fn owners(&self) -> view::Owners {
        let owner =
            view::Owner { target: "engine-1".into(), node: "entry-1".into(), epoch: id::Epoch(7) };
        view::Owners { revision: 41, owners: vec![owner] }
    }

    fn drain(&self) {
        *self.drained.lock().unwrap() = true;
    }

    fn metrics(&self) -> String {
        "hickory_refusals_total{reason=\"overloaded\",ran=\"no\"} 0\n".to_owned()
    }

    fn health(&self) -> view::Health {
        let version = self.platform.configuration().version;
        view::Health {
            node: "entry-1".into(),
            ready: version.0 > 0 && !self.drained(),
            draining: self.drained(),
            platform: true,
            version,
        }
    }
}
