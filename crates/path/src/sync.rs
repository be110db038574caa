//! Keeping the items up to date from the store's watches.

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::outage::Outage;
use crate::watcher::{Candidate, leads, takeover_delay, watches};
use hickory_state::follow::{self, Follower};
use hickory_state::member::{self, Info, Member};
use hickory_store::store::{Entry, Store};
use hickory_unit::clock::Clock;
use hickory_unit::id;
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

/// Between two looks whether it is this node's turn to watch.
const LOOK: Duration = Duration::from_millis(50);

/// How long others must have been watching before this node stops.
const RELIEVED: Duration = Duration::from_secs(1);

/// Between two looks at that.
const RELIEF_LOOK: Duration = Duration::from_millis(500);

/// How long a node watches before it registers. Nodes that start together all
/// watch until they hear each other, and a registration costs two calls and
/// its renewals from then on. Shorter than [`FIND`], so that who looks for nodes
/// finds those that watch at its first look.
const REGISTERED_AFTER: Duration = Duration::from_millis(1_500);

/// How long a node that starts listens for peers that know what it needs: they
/// answer its first datagram at once.
const FIRST_HEARD: Duration = Duration::from_millis(60);

/// The same where the whole system starts for the first time: nobody calls yet.
/// Addresses pass from node to node with the beats, and within this time all have
/// heard each other though they started one after the other. Who hears only a
/// few believes that it is among the first of all, and watches.
const FIRST_START: Duration = Duration::from_millis(1_000);

/// After a change, a watch goes out again at random within this time, so that
/// changes that come together cost one call.
const WATCH_SPREAD: Duration = Duration::from_millis(40);

/// The same after a change of targets, where another node watches for all.
/// Targets' entries change several times a second, and each change ends the
/// watches of all nodes that watch, which costs a call each. Should the first one
/// be cut off, changes are known so much later, of the seconds that a leaving
/// target serves.
const FOLLOWING_SPREAD: Duration = Duration::from_millis(400);

/// Between two looks for registered nodes while no node is heard.
const FIND: Duration = Duration::from_secs(2);

/// How long a node that left the watch to others counts the store as out of its reach,
/// after it was turned away. Longer than others need to find it away as well.
const AWAY_KEPT: Duration = Duration::from_secs(2);

/// Starts following the store.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(core: &Arc<Core<D, S, C>>) {
    for prefix in [D::OPERATOR_PREFIX, D::TARGET_PREFIX] {
        tokio::spawn(watch_store(core.clone(), prefix));
    }
    tokio::spawn(find_nodes(core.clone()));
}

/// Registers this node once it has watched for a while, so that nodes which know
/// no living seed find one that knows all others.
async fn keep_registered<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) {
    tokio::time::sleep(REGISTERED_AFTER).await;
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
        Member::spawn_registration(core.store.clone(), core.clock.clone(), info, REGISTRATION)
    });
    std::future::pending().await
}

/// Looks up registered nodes as long as none is heard.
async fn find_nodes<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        tokio::time::sleep(FIND).await;
        if core.count_peers() > 0 {
            continue;
        }
        match core.store.list(member::PREFIX).await {
            Ok((entries, _)) => {
                core.membership().add_seeds(entries.iter().filter_map(read_address));
            }
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
    let first = core.settings.is_first_start;
    tokio::time::sleep(if first { FIRST_START } else { FIRST_HEARD }).await;
    let mut left: Option<Instant> = None;
    while core.stage() != Stage::Closed {
        if takes_over(&core).await {
            tokio::select! {
                () = follow_store(core.clone(), prefix) => {}
                () = until_relieved(&core) => {}
                () = keep_registered(&core) => {}
            }
            left = Some(core.now());
        }
        // What is not watched is not known to be away.
        if left.is_some_and(|at| core.now().saturating_duration_since(at) > AWAY_KEPT) {
            core.note_store_reachable(true);
            left = None;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Whether it is this node's turn to watch, and still is once those before it had
/// time to reach the store.
async fn takes_over<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> bool {
    let began = core.now();
    while is_watcher(core) {
        let delay = with_candidates(core, takeover_delay);
        if core.now().saturating_duration_since(began) >= delay {
            return true;
        }
        tokio::time::sleep(LOOK).await;
    }
    false
}

pub(crate) fn is_watcher<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> bool {
    with_candidates(core, watches)
}

/// What a decision about watching says of this node, among all that are heard.
fn with_candidates<D: Dialect, S: Store, C: Clock, T>(
    core: &Core<D, S, C>,
    decide: fn(&id::Node, &[Candidate<'_>]) -> T,
) -> T {
    let me = &core.settings.node;
    let own = Candidate { node: me, store_away: core.is_store_unreachable() };
    let membership = core.membership();
    let peers = membership.alive();
    let peers = peers.map(|r| Candidate { node: &r.node, store_away: r.contact.store_away });
    let nodes: Vec<Candidate<'_>> = peers.chain([own]).collect();
    decide(me, &nodes)
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
    let options =
        follow::Options { prefix: prefix.into(), watch_timeout: WATCH_WAIT, jitter: WATCH_SPREAD };
    let follower = Follower::new(options, rand::random());
    let (store, clock) = (core.store.clone(), core.clock.clone());
    let mut outage = Outage::default();
    follow::run(store, clock, follower, move |follower, step, sent| {
        let now = core.now();
        // A watch whose history is gone is answered, and followed by a list.
        let answered = step.is_confirmed || step.delay.is_zero();
        let may_lapse = match answered {
            true if step.is_confirmed => outage.note_answer(now.saturating_duration_since(sent)),
            true => false,
            false => {
                outage.note_failure();
                false
            }
        };
        core.note_store_reachable(answered);
        if prefix == D::TARGET_PREFIX {
            let leads = with_candidates(&core, leads);
            follower.set_jitter(if leads { WATCH_SPREAD } else { FOLLOWING_SPREAD });
        }
        if step.is_changed {
            let entries = follower.entries().values();
            let at = follower.revision();
            core.update_items(may_lapse, |items| items.take_all(now, prefix, entries, at));
        }
        core.stage() != Stage::Closed
    })
    .await;
}
