//! The HTTP client that callers use.

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a request received no response.
#[derive(Clone, Debug, Display, PartialEq, Eq, Error)]
pub enum Error {
    /// The connection could not be opened; no data was sent.
    #[display("the connection could not be opened")]
    NotConnected,
    /// The connection broke after data may have been sent.
    #[display("the connection broke: {_0}")]
    Broken(#[error(not(source))] String),
}

/// A client with a connection pool. Dropping a request before its response is
/// complete closes its connection.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Http {
    /// Creates a client.
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

    /// Sends a request and returns the response as soon as its head has arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<http::Response<Incoming>, Error> {
        let mut request =
            http::Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(body)).map_err(|e| Error::Broken(e.to_string()))?;
        self.client.request(request).await.map_err(|error| match error.is_connect() {
            true => Error::NotConnected,
            false => Error::Broken(error.to_string()),
        })
    }

    /// Requests a document and returns its status and body.
    pub async fn get_text(&self, address: SocketAddr, path: &str) -> Result<(u16, Bytes), Error> {
        let response = self.send(address, "GET", path, &[], Bytes::new()).await?;
        let status = response.status().as_u16();
        Ok((status, read_body(response.into_body()).await?))
    }
}

/// Reads a body to its end.
pub async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    let collected = body.collect().await.map_err(|e| Error::Broken(e.to_string()))?;
    Ok(collected.to_bytes())
}
