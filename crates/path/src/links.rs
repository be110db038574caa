//! Connections to targets, through a peer where this node's own link is down.
//!
//! A node that can't connect to a target asks a peer to. If the peer connects, the link is at fault
//! and the request goes on through the peer; if the target refuses the peer too, it is at fault.

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::relay::{self, Peers};
use crate::view::{Tag, Target};
use bytes::Bytes;
use derive_more::Display;
use futures::StreamExt;
use hickory_client::{Call, Channel, Error, Exchange, RelayError, Response, Reuse, SendError};
use hickory_policy::crash::Ending;
use hickory_policy::links::{Change, Links};
use hickory_store::store::Store;
use hickory_telemetry::label::Relay;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use http::Request;
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The time after which a peer is asked to connect to a target that doesn't answer: many round
/// trips, and a fraction of the connect timeout.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// The number of links that are checked at once.
const MAX_CONCURRENT_CHECKS: usize = 8;

/// The interval at which the node looks whether a check of a link is due.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Why a target can't be connected to.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// The target refuses connections, as far as is known.
    #[display("connection refused")]
    Refused,
    /// The target doesn't answer.
    #[display("{_0}")]
    Unreachable(String),
    /// The target refuses this node and a peer, and neither can tell whether its own links work.
    #[display("own link down, or the target: connection refused, by a peer as well")]
    Unconfirmed,
    /// This node has no link to the target, and no peer connects to it.
    #[display("own link down, {_0}")]
    LinkDown(String),
}

impl From<Error> for ConnectError {
    fn from(error: Error) -> Self {
        match error {
            Error::Refused => Self::Refused,
            Error::NotSent(detail) | Error::Unknown(detail) => Self::Unreachable(detail),
        }
    }
}

/// Why a call to a target failed.
#[derive(Clone, Debug)]
pub(crate) enum CallError {
    /// No byte was sent.
    NotConnected(ConnectError),
    /// The call failed on an open connection.
    Failed(Error, Ending),
}

impl From<SendError> for CallError {
    fn from(failure: SendError) -> Self {
        Self::Failed(failure.error, ending(failure.ending))
    }
}

/// Returns how a connection ended, as a decision on its failure takes it.
pub(crate) fn ending(ending: hickory_client::Ending) -> Ending {
    match ending {
        hickory_client::Ending::Closed => Ending::Closed,
        hickory_client::Ending::Broken => Ending::Broken,
        hickory_client::Ending::RelaySilent => Ending::RelaySilent,
    }
}

/// Leaves out a relay for a while if a connection through it failed because the relay fell silent.
pub(crate) fn note_ending<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    relay: Option<SocketAddr>,
    ending: Ending,
) {
    let Some(relay) = relay.filter(|_| ending == Ending::RelaySilent) else { return };
    core.with_relays(&target.entry.service, |relays| relays.record(core.now(), relay, false));
    core.metrics.count_relay(Relay::Silent);
    log::warn!(relay:% = relay, target_id = target.id.as_str(); "a relay fell silent");
}

/// Sends a request to a target and waits for the head of the response. It is sent on at most one
/// connection, unless no byte of it was written.
pub(crate) async fn send<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    attempt: &str,
    mut request: Request<Full<Bytes>>,
    reuse: Reuse,
) -> Result<Exchange, CallError> {
    while !is_down(core, target)
        && let Some(channel) = core.client.take_idle(target.entry.address, reuse)
    {
        match channel.send(request).await {
            Ok(exchange) => return Ok(exchange),
            Err(SendError { unsent: Some(unsent), .. }) => request = unsent,
            Err(failure) => return Err(failure.into()),
        }
    }
    let channel = connect(core, target).await.map_err(CallError::NotConnected)?;
    if channel.is_relayed() {
        let target_id = target.id.as_str();
        log::info!(request = attempt, target_id; "sent through a peer, own link down");
    }
    let relay = channel.relay();
    channel.send(request).await.map_err(|failure| {
        note_ending(core, target, relay, ending(failure.ending));
        CallError::from(failure)
    })
}

/// The bound of a target's answer to an order or a health check, which are short JSON documents.
const MAX_CALL_BODY_BYTES: usize = 64 << 10;

/// Makes a call to a target and reads the whole response.
pub(crate) async fn call<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    call: Call<'_>,
    timeout: Duration,
) -> Result<Response, Error> {
    let address = target.entry.address;
    let client = core.client.clone().with_max_body(MAX_CALL_BODY_BYTES);
    if !is_down(core, target) {
        let result = client.exchange(address, call.clone(), timeout).await;
        if !matches!(result, Err(Error::Refused | Error::NotSent(_))) {
            return result;
        }
    }
    let connected = connect(core, target).await;
    let channel = connected.map_err(|error| Error::NotSent(error.to_string()))?;
    client.exchange_over(channel, address, call, timeout).await
}

/// Opens a connection to a target, through a peer if this node's link to it is down.
async fn connect<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
) -> Result<Channel, ConnectError> {
    connect_through(core, target, Peers::Available).await
}

/// Connects to a target to find out whether it still runs.
pub(crate) async fn examine<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
) -> Result<Channel, ConnectError> {
    connect_through(core, target, Peers::Any).await
}

async fn connect_through<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    peers: Peers,
) -> Result<Channel, ConnectError> {
    if is_down(core, target) {
        return match relay::connect(core, target, peers).await {
            Ok(channel) => Ok(channel),
            Err(RelayError::Refused) => Err(ConnectError::Refused),
            Err(error @ RelayError::Declined(_)) => {
                Err(ConnectError::Unreachable(error.to_string()))
            }
            Err(
                error @ (RelayError::Unsure | RelayError::Stopping | RelayError::Unavailable(_)),
            ) => {
                let link_down = |_| ConnectError::LinkDown(error.to_string());
                connect_directly(core, target).await.map_err(link_down)
            }
        };
    }
    connect_hedged(core, target, peers).await
}

/// Opens a connection to a target over this node's own link, or through a peer if that fails.
async fn connect_hedged<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    peers: Peers,
) -> Result<Channel, ConnectError> {
    let mut direct = std::pin::pin!(connect_directly(core, target));
    let error = match tokio::time::timeout(HEDGE_DELAY, &mut direct).await {
        Ok(Ok(channel)) => return Ok(channel),
        Ok(Err(error)) => error,
        Err(_) => {
            tokio::select! {
                direct = &mut direct => match direct {
                    Ok(channel) => return Ok(channel),
                    Err(error) => return Err(ConnectError::from(error)),
                },
                // Other errors don't tell more than this node's own connection will.
                relayed @ (Ok(_) | Err(RelayError::Refused)) = relay::connect(core, target, peers) => {
                    let Ok(channel) = relayed else { return Err(ConnectError::Refused) };
                    note_down(core, target);
                    return Ok(channel);
                }
            }
        }
    };
    let has_reached = |links: &mut Links<Tag>| links.has_reached(target.tag);
    let is_refused = matches!(error, Error::Refused);
    if is_refused && core.with_links(&target.entry.service, |l| l.is_dead_entry(target.tag)) {
        return Err(ConnectError::Refused);
    }
    match relay::connect(core, target, peers).await {
        Ok(channel) => {
            note_down(core, target);
            Ok(channel)
        }
        Err(RelayError::Refused) => Err(ConnectError::Refused),
        Err(RelayError::Declined(_)) => Err(error.into()),
        // Without any peer to ask, the target is the more likely cause.
        Err(RelayError::Unavailable(_)) if !relay::has_peers(core) => Err(error.into()),
        Err(RelayError::Unsure) if is_refused => {
            match core.with_links(&target.entry.service, has_reached) {
                true => Err(ConnectError::Unconfirmed),
                false => Err(ConnectError::Refused),
            }
        }
        Err(error @ (RelayError::Unsure | RelayError::Stopping | RelayError::Unavailable(_))) => {
            Err(ConnectError::LinkDown(error.to_string()))
        }
    }
}

fn is_down<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>, target: &Target) -> bool {
    core.with_links(&target.entry.service, |links| links.is_down(target.tag))
}

async fn connect_directly<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
) -> Result<Channel, Error> {
    let channel = core.client.connect(target.entry.address).await?;
    let change = core
        .with_links(&target.entry.service, |links| links.record_connection(core.now(), target.tag));
    if let Some(Change::Up) = change {
        let service = target.entry.service.as_str();
        log::warn!(service, target_id = target.id.as_str(); "own links to targets are back");
    }
    Ok(channel)
}

fn note_down<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>, target: &Target) {
    let change =
        core.with_links(&target.entry.service, |links| links.record_down(core.now(), target.tag));
    core.client.close_idle(target.entry.address);
    match change {
        Some(Change::AllDown) => {
            let service = target.entry.service.as_str();
            log::warn!(service, target_id = target.id.as_str(); "own links to targets are down");
        }
        Some(Change::Down) => {
            log::info!(target_id = target.id.as_str(); "own link to a target is down");
        }
        Some(Change::Up) | None => {}
    }
}

/// Returns whether the link to a target that has been silent is working, as far as is known. It is
/// checked once a second at most.
pub(crate) async fn is_working<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
) -> bool {
    let is_due =
        core.with_links(&target.entry.service, |links| links.begin_check(core.now(), target.tag));
    if is_due {
        check_link(core, target).await;
    }
    !is_down(core, target)
}

async fn check_link<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>, target: &Target) {
    // Connecting records the state of the link.
    if let Ok(channel) = connect_hedged(core, target, Peers::Available).await {
        channel.release();
    }
}

/// Checks the links to targets, a few at a time.
async fn check_all<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    targets: Vec<Arc<Target>>,
) {
    let check = |target: Arc<Target>| {
        let core = core.clone();
        async move { check_link(&core, &target).await }
    };
    let checks = futures::stream::iter(targets).map(check);
    checks.buffer_unordered(MAX_CONCURRENT_CHECKS).collect::<()>().await;
}

/// Checks all links once one is down, and those that are down until they are back.
pub(crate) async fn probe<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        if let Some(targets) = take_sweep(&core) {
            tokio::spawn(check_all(core.clone(), targets));
        }
        let Some(target) = next_probe(&core) else {
            tokio::time::sleep(PROBE_POLL_INTERVAL).await;
            continue;
        };
        // An error means that the link is still down; the next check comes after a pause.
        if let Ok(channel) = connect_directly(&core, &target).await {
            channel.release();
        }
    }
}

/// Returns the targets of a service if the links to all of them have to be checked.
fn take_sweep<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> Option<Vec<Arc<Target>>> {
    let (view, now) = (core.view(), core.now());
    let is_due = |service: &id::Service| core.with_links(service, |links| links.take_sweep(now));
    let (_, targets) = view.targets.iter().find(|(service, _)| is_due(service))?;
    Some(targets.iter().filter(|target| target.is_accepting(now)).cloned().collect())
}

fn next_probe<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> Option<Arc<Target>> {
    let (view, now) = (core.view(), core.now());
    let (mut count_down, mut probed) = (0, None);
    for (service, targets) in &view.targets {
        let tag = core.with_links(service, |links| {
            count_down += links.count_down();
            if links.count_down() == 0 || probed.is_some() {
                return None;
            }
            let accepting = targets.iter().filter(|target| target.is_accepting(now));
            let tags: Vec<Tag> = accepting.map(|target| target.tag).collect();
            links.next_probe(now, &tags, rand::random())
        });
        probed = probed.or_else(|| view.find_target(tag?).cloned());
    }
    core.metrics.set_links_down(count_down);
    probed
}
