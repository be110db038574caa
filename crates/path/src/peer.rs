//! What nodes tell each other by datagrams.
//!
//! A datagram may be lost, so nothing hangs on a single one: bookings and the
//! sender's state are told again twice a second. What is too large for a
//! datagram (the store's items) is fetched from the peer that has it; see
//! [`crate::fetch`].

use crate::books::{Booking, Number};
use crate::cell::Cell;
use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::view::Tag;
use hickory_policy::poison::Suspect;
use hickory_store::store::{Revision, Store};
use hickory_unit::clock::Clock;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Between two beats where a node has few peers.
const BEAT: Duration = Duration::from_millis(250);

/// The same at the longest. All beats of 79 nodes, four a second, are 2 MB a
/// second between zones.
const BEAT_MOST: Duration = Duration::from_millis(500);

/// Peers up to which each event goes out at once and beats are the closest.
/// Beyond them, how short prompts go on is told with the next beat: datagrams
/// grow with the square of the nodes, and an engine with short streams is no
/// place for long prompts either way.
const FEW_PEERS: usize = 16;

/// Addresses of other nodes that a beat with all bookings passes on, by which
/// a node that knows the seeds alone comes to know all.
const PASSED_ON: usize = 6;

/// Beats between two tellings of all bookings.
const FULL_EVERY: u32 = 2;

/// A peer that was silent for this many beats is not named to callers; a few
/// lost datagrams must not hide a living node.
const SILENT_BEATS: f64 = 4.4;

/// A peer that was silent for this long is forgotten, with its addresses.
const FORGOTTEN: Duration = Duration::from_secs(10);

/// Events gathered before a datagram goes out.
const GATHER: Duration = Duration::from_millis(1);

/// The greatest datagram: what goes through all links unfragmented.
const DATAGRAM_MAX: usize = 1_200;

/// The receive buffer: the greatest datagram of a peer.
const RECEIVE: usize = 2_048;

/// One thing that a node tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Event {
    /// A request was placed, or still lasts.
    Placed(Number, Booking),
    /// Its first token came.
    Writing(Number),
    /// It ended.
    Ended(Number),
    /// A target failed a request.
    Failed(Tag),
    /// A target refused to read a part of a prompt for another one.
    Shut(Tag),
    /// A request was running when a target died.
    Suspect { fingerprint: u64, deaths: u32 },
}

/// What a node tells of itself in each datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Beat {
    node: id::Node,
    incarnation: id::Incarnation,
    callers: SocketAddr,
    sync: SocketAddr,
    /// Whether callers should be sent to it.
    ready: bool,
    /// Whether the store is out of its reach.
    store_away: bool,
    /// The newest revision that it knows of what operators wrote.
    operator: Revision,
    /// The newest revision that it knows of targets' entries.
    targets: Revision,
    /// Where some other nodes hear datagrams.
    others: Vec<SocketAddr>,
    events: Vec<Event>,
}

/// What is known of a peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    incarnation: id::Incarnation,
    pub(crate) callers: SocketAddr,
    pub(crate) sync: SocketAddr,
    address: SocketAddr,
    ready: bool,
    pub(crate) store_away: bool,
    pub(crate) operator: Revision,
    pub(crate) targets: Revision,
    heard: Instant,
}

/// The peers that were heard.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    peers: HashMap<id::Node, Peer>,
    /// Where others say that nodes are; tried once each.
    hearsay: Vec<SocketAddr>,
}

/// Addresses by hearsay that wait to be tried.
const HEARSAY_MOST: usize = 64;

/// How a peer was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    /// For the first time.
    First,
    /// As a new process.
    Anew,
    /// As before.
    Again,
}

/// Between two beats, with this many peers.
fn beat(peers: usize) -> Duration {
    let factor = (peers as f64 / FEW_PEERS as f64).max(1.0);
    BEAT.mul_f64(factor).min(BEAT_MOST)
}

impl Peers {
    /// The cell of this node.
    pub(crate) fn cell(&self, me: &id::Node) -> Cell {
        Cell::of(me, self.peers.keys())
    }

    /// Where peers hear datagrams, those of this node's cell first.
    fn addresses(&self, me: &id::Node) -> Vec<SocketAddr> {
        let mut peers: Vec<(&id::Node, SocketAddr)> =
            self.peers.iter().map(|(node, peer)| (node, peer.address)).collect();
        peers.sort_unstable();
        let place = peers.partition_point(|(node, _)| *node < me);
        // This node stands between those before and after its place.
        let cells = (0..peers.len()).map(|other| Cell::at(other + usize::from(other >= place)));
        let mut addresses: Vec<(bool, SocketAddr)> = cells
            .zip(&peers)
            .map(|(cell, (_, address))| (cell != Cell::at(place), *address))
            .collect();
        addresses.sort_unstable();
        addresses.into_iter().map(|(_, address)| address).collect()
    }

    /// Whether every event may go out at once.
    pub(crate) fn are_few(&self) -> bool {
        self.peers.len() <= FEW_PEERS
    }

    /// Peers heard lately.
    pub(crate) fn count(&self, now: Instant) -> usize {
        self.living(now).count()
    }

    /// Addresses of a few peers, others each time.
    fn pick(&self, count: usize) -> Vec<SocketAddr> {
        let skip = match self.peers.len() {
            few if few <= count => 0,
            many => rand::random_range(0..=many - count),
        };
        self.peers.values().skip(skip).take(count).map(|peer| peer.address).collect()
    }

    /// Where callers may connect.
    pub(crate) fn callers(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        self.living(now).filter(|peer| peer.ready).map(|peer| peer.callers)
    }

    /// The peers heard lately.
    pub(crate) fn living(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.named(now).map(|(_, peer)| peer)
    }

    /// The peers heard lately, with their names.
    pub(crate) fn named(&self, now: Instant) -> impl Iterator<Item = (&id::Node, &Peer)> {
        let silent = beat(self.peers.len()).mul_f64(SILENT_BEATS);
        let is_heard = move |peer: &Peer| now.saturating_duration_since(peer.heard) < silent;
        self.peers.iter().filter(move |(_, peer)| is_heard(peer))
    }

    /// Takes what a peer tells of itself.
    fn take(&mut self, now: Instant, beat: &Beat, address: SocketAddr) -> Heard {
        let peer = Peer {
            incarnation: beat.incarnation,
            callers: beat.callers,
            sync: beat.sync,
            address,
            ready: beat.ready,
            store_away: beat.store_away,
            operator: beat.operator,
            targets: beat.targets,
            heard: now,
        };
        for other in &beat.others {
            if self.hearsay.len() < HEARSAY_MOST && !self.hearsay.contains(other) {
                self.hearsay.push(*other);
            }
        }
        match self.peers.insert(beat.node.clone(), peer) {
            None => Heard::First,
            Some(known) if known.incarnation != beat.incarnation => Heard::Anew,
            Some(_) => Heard::Again,
        }
    }

    fn expire(&mut self, now: Instant) {
        self.peers.retain(|node, peer| {
            let silent = now.saturating_duration_since(peer.heard);
            if silent >= FORGOTTEN {
                log::warn!(peer:% = node, silent_ms = silent.as_millis() as u64; "peer lost");
            }
            silent < FORGOTTEN
        });
    }
}

/// Starts sending and receiving.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    socket: Arc<UdpSocket>,
) {
    tokio::spawn(receive(core.clone(), socket.clone()));
    tokio::spawn(send_beats(core.clone(), socket.clone()));
    tokio::spawn(send_events(core.clone(), socket));
}

async fn receive<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; RECEIVE];
    loop {
        // An error is the echo of a datagram to a peer that is gone.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        match postcard::from_bytes::<Beat>(&buffer[..length]) {
            Ok(beat) => {
                if take_beat(&core, beat, from) != Heard::Again {
                    // A node that has just started learns at once what is known.
                    send_to(&core, &socket, &[from], Vec::new()).await;
                }
            }
            Err(error) => log::warn!(from:%; "datagram can't be read: {error}"),
        }
    }
}

fn take_beat<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    beat: Beat,
    from: SocketAddr,
) -> Heard {
    if beat.node == core.settings.node {
        return Heard::Again;
    }
    let now = core.now();
    let heard = core.peers().take(now, &beat, from);
    core.hear(beat.operator);
    match heard {
        Heard::First => log::info!(peer:% = beat.node, address:% = from; "peer heard"),
        Heard::Anew => {
            log::info!(peer:% = beat.node; "peer started anew");
            core.books().forget(&beat.node);
        }
        Heard::Again => {}
    }
    for event in beat.events {
        take_event(core, now, &beat.node, event);
    }
    heard
}

fn take_event<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    now: Instant,
    node: &id::Node,
    event: Event,
) {
    match event {
        Event::Placed(number, booking) => core.books().take(now, node, number, booking),
        Event::Writing(number) => core.books().take_writing(now, node, number),
        Event::Ended(number) => core.books().take_end(node, number),
        Event::Failed(tag) => core.doubts().note_failure(now, tag),
        Event::Shut(tag) => core.doubts().note_shut(now, tag),
        Event::Suspect { fingerprint, deaths } => {
            let suspect = Suspect { fingerprint, deaths, age: Duration::ZERO };
            core.suspects().merge(now, [suspect]);
        }
    }
}

async fn send_beats<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    socket: Arc<UdpSocket>,
) {
    let mut count = 0_u32;
    while core.stage() != Stage::Closed {
        let now = core.now();
        core.books().expire(now);
        core.peers().expire(now);
        let mut events = core.take_outbox();
        if count.is_multiple_of(FULL_EVERY) {
            events.extend(core.books().tell(now).map(|(n, b)| Event::Placed(n, b)));
        }
        send(&core, &socket, events).await;
        count = count.wrapping_add(1);
        let peers = core.peers().peers.len();
        tokio::time::sleep(beat(peers)).await;
    }
}

async fn send_events<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    socket: Arc<UdpSocket>,
) {
    while core.stage() != Stage::Closed {
        core.told.notified().await;
        tokio::time::sleep(GATHER).await;
        let events = core.take_outbox();
        send(&core, &socket, events).await;
    }
}

/// Sends events to all peers, in as many datagrams as they take.
async fn send<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    socket: &UdpSocket,
    events: Vec<Event>,
) {
    let addresses = find_addresses(core);
    send_to(core, socket, &addresses, events).await;
}

async fn send_to<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    events: Vec<Event>,
) {
    let mut rest = events;
    loop {
        let (datagram, left) = encode(core, rest);
        for address in addresses {
            // A datagram that can't be sent is like one that is lost.
            let _ = socket.send_to(&datagram, address).await;
        }
        if left.is_empty() {
            return;
        }
        rest = left;
    }
}

/// A datagram with as many of the events as it holds, and the others.
fn encode<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    mut events: Vec<Event>,
) -> (Vec<u8>, Vec<Event>) {
    let mut left = Vec::new();
    loop {
        let beat = describe(core, events);
        let datagram = postcard::to_stdvec(&beat).unwrap_or_else(|error| {
            log::error!("datagram can't be written: {error}");
            Vec::new()
        });
        events = beat.events;
        if datagram.len() <= DATAGRAM_MAX || events.len() <= 1 {
            return (datagram, left);
        }
        left.extend(events.split_off(events.len().div_ceil(2)));
    }
}

fn describe<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>, events: Vec<Event>) -> Beat {
    let items = core.items();
    Beat {
        node: core.settings.node.clone(),
        incarnation: core.incarnation,
        callers: core.settings.callers,
        sync: core.settings.sync,
        ready: core.is_ready(),
        store_away: core.is_store_away(),
        operator: items.newest(D::OPERATOR_PREFIX),
        targets: items.newest(D::TARGET_PREFIX),
        others: if events.is_empty() { core.peers().pick(PASSED_ON) } else { Vec::new() },
        events,
    }
}

/// Where peers may be: those heard, those by hearsay, those registered, and the
/// seeds.
fn find_addresses<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> Vec<SocketAddr> {
    let own = core.settings.peers;
    let (mut addresses, mut others) = {
        let mut peers = core.peers();
        let hearsay = std::mem::take(&mut peers.hearsay);
        (peers.addresses(&core.settings.node), hearsay)
    };
    others.extend(core.registered());
    if addresses.len() + others.len() <= 1 {
        let seeds = core.settings.seeds.iter();
        others.extend(seeds.map(|seed| SocketAddr::new(seed.ip(), own.port())));
    }
    for other in others {
        if !addresses.contains(&other) {
            addresses.push(other);
        }
    }
    addresses.retain(|address| *address != own);
    addresses
}
