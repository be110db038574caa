//! Calls to the platform are forwarded and counted by call and result.

use hickory_store::host::{Host, List};
use hickory_store::store::{Batch, Entry, Error, Expect, Lease, Revision, Store, Write};
use hickory_store::weight::{Limit, Weights};
use hickory_telemetry::label::{Call, Outcome};
use hickory_telemetry::metered::Metered;
use hickory_telemetry::metrics::Metrics;
use hickory_unit::clock::Manual;
use std::time::Duration;

/// A platform on which every call takes 40 ms and fails with the same error.
#[derive(Clone)]
struct FailingPlatform(Manual, Error);

impl FailingPlatform {
    async fn fail<T>(&self) -> Result<T, Error> {
        self.0.advance(Duration::from_millis(40));
        Err(self.1.clone())
    }
}

impl Store for FailingPlatform {
    async fn get(&self, _: &str) -> Result<Option<Entry>, Error> {
        self.fail().await
    }

    async fn list(&self, _: &str) -> Result<(Vec<Entry>, Revision), Error> {
        self.fail().await
    }

    async fn write(&self, _: Write) -> Result<Revision, Error> {
        self.fail().await
    }

    async fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Batch, Error> {
        self.fail().await
    }

    async fn grant(&self, _: Duration) -> Result<Lease, Error> {
        self.fail().await
    }

    async fn renew(&self, _: Lease) -> Result<(), Error> {
        self.fail().await
    }

    async fn revoke(&self, _: Lease) -> Result<(), Error> {
        self.fail().await
    }
}

impl List for FailingPlatform {
    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.fail().await
    }
}

impl Weights for FailingPlatform {
    async fn limit(&self) -> Result<Limit, Error> {
        self.fail().await
    }
}

/// Makes the given call and returns its error.
async fn call_platform<P: Store + List + Weights>(platform: &P, call: Call) -> Error {
    let lease = Lease(1);
    let write = Write { key: "k".into(), value: None, expect: Expect::Any, lease: None };
    match call {
        Call::Get => platform.get("k").await.unwrap_err(),
        Call::List => platform.list("k").await.unwrap_err(),
        Call::Write => platform.write(write).await.unwrap_err(),
        Call::Watch => platform.watch("k", Revision(1), Duration::ZERO).await.unwrap_err(),
        Call::Grant => platform.grant(Duration::ZERO).await.unwrap_err(),
        Call::Renew => platform.renew(lease).await.unwrap_err(),
        Call::Revoke => platform.revoke(lease).await.unwrap_err(),
        Call::Hosts => platform.hosts().await.unwrap_err(),
        Call::Limit => platform.limit().await.unwrap_err(),
    }
}

#[tokio::test]
async fn each_call_is_counted_under_its_kind_and_result() {
    let errors = [
        (Error::Conflict(None), Outcome::Conflict),
        (Error::NotDone("down".into()), Outcome::NotDone),
        (Error::Unknown("silent".into()), Outcome::Unknown),
        (Error::LeaseLapsed, Outcome::LeaseLapsed),
    ];
    for (error, result) in errors {
        for call in Call::ALL {
            let (clock, metrics) = (Manual::start(), Metrics::new().unwrap());
            let port = FailingPlatform(clock.clone(), error.clone());
            let platform = Metered::new(port, clock, metrics.clone());
            assert_eq!(call_platform(&platform, *call).await, error);

            let text = metrics.render();
            let counted: Vec<&str> = text
                .lines()
                .filter(|line| line.starts_with("hickory_platform_calls_total{"))
                .filter(|line| !line.ends_with(" 0"))
                .collect();
            let series =
                format!(r#"hickory_platform_calls_total{{call="{call}",result="{result}"}} 1"#);
            assert_eq!(counted, [series]);
            let seconds = format!(r#"hickory_platform_call_seconds_sum{{call="{call}"}} "#);
            let expected = if *call == Call::Watch { "0" } else { "0.04" };
            assert!(text.contains(&format!("{seconds}{expected}\n")), "{text}");
        }
    }
}
