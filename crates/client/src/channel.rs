//! Connections that are ready for one call, directly or through a relay.

use crate::connection::{Connection, Ending};
use crate::exchange::{Exchange, Reuse};
use crate::pool::MAX_IDLE_TIME;
use crate::{Client, Error};
use bytes::Bytes;
use derive_more::Display;
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;

/// A connection that is ready for one call. Dropping it closes it.
#[derive(Debug)]
pub struct Channel {
    client: Client,
    connection: Option<Connection>,
    route: Route,
    /// Whether a call may have been written.
    is_used: bool,
}

/// The way that a connection takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Route {
    /// It ends at this address, under which it is kept for later calls.
    Direct(SocketAddr),
    /// The relay at this address forwards it. It is used once.
    Relayed(SocketAddr),
}

impl Route {
    /// Returns the address of the relay.
    pub(crate) fn relay(self) -> Option<SocketAddr> {
        match self {
            Self::Direct(_) => None,
            Self::Relayed(relay) => Some(relay),
        }
    }
}

/// A call that got no response.
#[derive(Debug)]
pub struct SendError {
    /// The cause.
    pub error: Error,
    /// How the connection ended.
    pub ending: Ending,
    /// The request if no byte of it has been written.
    pub unsent: Option<http::Request<Full<Bytes>>>,
}

/// Why a relay opened no connection.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum RelayError {
    /// No process listens at the destination.
    #[display("the destination refuses connections")]
    Refused,
    /// The relay works and doesn't connect to this destination.
    #[display("the relay declines: {_0}")]
    #[error(ignore)]
    Declined(String),
    /// The destination refuses the relay, which can't tell whether its own links work.
    #[display("refused as well, the relay's own links may be down")]
    Unsure,
    /// The relay works and is about to end.
    #[display("the relay is stopping")]
    Stopping,
    /// The relay can't connect, or can't be reached.
    #[display("no relay: {_0}")]
    #[error(ignore)]
    Unavailable(String),
}

impl Channel {
    /// Sends a request and waits for the response headers. Dropping the future resets the
    /// connection, which cancels the request.
    pub async fn send(
        mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<Exchange, SendError> {
        let Some(connection) = &mut self.connection else {
            let error = Error::NotSent("no connection".into());
            return Err(SendError { error, ending: Ending::Broken, unsent: Some(request) });
        };
        self.is_used = true;
        match connection.send(request).await {
            Ok(response) => {
                let (client, connection) = (self.client.clone(), self.connection.take());
                Ok(Exchange::new(client, self.route, connection, response))
            }
            Err(failure) => {
                let error = match failure.unsent {
                    Some(_) => Error::NotSent(failure.text),
                    None => Error::Unknown(failure.text),
                };
                Err(SendError { error, ending: failure.ending, unsent: failure.unsent })
            }
        }
    }

    /// Returns whether a relay forwards the connection.
    pub fn is_relayed(&self) -> bool {
        self.relay().is_some()
    }

    /// Returns the address of the relay that forwards the connection.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.route.relay()
    }

    /// Keeps the connection for a later call.
    pub fn release(mut self) {
        if let (Route::Direct(address), Some(connection)) = (self.route, self.connection.take()) {
            self.client.pool.put(address, connection, MAX_IDLE_TIME);
        }
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        match &self.connection {
            Some(connection) if self.is_used => connection.abort(),
            Some(connection) => connection.close(),
            None => {}
        }
    }
}

impl Client {
    /// Takes an idle connection to `address`.
    pub fn take_idle(&self, address: SocketAddr, reuse: Reuse) -> Option<Channel> {
        let max_idle = match reuse {
            Reuse::Any => MAX_IDLE_TIME,
            Reuse::Within(time) => time,
        };
        let connection = self.pool.take(address, max_idle)?;
        let (connection, route) = (Some(connection), Route::Direct(address));
        Some(Channel { client: self.clone(), connection, route, is_used: false })
    }

    /// Opens a connection to `address`.
    pub async fn connect(&self, address: SocketAddr) -> Result<Channel, Error> {
        let connection = Some(self.open_connection(address).await?);
        let route = Route::Direct(address);
        Ok(Channel { client: self.clone(), connection, route, is_used: false })
    }

    /// Opens a connection that `relay` forwards to a destination, which `path` names. The relay
    /// must confirm it within `timeout`.
    pub async fn connect_relayed(
        &self,
        relay: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Channel, RelayError> {
        let opened = Connection::open_relayed(
            relay,
            path,
            self.connect_timeout,
            self.user_timeout,
            self.max_head,
        );
        let opened = tokio::time::timeout(timeout, opened).await;
        let connection =
            opened.unwrap_or_else(|_| Err(RelayError::Unavailable("timeout".into())))?;
        let (connection, route) = (Some(connection), Route::Relayed(relay));
        Ok(Channel { client: self.clone(), connection, route, is_used: false })
    }
}
