//! Requests with heads of their own, whose answers are read in pieces.

use crate::connection::Connection;
use crate::pool::MAX_IDLE_TIME;
use crate::{Client, Error};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::time::Duration;

/// Which idle connections a request may go out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any that is open.
    Any,
    /// Only one that was used within this time: the longer a connection has
    /// been idle, the likelier the other end closes it just when the request
    /// is written, and then nobody knows whether it ran.
    Within(Duration),
}

/// A request under way, from the head of its answer on. Dropping it closes
/// its connection, by which the other end learns that nobody waits any more.
#[derive(Debug)]
pub struct Exchange {
    client: Client,
    address: SocketAddr,
    connection: Option<Connection>,
    /// The head of the answer.
    pub head: http::response::Parts,
    /// Its body.
    pub body: Incoming,
}

impl Exchange {
    /// Gives the connection back for further requests, at most for `keep`; to
    /// be called only after the body was read whole.
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

/// Closes a connection whose request was given up on before the answer's head.
struct CloseOnDrop(Option<Connection>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.close();
        }
    }
}

impl Client {
    /// Sends a request and waits for the head of its answer. The request is
    /// written to a second connection only where none of it was written to the
    /// first. The caller bounds the time, and dropping the future closes the
    /// connection.
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
                None => Connection::open(address, self.connect_timeout, self.user_timeout).await?,
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
