//! Relays: a node connects to targets on behalf of a peer that has lost its links to them.
//!
//! The peer names the target by its tag, and this node forwards the bytes of the connection. The
//! peer decides all else, as it does on its own connections.

use crate::core::{ActiveRequest, Core, Stage, UNACKNOWLEDGED_TIMEOUT};
use crate::dialect::Dialect;
use crate::reply::{self, Reply};
use crate::view::{Tag, Target};
use hickory_client::tunnel::{Buffer, END, HEARTBEAT, HEARTBEAT_INTERVAL};
use hickory_client::{Channel, RELAY_PROTOCOL, RelayError};
use hickory_store::store::Store;
use hickory_telemetry::label::Relay;
use hickory_unit::clock::Clock;
use hickory_unit::{id, size};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::upgrade::{OnUpgrade, Parts};
use hyper_util::rt::TokioIo;
use rand::seq::IteratorRandom;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::OwnedSemaphorePermit;

/// The path at which peers ask for a connection to a target.
pub(crate) const RELAY_PATH: &str = "/relay";

/// The maximum number of connections that a node relays at once. With their buffers they take a few
/// megabytes.
pub(crate) const MAX_RELAYED_CONNECTIONS: usize = 256;

/// The timeout of a relay for connecting to a target.
const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The timeout of a peer for a relayed connection.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of peers that are asked for a connection, without those that are stopping.
const MAX_PEERS_ASKED: usize = 3;

/// The number of stopping peers that are asked. This node learns of a stop within fractions of a
/// second, in which many peers may stop together.
const MAX_STOPPING_PEERS_ASKED: usize = 3;

/// The number of other targets by which a relay checks whether its own links work. Many targets may
/// have crashed under the same kind of request.
const MAX_LINK_CHECKS: usize = 4;

/// The number of other targets of a service by which links can be checked at all.
const MIN_CHECKABLE_TARGETS: usize = 2;

/// The peers that are asked for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peers {
    /// Those that have not failed for this service in the last seconds, so that requests don't fill the links of
    /// peers while all have lost their targets.
    Available,
    /// Any. Only for a question whose answer matters to other requests.
    Any,
}

/// Connects to a target through a peer.
///
/// # Errors
///
/// Returns whether the target refuses connections, or no peer could tell.
pub(crate) async fn connect<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    asked: Peers,
) -> Result<Channel, RelayError> {
    let (service, peers) = (&target.entry.service, find_peers(core));
    let path = format!("{RELAY_PATH}?target={:x}", target.tag.0);
    let (mut tried, mut stopping) = (Vec::new(), 0);
    let mut error = RelayError::Unavailable("no peer that relays".into());
    while tried.len() - stopping < MAX_PEERS_ASKED && stopping < MAX_STOPPING_PEERS_ASKED {
        let now = core.now();
        let chosen = match asked {
            Peers::Available => core
                .with_relays(service, |relays| relays.choose(now, &peers, &tried, rand::random())),
            Peers::Any => {
                let untried = peers.iter().filter(|peer| !tried.contains(*peer));
                untried.choose(&mut rand::rng()).copied()
            }
        };
        let Some(peer) = chosen else { break };
        let opened = core.client.connect_relayed(peer, &path, RELAY_TIMEOUT).await;
        // A stopping peer is not asked again either.
        let is_failed = match opened {
            // No peer can tell whether a target that accepted no connection ever will.
            Err(RelayError::Unsure) => core.with_links(service, |l| l.has_reached(target.tag)),
            Err(RelayError::Stopping | RelayError::Unavailable(_)) => true,
            Ok(_) | Err(RelayError::Refused | RelayError::Declined(_)) => false,
        };
        core.with_relays(service, |relays| relays.record(core.now(), peer, !is_failed));
        core.metrics.count_relay(match &opened {
            Ok(_) => Relay::Connected,
            Err(RelayError::Refused) => Relay::Refused,
            Err(_) => Relay::Unavailable,
        });
        match opened {
            Ok(_) | Err(RelayError::Refused) => return opened,
            Err(RelayError::Stopping) => stopping += 1,
            Err(_) if error == RelayError::Unsure => {}
            Err(failed) => error = failed,
        }
        tried.push(peer);
    }
    log::debug!(target_id = target.id.as_str(), asked = tried.len(); "{error}");
    Err(error)
}

/// Returns the peers that take work and whose version relays connections.
fn find_peers<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> Vec<SocketAddr> {
    let membership = core.membership();
    let ready = membership.alive().filter(|record| record.contact.is_ready);
    let ready: Vec<(id::Node, SocketAddr)> =
        ready.map(|record| (record.node.clone(), record.contact.sync_address)).collect();
    drop(membership);
    let states = core.peer_states();
    let is_capable =
        |(node, address): (id::Node, SocketAddr)| states.has_extensions(&node).then_some(address);
    ready.into_iter().filter_map(is_capable).collect()
}

/// Returns whether any peer can be asked for a connection.
pub(crate) fn has_peers<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> bool {
    !find_peers(core).is_empty()
}

/// Answers a peer that asks for a connection to a target.
pub(crate) async fn answer<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    request: Request<Incoming>,
) -> Response<Reply> {
    let Some(target) = find_target(&core, request.uri().query().unwrap_or_default()) else {
        return reply::plain(StatusCode::NOT_FOUND, "no such target");
    };
    // The target takes a relayed request for one of this node.
    if !core.may_send(target.tag) {
        return reply::plain(StatusCode::GONE, "the target leaves or rests");
    }
    if core.with_links(&target.entry.service, |links| links.are_all_down()) {
        return reply::plain(StatusCode::SERVICE_UNAVAILABLE, "own links to targets are down");
    }
    let Ok(slot) = core.relay_slots.clone().try_acquire_owned() else {
        return reply::plain(StatusCode::SERVICE_UNAVAILABLE, "too many relayed connections");
    };
    let began = core.now();
    let stream = match connect_to_target(&core, &target).await {
        Ok(stream) => stream,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            return match has_working_links(&core, &target, began).await {
                true => reply::plain(StatusCode::BAD_GATEWAY, "the target refuses connections"),
                false => reply::plain(StatusCode::FAILED_DEPENDENCY, "own links may be down"),
            };
        }
        Err(error) => return reply::plain(StatusCode::GATEWAY_TIMEOUT, &error.to_string()),
    };
    // How long the connection will last isn't known, and the stop would cut it off.
    if core.stage() != Stage::Serving {
        return reply::plain(StatusCode::MISDIRECTED_REQUEST, "this node is stopping");
    }
    // Peers of an earlier version would take the marks for bytes of the target. They still hear
    // whether the target refuses connections.
    if request.headers().get(header::UPGRADE).is_none_or(|name| name != RELAY_PROTOCOL) {
        return reply::plain(StatusCode::UPGRADE_REQUIRED, "this protocol is not relayed");
    }
    let upgrade = hyper::upgrade::on(request);
    tokio::spawn(serve(core, upgrade, stream, slot));
    let mut response = reply::plain(StatusCode::SWITCHING_PROTOCOLS, "");
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(header::UPGRADE, HeaderValue::from_static(RELAY_PROTOCOL));
    response
}

fn find_target<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    query: &str,
) -> Option<Arc<Target>> {
    let tag = u64::from_str_radix(query.strip_prefix("target=")?, 16).ok()?;
    core.view().find_target(Tag(tag)).cloned()
}

async fn connect_to_target<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
) -> io::Result<TcpStream> {
    let address = core.client.translate(target.entry.address);
    let connected = tokio::time::timeout(TARGET_CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    core.with_links(&target.entry.service, |links| links.record_connection(core.now(), target.tag));
    Ok(stream)
}

/// Returns whether this node has reached other targets than one that refused a connection, since
/// `began`. An earlier connection proves nothing, as all nodes may have just lost their links.
async fn has_working_links<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    refusing: &Target,
    began: Instant,
) -> bool {
    let service = &refusing.entry.service;
    if core.with_links(service, |links| links.has_connected_since(began)) {
        return true;
    }
    let (view, now) = (core.view(), core.now());
    let is_other = |target: &&Arc<Target>| {
        target.entry.address != refusing.entry.address && target.is_accepting(now)
    };
    let others: Vec<_> = view.targets_of(service).iter().filter(is_other).cloned().collect();
    // All targets of a small service may be down together.
    let others = match others.len() {
        count if count >= MIN_CHECKABLE_TARGETS => others,
        _ => view.targets.values().flatten().filter(is_other).cloned().collect(),
    };
    let checked = choose_for_check(core, others);
    let checks = checked.iter().map(|other| Box::pin(connect_to_target(core, other)));
    !checked.is_empty() && futures::future::select_ok(checks).await.is_ok()
}

/// Chooses targets by which links can be checked, each at an address of its own: those first that accepted a
/// connection before, since entries may lead nowhere.
fn choose_for_check<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    targets: Vec<Arc<Target>>,
) -> Vec<Arc<Target>> {
    let by_address: HashMap<SocketAddr, Arc<Target>> =
        targets.into_iter().map(|target| (target.entry.address, target)).collect();
    let has_reached = |target: &Arc<Target>| {
        core.with_links(&target.entry.service, |links| links.has_reached(target.tag))
    };
    let (reached, others): (Vec<_>, Vec<_>) = by_address.into_values().partition(has_reached);
    let mut chosen = reached.into_iter().choose_multiple(&mut rand::rng(), MAX_LINK_CHECKS);
    let left = MAX_LINK_CHECKS - chosen.len();
    chosen.extend(others.into_iter().choose_multiple(&mut rand::rng(), left));
    chosen
}

/// Forwards bytes until either side closes its connection. The stop of this node waits for it.
async fn serve<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    upgrade: OnUpgrade,
    target: TcpStream,
    _slot: OwnedSemaphorePermit,
) {
    let _active = ActiveRequest::begin(&core);
    let _relayed = core.metrics.begin_relay();
    let upgraded = match upgrade.await {
        Ok(upgraded) => upgraded,
        Err(error) => return log::warn!("relayed connection not opened: {error}"),
    };
    let Ok(Parts { io, read_buf, .. }) = upgraded.downcast::<TokioIo<TcpStream>>() else {
        return log::error!("relayed connection not opened: not a TCP connection");
    };
    let (peer_read, peer_write) = io.into_inner().into_split();
    let (target_read, mut target_write) = target.into_split();
    if target_write.write_all(&read_buf).await.is_err() {
        return;
    }
    let to_target = forward(&core, peer_read, target_write, Encoding::Plain);
    let to_peer = forward(&core, target_read, peer_write, Encoding::Tunnel);
    let (mut to_target, mut to_peer) = (std::pin::pin!(to_target), std::pin::pin!(to_peer));
    tokio::select! {
        ended = &mut to_target => match ended {
            // The peer has its response, or has ended.
            Ok(_) => {}
            // The peer has cancelled its request, which must not reach the target later.
            Err((_, target_write)) => reset(target_write),
        },
        ended = &mut to_peer => match ended {
            // The target has ended its response; the peer reads the rest.
            Ok(mut peer_write) => {
                if let Err(error) = peer_write.write_all(&END).await {
                    log::debug!("relayed connection not ended: {error}");
                }
            }
            // A broken response must not look complete.
            Err((_, peer_write)) => reset(peer_write),
        },
    }
}

/// The form in which bytes are forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Encoding {
    Plain,
    /// With marks, and with heartbeats while there is nothing to forward.
    Tunnel,
}

impl Encoding {
    /// Waits until a heartbeat is due, or forever if the receiver expects none.
    async fn heartbeat(self) {
        match self {
            Self::Plain => std::future::pending().await,
            Self::Tunnel => tokio::time::sleep(HEARTBEAT_INTERVAL).await,
        }
    }
}

/// Forwards bytes in one direction until the sender ends it. Returns the receiving half, with the
/// error if the sender's connection broke.
async fn forward<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    encoding: Encoding,
) -> Result<OwnedWriteHalf, (io::Error, OwnedWriteHalf)> {
    let mut buffer = Buffer::default();
    loop {
        let read = tokio::select! {
            read = from.read(buffer.data()) => Some(read),
            () = encoding.heartbeat() => None,
        };
        let forwarded = match read {
            None => to.write_all(&HEARTBEAT).await,
            Some(Ok(0)) => return Ok(to),
            Some(Ok(read)) => {
                core.metrics.count_relayed_bytes(size::Bytes(read as u64));
                let bytes = match encoding {
                    Encoding::Plain => &buffer.data()[..read],
                    Encoding::Tunnel => buffer.encode(read),
                };
                to.write_all(bytes).await
            }
            Some(Err(error)) => Err(error),
        };
        if let Err(error) = forwarded {
            return Err((error, to));
        }
    }
}

/// Resets a connection once its other half is dropped.
fn reset(half: OwnedWriteHalf) {
    // This fails only if the connection is already closed.
    let _ = socket2::SockRef::from(half.as_ref()).set_linger(Some(Duration::ZERO));
    // Dropping it would end the connection in the regular way first.
    half.forget();
}
