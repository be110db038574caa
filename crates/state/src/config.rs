//! The configuration: one head key, changed by compare-and-swap on its
//! version.

use hickory_platform::store::{Error, Expect, Revision, Store, Write};
use hickory_release::configuration::Configuration;
use hickory_release::note::{Note, apply_note};
use hickory_unit::clock::Clock;
use hickory_unit::finding::Finding;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The head key.
pub const KEY: &str = "configuration";

/// Why a note was not accepted.
#[derive(Clone, Debug, derive_more::Display, PartialEq)]
pub enum Rejection {
    /// It was written against another version; the present one is given.
    #[display("the configuration has version {}", present.version)]
    Conflict {
        /// The configuration in force.
        present: Box<Configuration>,
    },
    /// It is invalid; all findings are given.
    #[display("{} findings", _0.len())]
    Invalid(Vec<Finding>),
    /// It certainly did not take effect.
    #[display("not done: {_0}")]
    NotDone(String),
    /// It may have taken effect: read the operations of the configuration.
    #[display("no answer: {_0}")]
    Unknown(String),
}

impl std::error::Error for Rejection {}

/// Keeps the configuration in force.
#[derive(Clone, Debug)]
pub struct Keeper<S, C> {
    store: S,
    clock: C,
    sender: watch::Sender<Option<Arc<Configuration>>>,
}

impl<S: Store, C: Clock> Keeper<S, C> {
    /// Reads the configuration and follows it.
    pub fn spawn(store: S, clock: C) -> Self {
        let (sender, _) = watch::channel(None);
        let keeper = Self { store, clock, sender };
        tokio::spawn(keeper.clone().follow());
        keeper
    }

    /// The configuration in force; `None` while none is known.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.sender.borrow().clone()
    }

    /// Told of each change.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Configuration>>> {
        self.sender.subscribe()
    }

    /// Applies a configuration from a peer where its version is higher.
    pub fn offer(&self, configuration: Configuration) -> bool {
        self.sender.send_if_modified(|current| {
            let newer = current.as_ref().is_none_or(|c| c.version < configuration.version);
            if newer {
                *current = Some(Arc::new(configuration));
            }
            newer
        })
    }

    /// Accepts a release note.
    pub async fn accept(&self, note: &Note) -> Result<Arc<Configuration>, Rejection> {
        let _ = self.clock.now();
        let (present, expect) = match self.store.get(KEY).await {
            Err(error) => return Err(Rejection::NotDone(error.to_string())),
            Ok(None) => (Configuration::default(), Expect::Absent),
            Ok(Some(entry)) => (parse(&entry.value)?, Expect::At(entry.revision)),
        };
        if present.version != note.against {
            return Err(Rejection::Conflict { present: Box::new(present) });
        }
        let next = apply_note(&present, note).map_err(Rejection::Invalid)?;
        let value = serde_json::to_string(&next).ok();
        let write = Write { key: KEY.into(), value, expect, lease: None };
        match self.store.write(write).await {
            Ok(_) => {
                self.offer(next.clone());
                Ok(Arc::new(next))
            }
            Err(Error::Conflict(_)) => Err(Rejection::Conflict { present: Box::new(present) }),
            Err(Error::Unknown(text)) => Err(Rejection::Unknown(text)),
            Err(error) => Err(Rejection::NotDone(error.to_string())),
        }
    }

    async fn follow(self) {
        let mut after = Revision::default();
        loop {
            if let Ok(Some(entry)) = self.store.get(KEY).await {
                after = after.max(entry.revision);
                if let Ok(configuration) = parse(&entry.value) {
                    self.offer(configuration);
                }
            }
            if self.store.watch(KEY, after, Duration::from_secs(5)).await.is_err() {
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        }
    }
}

fn parse(text: &str) -> Result<Configuration, Rejection> {
    serde_json::from_str(text).map_err(|e| Rejection::NotDone(e.to_string()))
}
