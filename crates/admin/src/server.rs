//! The HTTP server: one listener and a bounded number of connections.

use crate::control::Control;
use crate::problem::{Code, Problem};
use crate::route;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Maximum number of attempts to bind a free port if none is configured.
const MAX_PORT_ATTEMPTS: usize = 16;

/// Limits of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of concurrent connections, each served by its own thread; further connections
    /// wait to be accepted. A few operators and scrapers need only a handful. The limit keeps a
    /// flood of connections from using up threads and memory that serving callers needs.
    pub max_connections: usize,
    /// Timeout for reads and writes on a connection. A connection whose other end is frozen or
    /// unreachable would otherwise occupy one of the few threads forever.
    pub timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_connections: 16, timeout: Duration::from_secs(10) }
    }
}

/// The administration server.
#[derive(Debug)]
pub struct Server;

/// A running server.
///
/// `oxhttp` can't stop listening. Dropping the handle releases the control, and later requests get
/// an error that the node has stopped; the listener's thread runs until the process ends.
#[derive(Debug)]
pub struct Handle<C> {
    address: SocketAddr,
    control: ControlSlot<C>,
}

type ControlSlot<C> = Arc<RwLock<Option<Arc<C>>>>;

impl Server {
    /// Serves `control` at `address`; port 0 selects a free port.
    pub fn spawn<C: Control>(address: SocketAddr, control: Arc<C>) -> io::Result<Handle<C>> {
        Self::spawn_with_options(Options::default(), address, control)
    }

    /// Serves `control` with limits other than the defaults.
    pub fn spawn_with_options<C: Control>(
        options: Options,
        address: SocketAddr,
        control: Arc<C>,
    ) -> io::Result<Handle<C>> {
        let control_slot = Arc::new(RwLock::new(Some(control)));
        let mut attempts_left = MAX_PORT_ATTEMPTS;
        loop {
            let bound = choose_port(address)?;
            match listen(options, bound, &control_slot) {
                Ok(()) => return Ok(Handle { address: bound, control: control_slot }),
                Err(error) if address.port() != 0 || attempts_left == 0 => return Err(error),
                Err(_) => attempts_left -= 1,
            }
        }
    }
}

impl<C> Handle<C> {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl<C> Drop for Handle<C> {
    fn drop(&mut self) {
        *self.control.write().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

/// Replaces port 0 with a free port, because `oxhttp` does not report the port that it bound.
fn choose_port(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    TcpListener::bind(address)?.local_addr()
}

fn listen<C: Control>(
    options: Options,
    address: SocketAddr,
    control_slot: &ControlSlot<C>,
) -> io::Result<()> {
    let control_slot = Arc::clone(control_slot);
    oxhttp::Server::new(move |request| {
        let control = control_slot.read().unwrap_or_else(PoisonError::into_inner).clone();
        match control {
            Some(control) => route::respond(&*control, request),
            None => route::render_problem(&Problem::new(Code::Unavailable, "the node has stopped")),
        }
    })
    .bind(address)
    .with_global_timeout(options.timeout)
    .with_max_concurrent_connections(options.max_connections)
    .spawn()
    .map(drop)
}
