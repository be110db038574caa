//! HTTP adapters of the platform's ports.
//!
//! One pooled client a process. A connection on which an exchange timed out
//! is closed, never used again, so that a late answer can't be taken for the
//! answer to a later call.

use crate::host;
use crate::store::{Batch, Entry, Error, Lease, Revision, Store, Write};
use crate::weight;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a connect may take: the platform answers in milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The platform over HTTP.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client<HttpConnector, Full<Bytes>>,
    store: SocketAddr,
    hosts: SocketAddr,
    weights: SocketAddr,
    timeout: Duration,
}

/// Where the platform's services listen.
#[derive(Clone, Copy, Debug)]
pub struct Address {
    /// The key-value service.
    pub store: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

/// The answer to a list: the entries and the service's revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listing {
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
    /// The revision of the service.
    pub revision: Revision,
}

/// The body of a lease grant.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Grant {
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}

impl Platform {
    /// Opens the adapters; each call ends within `timeout`.
    pub fn open(address: Address, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.min(timeout)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        let Address { store, hosts, weights } = address;
        Self { client, store, hosts, weights, timeout }
    }

    async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<T, Error> {
        let body = body.map(serde_json::to_vec).transpose().map_err(not_done)?.unwrap_or_default();
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(not_done)?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| {
                if e.is_connect() { not_done(e) } else { Error::Unknown(e.to_string()) }
            })?;
            let status = response.status();
            let body = response.into_body().collect().await;
            Ok((status, body.map_err(|e| Error::Unknown(e.to_string()))?.to_bytes()))
        };
        let (status, body) = tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| Error::Unknown("timeout".into()))??;
        match status.as_u16() {
            200 => serde_json::from_slice(&body).map_err(|e| Error::Unknown(e.to_string())),
            404 => Err(Error::LeaseLapsed),
            409 => Err(Error::Conflict(serde_json::from_slice(&body).unwrap_or(None))),
            _ => Err(Error::NotDone(format!("status {status}"))),
        }
    }
}

fn not_done(error: impl std::fmt::Display) -> Error {
    Error::NotDone(error.to_string())
}

/// Escapes what a query value may not hold.
fn escape(text: &str) -> String {
    text.bytes()
        .map(|b| match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'/' | b'-' | b'_' | b'.' => {
                char::from(b).to_string()
            }
            _ => format!("%{b:02X}"),
        })
        .collect()
}

impl Store for Platform {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let path = format!("/kv/get?key={}", escape(key));
        self.call(self.store, "GET", &path, None::<&()>, self.timeout).await
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), Error> {
        let path = format!("/kv/list?prefix={}", escape(prefix));
        let listing: Listing =
            self.call(self.store, "GET", &path, None::<&()>, self.timeout).await?;
        Ok((listing.entries, listing.revision))
    }

    async fn write(&self, write: Write) -> Result<Revision, Error> {
        self.call(self.store, "POST", "/kv/write", Some(&write), self.timeout).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Batch, Error> {
        let path = format!(
            "/kv/watch?prefix={}&after={}&wait_ms={}",
            escape(prefix),
            after,
            wait.as_millis()
        );
        self.call(self.store, "GET", &path, None::<&()>, wait + self.timeout).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let body = Grant { ttl_ms: ttl.as_millis() as u64 };
        self.call(self.store, "POST", "/lease/grant", Some(&body), self.timeout).await
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        self.call(self.store, "POST", "/lease/renew", Some(&lease), self.timeout).await
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.call(self.store, "POST", "/lease/revoke", Some(&lease), self.timeout).await
    }
}

impl host::List for Platform {
    async fn hosts(&self) -> Result<Vec<host::Host>, Error> {
        self.call(self.hosts, "GET", "/hosts", None::<&()>, self.timeout).await
    }
}

impl weight::Weights for Platform {
    async fn limit(&self) -> Result<weight::Limit, Error> {
        self.call(self.weights, "GET", "/limit", None::<&()>, self.timeout).await
    }
}
