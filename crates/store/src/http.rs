//! HTTP adapters for the platform's services.
//!
//! A process uses one pooled client. The errors of [`hickory_client`] state whether a failed write
//! may have taken effect.

use crate::host;
use crate::store::{Batch, Entry, Error, Lease, Revision, Store, Write};
use crate::weight;
use hickory_client::{Call, Client, Response, escape};
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout for connecting. The platform responds within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The platform over HTTP.
#[derive(Clone, Debug)]
pub struct Platform {
    client: Client,
    store: SocketAddr,
    hosts: SocketAddr,
    weights: SocketAddr,
    timeout: Duration,
}

/// The addresses of the platform's services.
#[derive(Clone, Copy, Debug)]
pub struct Address {
    /// The key-value service.
    pub store: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

/// The response to a list: the entries and the service's revision.
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
    /// Opens the adapters. Each call ends within `timeout`.
    pub fn open(address: Address, timeout: Duration) -> Self {
        let client = Client::open(CONNECT_TIMEOUT.min(timeout));
        let Address { store, hosts, weights } = address;
        Self { client, store, hosts, weights, timeout }
    }

    async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<T, Error> {
        let body = body.map(serde_json::to_vec).transpose().map_err(not_done)?.unwrap_or_default();
        let call = Call { method, path, key: None, body: body.into() };
        let response = self.client.exchange(address, call, timeout).await?;
        read_response(&response)
    }
}

impl From<hickory_client::Error> for Error {
    fn from(error: hickory_client::Error) -> Self {
        match error {
            error @ hickory_client::Error::Refused => Self::NotDone(error.to_string()),
            hickory_client::Error::NotSent(text) => Self::NotDone(text),
            hickory_client::Error::Unknown(text) => Self::Unknown(text),
        }
    }
}

/// Interprets a response by its status. Only after a client error the call certainly had no effect;
/// after a server error a write may have taken effect.
fn read_response<T: DeserializeOwned>(response: &Response) -> Result<T, Error> {
    match response.status {
        StatusCode::OK => {
            serde_json::from_slice(&response.body).map_err(|e| Error::Unknown(e.to_string()))
        }
        StatusCode::NOT_FOUND => Err(Error::LeaseLapsed),
        // A conflict whose entry can't be parsed must not look like one with an absent key.
        StatusCode::CONFLICT => match serde_json::from_slice(&response.body) {
            Ok(present) => Err(Error::Conflict(present)),
            Err(error) => Err(not_done(error)),
        },
        status if status.is_client_error() => Err(not_done(status)),
        status => Err(Error::Unknown(format!("status {status}"))),
    }
}

fn not_done(error: impl std::fmt::Display) -> Error {
    Error::NotDone(error.to_string())
}

impl Store for Platform {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let path = format!("/kv/get?key={}", escape(key));
        self.call(self.store, Method::GET, &path, None::<&()>, self.timeout).await
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Entry>, Revision), Error> {
        let path = format!("/kv/list?prefix={}", escape(prefix));
        let listing: Listing =
            self.call(self.store, Method::GET, &path, None::<&()>, self.timeout).await?;
        Ok((listing.entries, listing.revision))
    }

    async fn write(&self, write: Write) -> Result<Revision, Error> {
        self.call(self.store, Method::POST, "/kv/write", Some(&write), self.timeout).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Batch, Error> {
        let path = format!(
            "/kv/watch?prefix={}&after={}&wait_ms={}",
            escape(prefix),
            after,
            wait.as_millis()
        );
        self.call(self.store, Method::GET, &path, None::<&()>, wait + self.timeout).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let body = Grant { ttl_ms: ttl.as_millis() as u64 };
        self.call(self.store, Method::POST, "/lease/grant", Some(&body), self.timeout).await
    }

    async fn renew(&self, lease: Lease) -> Result<(), Error> {
        self.call(self.store, Method::POST, "/lease/renew", Some(&lease), self.timeout).await
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.call(self.store, Method::POST, "/lease/revoke", Some(&lease), self.timeout).await
    }
}

impl host::List for Platform {
    async fn hosts(&self) -> Result<Vec<host::Host>, Error> {
        self.call(self.hosts, Method::GET, "/hosts", None::<&()>, self.timeout).await
    }
}

impl weight::Weights for Platform {
    async fn limit(&self) -> Result<weight::Limit, Error> {
        self.call(self.weights, Method::GET, "/limit", None::<&()>, self.timeout).await
    }
}
