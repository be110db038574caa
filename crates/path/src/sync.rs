//! Keeping the items up to date: from the store's watches, and from peers
//! where the store turns this node away.

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::items::Word;
use crate::outage::Outage;
use crate::peer::Peer;
use crate::watcher::{Candidate, leads, watches};
use hickory_client::Call;
use hickory_state::follow::{self, Follower};
use hickory_state::member::{self, Info, Member};
use hickory_store::store::{Entry, Revision, Store};
use hickory_telemetry::label::{Fetch, Way};
use hickory_unit::clock::Clock;
use hickory_unit::{id, size};
use http::Method;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time to live of the registration by which nodes find each other at the
/// start; that a node is alive is told by its datagrams.
const REGISTRATION: Duration = Duration::from_secs(15);

/// How long a watch waits. A store that is silent to the few nodes that watch
/// looks like one in which nothing changes, and all nodes would serve an old
/// configuration until the wait and the call's timeout have passed: two seconds
/// at most. Three nodes make six such calls a second.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Between two looks whether a peer knows more, and whether it is this node's
/// turn to watch.
const LOOK: Duration = Duration::from_millis(50);

/// How long a peer must have known more before it is asked by a node that
/// watches itself: a watch that is well brings the same within milliseconds.
const LAG: Duration = Duration::from_millis(150);

/// How long others must have been watching before this node stops.
const RELIEVED: Duration = Duration::from_secs(1);

/// Between two looks at that.
const RELIEF_LOOK: Duration = Duration::from_millis(500);

/// How long a node that starts listens for peers that know what it needs: they
/// answer its first datagram at once.
const FIRST_HEARD: Duration = Duration::from_millis(60);

/// The same where the whole system starts for the first time: nobody calls yet,
/// and all nodes start within this time.
const FIRST_START: Duration = Duration::from_millis(500);

/// After a change, a watch goes out again at random within this time, so that
/// changes that come together cost one call.
const WATCH_SPREAD: Duration = Duration::from_millis(40);

/// The same after a change of targets, where another node watches for all. The
/// entries of 57 replicas change eight times a second, and each change ended the
/// watches of all three nodes: 30 calls a second. Should the first one be cut off,
/// changes are known so much later, of the seconds that a leaving target serves.
const FOLLOWING_SPREAD: Duration = Duration::from_millis(400);

/// Between two looks for registered nodes while no node is heard.
const FIND: Duration = Duration::from_secs(2);

/// How long a peer may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Answers to peers above this size get a log line: many small ones go around
/// each second, and a large one is what fills a link.
const LOGGED: size::Bytes = size::Bytes(16 << 10);

/// The path that peers ask at.
const PATH: &str = "/items";

/// Starts following the store and the peers.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(core: &Arc<Core<D, S, C>>) {
    for prefix in [D::OPERATOR_PREFIX, D::TARGET_PREFIX] {
        tokio::spawn(watch_store(core.clone(), prefix));
    }
    tokio::spawn(find_nodes(core.clone()));
    tokio::spawn(follow_peers(core.clone()));
}

/// Registers this node while it is one of those that watch, so that nodes which
/// know no living seed find one that knows all others.
fn register<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) {
    let settings = &core.settings;
    let info = Info {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        callers: settings.callers,
        peers: settings.peers,
        admin: settings.sync,
        incarnation: core.incarnation,
        draining: false,
    };
    core.member.get_or_init(|| {
        Member::register(core.store.clone(), core.clock.clone(), info, REGISTRATION)
    });
}

/// Looks up registered nodes as long as none is heard.
async fn find_nodes<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        tokio::time::sleep(FIND).await;
        if core.peers().count(core.now()) > 0 {
            continue;
        }
        match core.store.list(member::PREFIX).await {
            Ok((entries, _)) => core.set_registered(entries.iter().filter_map(read_address)),
            Err(error) => log::warn!("registrations can't be listed: {error}"),
        }
    }
}

fn read_address(entry: &Entry) -> Option<SocketAddr> {
    match serde_json::from_str::<Info>(&entry.value) {
        Ok(info) => Some(info.peers),
        Err(error) => {
            log::warn!(key = entry.key.as_str(); "registration can't be read: {error}");
            None
        }
    }
}

/// Watches a prefix of the store whenever it is this node's turn.
async fn watch_store<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    prefix: &'static str,
) {
    let first = core.settings.first_start;
    tokio::time::sleep(if first { FIRST_START } else { FIRST_HEARD }).await;
    while core.stage() != Stage::Closed {
        if is_watcher(&core) {
            register(&core);
            tokio::select! {
                () = follow_store(core.clone(), prefix) => {}
                () = until_relieved(&core) => {}
            }
            // What is not watched is not known to be away.
            core.note_store(true);
        }
        tokio::time::sleep(LOOK).await;
    }
}

fn is_watcher<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> bool {
    has_part(core, watches)
}

/// Whether this node has a part in watching, of all that are heard.
fn has_part<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    part: fn(&id::Node, &[Candidate<'_>]) -> bool,
) -> bool {
    let me = &core.settings.node;
    let own = Candidate { node: me, store_away: core.is_store_away() };
    let peers = core.peers();
    let heard =
        peers.named(core.now()).map(|(node, peer)| Candidate { node, store_away: peer.store_away });
    let nodes: Vec<Candidate<'_>> = heard.chain([own]).collect();
    part(me, &nodes)
}

/// Waits until others have had to watch for a while. A node that has just
/// started hears nobody yet, and watches until it does.
async fn until_relieved<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) {
    let mut relieved = Duration::ZERO;
    while relieved < RELIEVED {
        tokio::time::sleep(RELIEF_LOOK).await;
        relieved = if is_watcher(core) { Duration::ZERO } else { relieved + RELIEF_LOOK };
    }
}

async fn follow_store<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    prefix: &'static str,
) {
    let options = follow::Options { prefix: prefix.into(), wait: WATCH_WAIT, spread: WATCH_SPREAD };
    let follower = Follower::open(options, rand::random());
    let (store, clock) = (core.store.clone(), core.clock.clone());
    let mut outage = Outage::default();
    follow::run(store, clock, follower, move |follower, step, sent| {
        let now = core.now();
        // A watch whose history is gone is answered, and followed by a list.
        let answered = step.confirmed || step.pause.is_zero();
        let may_lapse = match answered {
            true if step.confirmed => outage.note_answer(now.saturating_duration_since(sent)),
            true => false,
            false => {
                outage.note_failure();
                false
            }
        };
        core.note_store(answered);
        if prefix == D::TARGET_PREFIX {
            let leads = has_part(&core, leads);
            follower.set_spread(if leads { WATCH_SPREAD } else { FOLLOWING_SPREAD });
        }
        if step.changed {
            let entries = follower.view().values();
            let at = follower.revision();
            core.update(may_lapse, |items| items.take_all(now, prefix, entries, at));
            // The word that there is news goes out at once, without an event.
            core.told.notify_one();
        }
        core.stage() != Stage::Closed
    })
    .await;
}

/// Fetches from peers what they know and this node doesn't.
async fn follow_peers<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    let mut behind_since: Option<Instant> = None;
    while core.stage() != Stage::Closed {
        tokio::time::sleep(LOOK).await;
        let now = core.now();
        let Some((peer, may_lapse, query)) = find_ahead(&core, now) else {
            behind_since = None;
            continue;
        };
        let watches = core.view().configuration.is_some() && is_watcher(&core);
        if watches && now.saturating_duration_since(*behind_since.get_or_insert(now)) < LAG {
            continue;
        }
        match fetch(&core, peer, &query).await {
            Ok((words, size)) => {
                let took_ms = core.now().saturating_duration_since(now).as_millis() as u64;
                core.metrics.fetch(Fetch::Taken);
                core.metrics.fetch_bytes(Way::Taken, size);
                log::info!(peer:%, words = words.len(), bytes = size.0, took_ms;
                    "items taken over from a peer");
                core.update(may_lapse, |items| {
                    let news = words.into_iter().map(|word| items.take(now, word));
                    news.fold(false, |any, one| any | one)
                });
            }
            Err(error) => {
                let took_ms = core.now().saturating_duration_since(now).as_millis() as u64;
                let behind_ms = core.lag().map_or(0, |lag| lag.time.as_millis() as u64);
                core.metrics.fetch(Fetch::Failed);
                log::warn!(peer:%, took_ms, behind_ms; "peer gave no items: {error}");
            }
        }
        behind_since = None;
    }
}

/// A peer that knows more, whether entries may have lapsed in its store's
/// outage, and what to ask it.
fn find_ahead<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    now: Instant,
) -> Option<(SocketAddr, bool, String)> {
    let (operator, targets) = {
        let items = core.items();
        (items.newest(D::OPERATOR_PREFIX), items.newest(D::TARGET_PREFIX))
    };
    let peers = core.peers();
    let ahead = peers.living(now).filter(|p| p.operator > operator || p.targets > targets);
    let ahead: Vec<&Peer> = ahead.collect();
    // Any of them, so that what one watcher brings goes from node to node and
    // not through the watcher's link to all.
    let ahead = ahead.get(rand::random_range(0..ahead.len().max(1)))?;
    Some((ahead.sync, ahead.store_away, format!("{PATH}?operator={operator}&targets={targets}")))
}

async fn fetch<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    peer: SocketAddr,
    path: &str,
) -> Result<(Vec<Word>, size::Bytes), String> {
    let call = Call { method: Method::GET, path, key: None, body: bytes::Bytes::new() };
    let answer = core.client.exchange(peer, call, PEER_TIMEOUT).await;
    let answer = answer.map_err(|error| error.to_string())?;
    if !answer.status.is_success() {
        return Err(format!("status {}", answer.status));
    }
    let words = serde_json::from_slice(&answer.body).map_err(|error| error.to_string())?;
    Ok((words, size::Bytes(answer.body.len() as u64)))
}

/// The answer to a peer: all words after the revisions that it names.
pub(crate) fn answer<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    query: &str,
) -> Result<String, String> {
    let read = |name: &str| {
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let value = value.ok_or_else(|| format!("query {name}: missing"))?;
        value.parse().map(Revision).map_err(|error| format!("query {name}: {error}"))
    };
    let (operator, targets) = (read("operator")?, read("targets")?);
    let words = {
        let items = core.items();
        let mut words = items.words_after(D::OPERATOR_PREFIX, operator);
        words.extend(items.words_after(D::TARGET_PREFIX, targets));
        words
    };
    let began = core.now();
    let body = serde_json::to_string(&words).map_err(|error| error.to_string())?;
    note_given(core, words.len(), size::Bytes(body.len() as u64), began);
    Ok(body)
}

fn note_given<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    words: usize,
    size: size::Bytes,
    began: Instant,
) {
    core.metrics.fetch(Fetch::Given);
    core.metrics.fetch_bytes(Way::Given, size);
    if size > LOGGED {
        let write_us = core.now().saturating_duration_since(began).as_micros() as u64;
        log::info!(words, bytes = size.0, write_us; "items given to a peer");
    }
}
