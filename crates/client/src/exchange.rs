//! Requests with custom headers and streamed responses.

use crate::connection::Connection;
use crate::pool::MAX_IDLE_TIME;
use crate::{Client, Error};
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

/// A request whose response headers have arrived. Dropping it closes its connection, which tells
/// the other end to cancel the request.
#[derive(Debug)]
pub struct Exchange {
    client: Client,
    address: SocketAddr,
    connection: Option<Connection>,
    /// The head of the response.
    pub head: http::response::Parts,
    /// The body of the response.
    pub body: Incoming,
}

impl Exchange {
    /// Returns the connection to the pool, where it stays idle for at most `max_idle`. Call this
    /// only after the whole body was read.
    pub fn release(mut self, max_idle: Option<Duration>) {
        if let Some(connection) = self.connection.take() {
            self.client.pool.put(self.address, connection, max_idle.unwrap_or(MAX_IDLE_TIME));
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.close();
        }
    }
}

/// Closes the connection of a request that is cancelled before the response headers arrive.
struct CloseOnDrop(Option<Connection>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.close();
        }
    }
}

impl Client {
    /// Sends a request and waits for the response headers. The request is written to a second
    /// connection only if no byte of it was written to the first. Only connecting has a timeout;
    /// the caller limits the rest. Dropping the future closes the connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: http::Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<Exchange, Error> {
        let max_idle = match reuse {
            Reuse::Any => MAX_IDLE_TIME,
            Reuse::Within(time) => time,
        };
        loop {
            let pooled = self.pool.take(address, max_idle);
            let is_pooled = pooled.is_some();
            let connection = match pooled {
                Some(connection) => connection,
                None => self.connect(address).await?,
            };
            let mut guard = CloseOnDrop(Some(connection));
            let Some(connection) = &mut guard.0 else {
                return Err(Error::NotSent("no connection".into()));
            };
            match connection.send(request).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    let connection = guard.0.take();
                    return Ok(Exchange { client: self.clone(), address, connection, head, body });
                }
                Err(failure) => match failure.unsent {
                    Some(unsent) if is_pooled => request = unsent,
                    Some(_) => return Err(Error::NotSent(failure.text)),
                    None => return Err(Error::Unknown(failure.text)),
                },
            }
        }
    }
}
