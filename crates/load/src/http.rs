//! The HTTP client under the callers.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a node may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an exchange gave no response.
#[derive(Clone, Debug, Display, PartialEq, Eq, Error)]
pub enum Error {
    /// No connection could be made: nothing was sent.
    #[display("not connected")]
    NotConnected,
    /// The connection broke after something may have been sent.
    #[display("broken: {_0}")]
    Broken(#[error(not(source))] String),
}

/// A client with a pool of connections; an exchange that is dropped before
/// its end closes its connection.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Http {
    /// Opens the client.
    pub fn open() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the response with its body still to come.
    pub async fn send(
        &self,
        at: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<http::Response<Incoming>, Error> {
        let mut request = http::Request::builder().method(method).uri(format!("http://{at}{path}"));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(body)).map_err(|e| Error::Broken(e.to_string()))?;
        self.client.request(request).await.map_err(|error| match error.is_connect() {
            true => Error::NotConnected,
            false => Error::Broken(error.to_string()),
        })
    }

    /// Reads a whole document.
    pub async fn get_text(&self, at: SocketAddr, path: &str) -> Result<(u16, Bytes), Error> {
        let response = self.send(at, "GET", path, &[], Bytes::new()).await?;
        let status = response.status().as_u16();
        Ok((status, read_body(response.into_body()).await?))
    }
}

/// Reads a body to its end.
pub async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    let collected = body.collect().await.map_err(|e| Error::Broken(e.to_string()))?;
    Ok(collected.to_bytes())
}
