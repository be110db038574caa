//! The errors for response statuses and for bodies that can't be parsed.

use hickory_standin::server::{self, Call, Reply, Service};
use hickory_store::http::{Address, Platform};
use hickory_store::store::{Error, Expect, Store, Write};
use std::time::Duration;

/// A service that sends the same reply to every call.
#[derive(Clone)]
struct FixedReply(u16, &'static str);

impl Service for FixedReply {
    async fn call(&self, _call: Call) -> Reply {
        Reply::status(self.0, self.1)
    }
}

/// Status, body and the expected outcome of a write.
///
/// After a server error it is unknown whether the write took effect. A conflict whose entry can't
/// be parsed must not look like one with an absent key, or the caller would create the key again.
const CASES: &[(u16, &str, &str)] = &[
    (200, "7", "done"),
    (200, "", "unknown"),
    (200, "no revision", "unknown"),
    (204, "", "unknown"),
    (302, "", "unknown"),
    (400, "", "not done"),
    (404, "", "lapsed"),
    (409, "null", "conflict with an absent key"),
    (409, r#"{"key":"k","value":"v","revision":3}"#, "conflict with an entry"),
    (409, "no entry", "not done"),
    (429, "", "not done"),
    (500, "", "unknown"),
    (502, "", "unknown"),
    (503, "", "unknown"),
    (504, "", "unknown"),
];

#[tokio::test]
async fn the_status_determines_the_error() {
    for (status, body, expected) in CASES {
        let server =
            server::spawn("127.0.0.1:0".parse().unwrap(), FixedReply(*status, body)).unwrap();
        let address = server.address();
        let address = Address { store: address, hosts: address, weights: address };
        let platform = Platform::open(address, Duration::from_secs(10));
        let (key, value) = ("k".into(), Some("v".into()));
        let write = Write { key, value, expect: Expect::Absent, lease: None };
        let outcome = match platform.write(write).await {
            Ok(_) => "done",
            Err(Error::Conflict(None)) => "conflict with an absent key",
            Err(Error::Conflict(Some(_))) => "conflict with an entry",
            Err(Error::NotDone(_)) => "not done",
            Err(Error::Unknown(_)) => "unknown",
            Err(Error::LeaseLapsed) => "lapsed",
        };
        assert_eq!(outcome, *expected, "{status} {body}");
    }
}
