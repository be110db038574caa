//! Connections between nodes.
//!
//! Cap'n Proto objects are bound to one thread, so a dedicated thread runs all links and the rest
//! of the node sends it calls through a channel. If a call times out, its link is closed and the
//! next call opens a new one. A firewall or router that drops the state of a connection leaves that
//! connection silent forever while new ones work, so a silent connection does not show that the
//! peer is down.

use crate::codec;
use crate::message::{Adoption, Document, Gossip, Outcome, Permit, PermitRequest, Refusal};
use crate::peer_capnp::{login, peer};
use crate::proof::{Key, Side, generate_nonce, is_valid_proof};
use crate::server::serve;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use derive_more::Display;
use futures::AsyncReadExt;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::sync::CancellationToken;

/// Timeout for connecting and mutual authentication.
const LOGIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call to a peer failed.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// Connecting or authenticating failed.
    #[display("can't connect: {_0}")]
    #[error(ignore)]
    Connect(String),
    /// The connection broke, or the answer did not arrive in time.
    #[display("no answer: {_0}")]
    #[error(ignore)]
    NoAnswer(String),
    /// This node has closed its links.
    #[display("closed")]
    Closed,
}

/// The calls that a node serves for its peers.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Processes a peer's gossip and returns this node's own.
    fn exchange(&self, gossip: Gossip) -> Gossip;

    /// Grants or refuses a permit. If the requester stops waiting, the future is dropped, which
    /// must remove the request from the queue.
    fn permit(
        &self,
        permit_request: PermitRequest,
    ) -> impl Future<Output = Result<Permit, Refusal>> + Send;

    /// Processes the result of a permitted attempt.
    fn outcome(&self, outcome: Outcome);

    /// Transfers a stream to the requesting node.
    fn adopt(&self, adoption: Adoption) -> Result<Permit, Refusal>;

    /// Returns the configuration in force.
    fn configuration(&self) -> Option<Document>;

    /// Returns the latest known ownership table.
    fn owners(&self) -> Option<Document>;
}

/// The links of a node: a server for its peers and a client for each of them.
#[derive(Clone, Debug)]
pub struct Links {
    calls: mpsc::UnboundedSender<Call>,
    address: SocketAddr,
    stop: watch::Sender<bool>,
}

#[derive(Debug)]
enum Call {
    Exchange(SocketAddr, Gossip, oneshot::Sender<Result<Gossip, Error>>),
    Permit(SocketAddr, Box<PermitRequest>, oneshot::Sender<Result<Result<Permit, Refusal>, Error>>),
    Outcome(SocketAddr, Box<Outcome>, oneshot::Sender<Result<(), Error>>),
    Release(SocketAddr, oneshot::Sender<Result<Option<Document>, Error>>),
    Owners(SocketAddr, oneshot::Sender<Result<Option<Document>, Error>>),
    Adopt(SocketAddr, Box<Adoption>, oneshot::Sender<Result<Result<Permit, Refusal>, Error>>),
    Probe(SocketAddr, oneshot::Sender<Result<(), Error>>),
    Close(SocketAddr),
}

impl Links {
    /// Serves peers on `listener` and starts the thread that runs the links.
    pub fn spawn<H: Handler>(
        listener: std::net::TcpListener,
        key: Key,
        handler: H,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (calls, call_receiver) = mpsc::unbounded_channel();
        let (stop, stopped) = watch::channel(false);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("links".into()).spawn(move || {
            let local = LocalSet::new();
            runtime.block_on(local.run_until(run_links(
                listener,
                key,
                handler,
                call_receiver,
                stopped,
            )));
        })?;
        Ok(Self { calls, address, stop })
    }

    /// Returns the address at which peers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Exchanges gossip with a peer; closes the link if the peer does not answer in time.
    pub async fn exchange(
        &self,
        to: SocketAddr,
        gossip: Gossip,
        timeout: Duration,
    ) -> Result<Gossip, Error> {
        self.call(to, timeout, |answer| Call::Exchange(to, gossip, answer)).await
    }

    /// Requests a permit from the owner at `to` and waits up to `timeout`. Dropping the future
    /// withdraws the request.
    pub async fn request_permit(
        &self,
        to: SocketAddr,
        permit_request: PermitRequest,
        timeout: Duration,
    ) -> Result<Result<Permit, Refusal>, Error> {
        let (answer, wait) = oneshot::channel();
        let call = Call::Permit(to, Box::new(permit_request), answer);
        self.calls.send(call).map_err(|_| Error::Closed)?;
        match tokio::time::timeout(timeout, wait).await {
            Ok(answer) => answer.unwrap_or(Err(Error::Closed)),
            Err(_) => Err(Error::NoAnswer("timeout".into())),
        }
    }

    /// Reports to the owner how a permitted attempt ended.
    pub async fn report_outcome(
        &self,
        to: SocketAddr,
        outcome: Outcome,
        timeout: Duration,
    ) -> Result<(), Error> {
        self.call(to, timeout, |answer| Call::Outcome(to, Box::new(outcome), answer)).await
    }

    /// Fetches the configuration that a peer has in force.
    pub async fn fetch_configuration(
        &self,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<Option<Document>, Error> {
        self.call(to, timeout, |answer| Call::Release(to, answer)).await
    }

    /// Fetches the ownership table that a peer has.
    pub async fn fetch_owners(
        &self,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<Option<Document>, Error> {
        self.call(to, timeout, |answer| Call::Owners(to, answer)).await
    }

    /// Requests from the owner that this node takes over the rest of a stream that another node
    /// opened.
    pub async fn adopt(
        &self,
        to: SocketAddr,
        adoption: Adoption,
        timeout: Duration,
    ) -> Result<Result<Permit, Refusal>, Error> {
        self.call(to, timeout, |answer| Call::Adopt(to, Box::new(adoption), answer)).await
    }

    /// Checks that a new connection to the peer can be opened and authenticated.
    pub async fn probe(&self, to: SocketAddr, timeout: Duration) -> Result<(), Error> {
        self.call(to, timeout, |answer| Call::Probe(to, answer)).await
    }

    /// Closes all links and the server.
    pub fn close(&self) {
        self.stop.send_replace(true);
    }

    async fn call<T>(
        &self,
        to: SocketAddr,
        timeout: Duration,
        make_call: impl FnOnce(oneshot::Sender<Result<T, Error>>) -> Call,
    ) -> Result<T, Error> {
        let (answer, wait) = oneshot::channel();
        self.calls.send(make_call(answer)).map_err(|_| Error::Closed)?;
        match tokio::time::timeout(timeout, wait).await {
            Ok(answer) => answer.unwrap_or(Err(Error::Closed)),
            Err(_) => {
                let _ = self.calls.send(Call::Close(to));
                Err(Error::NoAnswer("timeout".into()))
            }
        }
    }
}

async fn run_links<H: Handler>(
    listener: std::net::TcpListener,
    key: Key,
    handler: H,
    mut call_receiver: mpsc::UnboundedReceiver<Call>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(listener) = TcpListener::from_std(listener) else { return };
    let server_stopped = stopped.clone();
    let clients = Rc::new(Clients { key: key.clone(), open: RefCell::default() });
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (key, handler) = (key.clone(), handler.clone());
                    let stopped = server_stopped.clone();
                    tokio::task::spawn_local(serve(stream, key, handler, stopped));
                }
                // Most likely the process has no file descriptors left; wait until some are closed.
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            },
            call = call_receiver.recv() => match call {
                Some(call) => {
                    let clients = clients.clone();
                    tokio::task::spawn_local(async move { clients.handle(call).await });
                }
                None => return,
            },
            _ = stopped.wait_for(|stop| *stop) => return,
        }
    }
}

/// The client side of the links, one connection per peer.
struct Clients {
    key: Key,
    open: RefCell<HashMap<SocketAddr, Rc<Link>>>,
}

/// One connection to a peer.
#[derive(Default)]
struct Link {
    peer: tokio::sync::OnceCell<peer::Client>,
    task: RefCell<Option<tokio::task::AbortHandle>>,
    closed: CancellationToken,
}

impl Clients {
    async fn handle(self: Rc<Self>, call: Call) {
        match call {
            Call::Close(to) => self.close(to),
            Call::Exchange(to, gossip, answer) => {
                let run = async |peer: peer::Client| {
                    let mut request = peer.exchange_request();
                    codec::write_gossip(&gossip, request.get().init_gossip());
                    let response = request.send().promise.await.map_err(call_error)?;
                    let gossip = response.get().and_then(|r| r.get_gossip()).map_err(call_error)?;
                    codec::read_gossip(gossip).map_err(call_error)
                };
                self.run_call(to, answer, run).await;
            }
            Call::Permit(to, permit_request, answer) => {
                let run = async |peer: peer::Client| {
                    let mut request = peer.permit_request();
                    codec::write_permit_request(&permit_request, request.get().init_ask());
                    let response = request.send().promise.await.map_err(call_error)?;
                    let peer_answer =
                        response.get().and_then(|r| r.get_answer()).map_err(call_error)?;
                    codec::read_answer(peer_answer).map_err(call_error)
                };
                self.run_call(to, answer, run).await;
            }
            Call::Outcome(to, outcome, answer) => {
                let run = async |peer: peer::Client| {
                    let mut request = peer.outcome_request();
                    codec::write_outcome(&outcome, request.get().init_outcome());
                    request.send().promise.await.map_err(call_error).map(drop)
                };
                self.run_call(to, answer, run).await;
            }
            Call::Release(to, answer) => {
                let run = async |peer: peer::Client| {
                    let request = peer.release_request();
                    let response = request.send().promise.await.map_err(call_error)?;
                    let document = response.get().and_then(|r| r.get_document());
                    codec::read_document(document.map_err(call_error)?).map_err(call_error)
                };
                self.run_call(to, answer, run).await;
            }
            Call::Owners(to, answer) => {
                let run = async |peer: peer::Client| {
                    let request = peer.owners_request();
                    let response = request.send().promise.await.map_err(call_error)?;
                    let document = response.get().and_then(|r| r.get_document());
                    codec::read_document(document.map_err(call_error)?).map_err(call_error)
                };
                self.run_call(to, answer, run).await;
            }
            Call::Adopt(to, adoption, answer) => {
                let run = async |peer: peer::Client| {
                    let mut request = peer.adopt_request();
                    request.get().set_target(adoption.target.as_str());
                    request.get().set_stream(adoption.stream.to_string());
                    request.get().set_node(adoption.node.as_str());
                    request.get().set_keep(adoption.is_renewal);
                    let response = request.send().promise.await.map_err(call_error)?;
                    let peer_answer =
                        response.get().and_then(|r| r.get_answer()).map_err(call_error)?;
                    codec::read_answer(peer_answer).map_err(call_error)
                };
                self.run_call(to, answer, run).await;
            }
            Call::Probe(to, mut answer) => {
                let link = Link::default();
                tokio::select! {
                    opened = link.open(to, &self.key) => {
                        let _ = answer.send(opened.map(drop));
                    }
                    () = answer.closed() => {}
                }
                link.close();
            }
        }
    }

    /// Runs a call until it completes, its link is closed, or its receiver is dropped.
    async fn run_call<T>(
        &self,
        to: SocketAddr,
        mut answer: oneshot::Sender<Result<T, Error>>,
        run: impl AsyncFnOnce(peer::Client) -> Result<T, Error>,
    ) {
        let link = self.open.borrow_mut().entry(to).or_default().clone();
        let call = async {
            let peer = link.open(to, &self.key).await?.clone();
            run(peer).await
        };
        let result = tokio::select! {
            result = call => result,
            // After an RPC system is aborted, the library leaves its promises pending forever, so
            // the closing of the link must be awaited as well.
            () = link.closed.cancelled() => Err(Error::NoAnswer("link closed".into())),
            () = answer.closed() => return,
        };
        let is_open = self.open.borrow().get(&to).is_some_and(|open| Rc::ptr_eq(open, &link));
        if result.is_err() && is_open {
            self.close(to);
        }
        let _ = answer.send(result);
    }

    fn close(&self, to: SocketAddr) {
        if let Some(link) = self.open.borrow_mut().remove(&to) {
            link.close();
        }
    }
}

impl Link {
    fn close(&self) {
        self.closed.cancel();
        if let Some(task) = self.task.borrow_mut().take() {
            task.abort();
        }
    }

    async fn open(&self, to: SocketAddr, key: &Key) -> Result<&peer::Client, Error> {
        let login = self.peer.get_or_try_init(|| async {
            let stream = TcpStream::connect(to).await.map_err(connect_error)?;
            stream.set_nodelay(true).map_err(connect_error)?;
            let mut system = make_system(stream, rpc_twoparty_capnp::Side::Client, None);
            let login: login::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
            let task = tokio::task::spawn_local(async move {
                let _ = system.await;
            });
            *self.task.borrow_mut() = Some(task.abort_handle());
            authenticate(login, key).await
        });
        tokio::time::timeout(LOGIN_TIMEOUT, login)
            .await
            .map_err(|_| Error::Connect("timeout".into()))?
    }
}

async fn authenticate(login: login::Client, key: &Key) -> Result<peer::Client, Error> {
    let nonce = generate_nonce();
    let mut request = login.challenge_request();
    request.get().set_nonce(&nonce);
    let response = request.send().promise.await.map_err(connect_error)?;
    let challenge = response.get().map_err(connect_error)?;
    let server_nonce = challenge.get_nonce().map_err(connect_error)?;
    let proof = challenge.get_proof().map_err(connect_error)?;
    if !is_valid_proof(proof, key.compute_proof(Side::Server, &nonce, server_nonce)) {
        return Err(Error::Connect("the peer does not have the fleet key".into()));
    }
    let mut request = login.enter_request();
    request.get().set_proof(key.compute_proof(Side::Client, &nonce, server_nonce).as_bytes());
    let response = request.send().promise.await.map_err(connect_error)?;
    response.get().and_then(|r| r.get_peer()).map_err(connect_error)
}

pub(crate) fn make_system(
    stream: TcpStream,
    side: rpc_twoparty_capnp::Side,
    bootstrap: Option<capnp::capability::Client>,
) -> RpcSystem<rpc_twoparty_capnp::Side> {
    let (reader, writer) = stream.compat().split();
    let reader = futures::io::BufReader::new(reader);
    let writer = futures::io::BufWriter::new(writer);
    let network = twoparty::VatNetwork::new(reader, writer, side, Default::default());
    RpcSystem::new(Box::new(network), bootstrap)
}

fn connect_error(error: impl std::fmt::Display) -> Error {
    Error::Connect(error.to_string())
}

fn call_error(error: capnp::Error) -> Error {
    Error::NoAnswer(error.to_string())
}
