//! A wrapper of the platform's ports that measures each call.

use crate::label::{Call, Outcome};
use crate::metrics::Metrics;
use hickory_store::host::{self, Host};
use hickory_store::store::{Batch, Entry, Error, Lease, Revision, Store, Write};
use hickory_store::weight;
use hickory_unit::clock::Clock;
use std::future::Future;
use std::time::Duration;

/// A port that records the result and duration of each call and forwards the
/// call unchanged.
#[derive(Clone, Debug)]
pub struct Metered<P, C> {
    port: P,
    clock: C,
    metrics: Metrics,
}

impl<P, C: Clock> Metered<P, C> {
    /// Wraps `port` and records its calls in `metrics`.
    pub fn new(port: P, clock: C, metrics: Metrics) -> Self {
        Self { port, clock, metrics }
    }

    async fn measure<T>(
        &self,
        call: Call,
        response: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let start = self.clock.now();
        let result = response.await;
        let elapsed = self.clock.now().saturating_duration_since(start);
        self.metrics.record_platform_call(call, outcome_of(&result), elapsed);
        result
    }
}

fn outcome_of<T>(result: &Result<T, Error>) -> Outcome {
    match result {
        Ok(_) => Outcome::Done,
        Err(Error::Conflict(_)) => Outcome::Conflict,
        Err(Error::NotDone(_)) => Outcome::NotDone,
        Err(Error::Unknown(_)) => Outcome::Unknown,
        Err(Error::LeaseLapsed) => Outcome::LeaseLapsed,
    }
}

impl<P: Store, C: Clock> Store for Metered<P, C> {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.measure(Call::Get, self.port.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), Error> {
        self.measure(Call::List, self.port.list(prefix)).await
    }

    async fn write(&self, write: Write) -> Result<Revision, Error> {
        self.measure(Call::Write, self.port.write(write)).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Batch, Error> {
        self.measure(Call::Watch, self.port.watch(prefix, after, wait)).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.measure(Call::Grant, self.port.grant(ttl)).await
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        self.measure(Call::Renew, self.port.renew(lease)).await
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.measure(Call::Revoke, self.port.revoke(lease)).await
    }
}

impl<P: host::List, C: Clock> host::List for Metered<P, C> {
    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.measure(Call::Hosts, self.port.hosts()).await
    }
}

impl<P: weight::Weights, C: Clock> weight::Weights for Metered<P, C> {
    async fn limit(&self) -> Result<weight::Limit, Error> {
        self.measure(Call::Limit, self.port.limit()).await
    }
}
