//! An in-process key-value service for tests without sockets.

use crate::store::{Shared, Snapshot};
use hickory_store::store::{Batch, Entry, Error, Lease, Revision, Store, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Faults that act on the calls of one [`Memory`].
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails immediately and has no effect.
    pub down: bool,
    /// Every call ends without an answer and has no effect, as after a timeout.
    pub silent: bool,
    /// Number of upcoming writes that take effect but whose answers are lost.
    pub lose_answers: u32,
    /// Number of upcoming writes that are lost before they take effect; the caller sees an
    /// unknown outcome.
    pub lose_writes: u32,
    /// Delay before each call.
    pub delay: Duration,
    /// Snapshot from which gets and lists are answered; see [`Memory::set_stale`].
    pub stale: Option<Snapshot>,
}

/// One client of an in-process key-value service. Clients created by [`Memory::new_client`] share
/// the state but not the faults.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    shared: Shared,
    faults: Arc<Mutex<Faults>>,
}

impl Memory {
    /// Creates another client of the same service, with separate faults.
    pub fn new_client(&self) -> Self {
        Self { shared: self.shared.clone(), faults: Arc::default() }
    }

    /// Changes the faults of this client and of its clones.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock());
    }

    /// Freezes the state that the reads of this client return until switched off.
    pub fn set_stale(&self, stale: bool) {
        let snapshot = stale.then(|| self.shared.with_core(|core, now| core.snapshot(now)));
        self.set(|faults| faults.stale = snapshot);
    }

    /// Returns the service itself, which bypasses the client's faults.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn apply_faults(&self) -> Result<(), Error> {
        let delay = self.lock().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let (down, silent) = {
            let faults = self.lock();
            (faults.down, faults.silent)
        };
        if down {
            return Err(Error::NotDone("down".into()));
        }
        if silent {
            return Err(Error::Unknown("timeout".into()));
        }
        Ok(())
    }

    fn take_fault(&self, count: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.lock();
        let remaining = count(&mut faults);
        let is_due = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        is_due
    }
}

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.apply_faults().await?;
        if let Some(snapshot) = &self.lock().stale {
            return Ok(snapshot.get(key));
        }
        Ok(self.shared.get(key))
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), Error> {
        self.apply_faults().await?;
        if let Some(snapshot) = &self.lock().stale {
            return Ok(snapshot.list(prefix));
        }
        Ok(self.shared.list(prefix))
    }

    async fn write(&self, write: Write) -> Result<Revision, Error> {
        self.apply_faults().await?;
        if self.take_fault(|faults| &mut faults.lose_writes) {
            return Err(Error::Unknown("cut".into()));
        }
        let result = self.shared.write(write);
        if self.take_fault(|faults| &mut faults.lose_answers) {
            return Err(Error::Unknown("cut".into()));
        }
        result
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Batch, Error> {
        self.apply_faults().await?;
        let batch = self.shared.watch(prefix, after, wait).await;
        self.apply_faults().await?;
        Ok(batch)
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.apply_faults().await?;
        Ok(self.shared.grant(ttl))
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        self.apply_faults().await?;
        self.shared.renew(lease)
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.apply_faults().await?;
        self.shared.revoke(lease)
    }
}
