//! Requests with custom headers and streamed responses.

use crate::channel::Route;
use crate::connection::Connection;
use crate::pool::MAX_IDLE_TIME;
use crate::{Client, Error, SendError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::Duration;

/// The idle connections that a request may be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any open connection.
    Any,
    /// Only a connection that was used within this time. The longer it has been idle, the more
    /// likely the other end closes it while the request is written, and then it is unknown whether
    /// the request ran.
    Within(Duration),
}

/// A request whose response headers have arrived. Dropping it resets its connection, which cancels
/// the request.
#[derive(Debug)]
pub struct Exchange {
    client: Client,
    route: Route,
    connection: Option<Connection>,
    /// The head of the response.
    pub head: http::response::Parts,
    /// The body of the response.
    pub body: Incoming,
}

impl Exchange {
    pub(crate) fn new(
        client: Client,
        route: Route,
        connection: Option<Connection>,
        response: http::Response<Incoming>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self { client, route, connection, head, body }
    }

    /// Returns the address of the relay that forwards the connection.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.route.relay()
    }

    /// Returns the connection to the pool, where it stays idle for at most `max_idle`; a relayed one
    /// is closed. Call this only after the whole body was read.
    pub fn release(mut self, max_idle: Option<Duration>) {
        let Some(connection) = self.connection.take() else { return };
        match self.route {
            Route::Direct(address) => {
                self.client.pool.put(address, connection, max_idle.unwrap_or(MAX_IDLE_TIME));
            }
            Route::Relayed(_) => connection.close(),
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.abort();
        }
    }
}

impl Client {
    /// Sends a request and waits for the response headers. The request is written to a second
    /// connection only if no byte of it was written to the first. Only connecting has a timeout;
    /// the caller limits the rest. Dropping the future resets the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: http::Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Exchange, Error> {
        while let Some(channel) = self.take_idle(address, reuse) {
            match channel.send(request).await {
                Ok(exchange) => return Ok(exchange),
                Err(SendError { unsent: Some(unsent), .. }) => request = unsent,
                Err(SendError { error, .. }) => return Err(error),
            }
        }
        self.connect(address).await?.send(request).await.map_err(|failure| failure.error)
    }
}
