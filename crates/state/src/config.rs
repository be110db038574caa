//! The configuration: one key of the service (the head key), changed by compare-and-swap
//! on its version and followed by a watch. While the service is down, nodes get it from
//! peers.
//!
//! The decisions are made in [`crate::head`].

use crate::follow::{self, Follower};
use crate::head::{Acceptance, Call, Reply, supersedes};
use hickory_release::configuration::Configuration;
use hickory_release::note::Note;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::finding::Finding;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use uuid::Uuid;

/// The head key.
pub const KEY: &str = "configuration";

/// Watches of the head key. Without changes each node makes one such call every ten
/// seconds.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
const WATCH_JITTER: Duration = Duration::from_millis(500);

/// Why a release note was not accepted.
#[derive(Clone, Debug, derive_more::Display, PartialEq)]
pub enum Rejection {
    /// The note was written against a version other than the current one.
    #[display("the configuration has version {}", present.version)]
    Conflict {
        /// The configuration in force.
        present: Box<Configuration>,
    },
    /// The note is invalid; contains all findings.
    #[display("{} findings", _0.len())]
    Invalid(Vec<Finding>),
    /// The change certainly did not take effect.
    #[display("not done: {_0}")]
    NotDone(String),
    /// The change may have taken effect. A note that is sent again with the same
    /// operation id is applied at most once.
    #[display("no answer: {_0}")]
    Unknown(String),
}

impl std::error::Error for Rejection {}

/// Follows the configuration in force and accepts release notes.
#[derive(Clone, Debug)]
pub struct Manager<S, C> {
    store: S,
    clock: C,
    current: watch::Sender<Option<Arc<Configuration>>>,
}

impl<S: Store, C: Clock> Manager<S, C> {
    /// Starts to follow the configuration.
    pub fn spawn(store: S, clock: C) -> Self {
        let (current, _) = watch::channel(None);
        let manager = Self { store, clock, current };
        tokio::spawn(manager.clone().follow());
        manager
    }

    /// Returns the configuration in force; `None` until one is known. Without one, this
    /// node is not ready to serve.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.current.borrow().clone()
    }

    /// Returns a receiver of the changes of [`Manager::current`].
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Configuration>>> {
        self.current.subscribe()
    }

    /// Applies a configuration from a peer or the service if its version is higher than
    /// the current one; returns whether it did.
    pub fn apply_if_newer(&self, configuration: Configuration) -> bool {
        self.current.send_if_modified(|current| {
            let newer = supersedes(&configuration, current.as_deref());
            if newer {
                log::info!(version:% = configuration.version; "configuration in force");
                *current = Some(Arc::new(configuration));
            }
            newer
        })
    }

    /// Accepts a release note or returns why not; tries for about five seconds.
    pub async fn accept(&self, note: &Note) -> Result<Arc<Configuration>, Rejection> {
        let mut note = note.clone();
        if note.operation.is_empty() {
            note.operation = Uuid::new_v4().to_string();
        }
        let seed = Uuid::new_v4().as_u128() as u64;
        let mut acceptance = Acceptance::new(self.clock.now(), note, self.current(), seed);
        loop {
            tokio::time::sleep(acceptance.delay(self.clock.now())).await;
            let reply = match acceptance.next_call() {
                Call::Get => Reply::Got(self.store.get(KEY).await),
                Call::Write(write) => Reply::Wrote(self.store.write(write).await),
            };
            if let Some(end) = acceptance.on_reply(self.clock.now(), reply) {
                let accepted = end?;
                self.apply_if_newer((*accepted).clone());
                return Ok(accepted);
            }
        }
    }

    async fn follow(self) {
        let options = follow::Options {
            prefix: KEY.into(),
            watch_timeout: WATCH_TIMEOUT,
            jitter: WATCH_JITTER,
        };
        let seed = Uuid::new_v4().as_u128() as u64;
        let follower = Follower::new(options, seed);
        let manager = self.clone();
        follow::run(self.store, self.clock, follower, move |follower, step, _| {
            if let Some(entry) = follower.entries().get(KEY)
                && step.is_changed
            {
                match serde_json::from_str(&entry.value) {
                    Ok(configuration) => drop(manager.apply_if_newer(configuration)),
                    Err(error) => log::error!(error:%; "the configuration can't be read"),
                }
            }
            true
        })
        .await;
    }
}
