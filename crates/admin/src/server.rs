//! The server: one listener, a bounded number of connections.

use crate::control::Control;
use crate::problem::{Code, Problem};
use crate::route;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Tries at finding a free port where none is given.
const MAX_PORT_ATTEMPTS: usize = 16;

/// The bounds of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Connections served at once, each by a thread; more wait to be
    /// accepted. A few operators and scrapers need a handful; the bound keeps
    /// a flood from taking the threads and the memory that callers are served
    /// with.
    pub max_connections: usize,
    /// How long a read or write on a connection may stand. A connection that
    /// is silent for good, because its other end is frozen or lost, must not
    /// hold one of the few threads for good.
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
/// The library can't stop listening. A dropped handle lets go of the control,
/// and what still connects is told that the node is gone; the listener's
/// thread remains until the process ends.
#[derive(Debug)]
pub struct Handle<C> {
    address: SocketAddr,
    control: SharedControl<C>,
}

type SharedControl<C> = Arc<RwLock<Option<Arc<C>>>>;

impl Server {
    /// Serves `control` at `address`; port 0 takes any that is free.
    pub fn spawn<C: Control>(address: SocketAddr, control: Arc<C>) -> io::Result<Handle<C>> {
        Self::spawn_with_options(Options::default(), address, control)
    }

    /// Serves within bounds other than the usual ones.
    pub fn spawn_with_options<C: Control>(
        options: Options,
        address: SocketAddr,
        control: Arc<C>,
    ) -> io::Result<Handle<C>> {
        let slot = Arc::new(RwLock::new(Some(control)));
        let mut tries = MAX_PORT_ATTEMPTS;
        loop {
            let bound = choose_port(address)?;
            match listen(options, bound, &slot) {
                Ok(()) => return Ok(Handle { address: bound, control: slot }),
                Err(error) if address.port() != 0 || tries == 0 => return Err(error),
                Err(_) => tries -= 1,
            }
        }
    }
}

impl<C> Handle<C> {
    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl<C> Drop for Handle<C> {
    fn drop(&mut self) {
        *self.control.write().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

/// Names a free port in place of port 0: the library tells no one which port
/// it was given.
fn choose_port(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    TcpListener::bind(address)?.local_addr()
}

fn listen<C: Control>(
    options: Options,
    address: SocketAddr,
    slot: &SharedControl<C>,
) -> io::Result<()> {
    let slot = Arc::clone(slot);
    oxhttp::Server::new(move |request| {
        let control = slot.read().unwrap_or_else(PoisonError::into_inner).clone();
        match control {
            Some(control) => route::answer(&*control, request),
            None => route::render_problem(&Problem::new(Code::Unavailable, "the node has stopped")),
        }
    })
    .bind(address)
    .with_global_timeout(options.timeout)
    .with_max_concurrent_connections(options.max_connections)
    .spawn()
    .map(drop)
}
