//! Watches the store and keeps the items up to date.

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::outage::Outage;
use crate::supervisor;
use crate::watcher::{self, Candidate, StartWait, is_leader, is_selected, takeover_delay};
use hickory_state::follow::{self, Follower};
use hickory_state::member::{self, Info, Member};
use hickory_store::store::{Entry, Store};
use hickory_unit::clock::Clock;
use hickory_unit::id;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time to live of the registration that lets nodes discover each other at startup.
/// Datagrams, not registrations, show that a node is alive.
const REGISTRATION_TTL: Duration = Duration::from_secs(15);

/// The timeout of a watch call. If the store stops answering the few nodes that watch, this
/// looks like a store without changes, and all nodes serve an old configuration until this
/// time and the call's own timeout have passed: two seconds at most. Three watching nodes
/// make six such calls per second.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which a node checks whether it should watch.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a node must have been unneeded as a watcher before it stops watching.
const MIN_RELIEF_TIME: Duration = Duration::from_secs(1);

/// The interval at which a watching node checks whether it is still needed.
const RELIEF_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How long a node watches before it registers. Nodes that start together all watch until
/// they discover each other, and a registration costs two calls and its renewals from then
/// on. It is shorter than [`DISCOVERY_INTERVAL`], so that a node's first lookup finds the
/// nodes that watch.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1_500);

/// The interval at which a starting node checks whether it knows enough peers.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// After a change, the next watch starts after a random delay up to this time, so that
/// changes in quick succession cost one call.
const WATCH_JITTER: Duration = Duration::from_millis(40);

/// The same delay after a change of targets, on watching nodes other than the leader. Targets'
/// entries change several times per second, and each change ends the watches of all watching nodes,
/// which costs a call each. If the leader is partitioned, changes arrive later by this delay, while
/// a draining target still serves for a few seconds.
const FOLLOWER_WATCH_JITTER: Duration = Duration::from_millis(400);

/// The interval at which registered nodes are looked up while no peer is known.
const DISCOVERY_INTERVAL: Duration = Duration::from_secs(2);

/// How long a node that has stopped watching counts the store as unreachable after a
/// rejected call. This is longer than the other nodes need to find the store unreachable
/// themselves.
const UNREACHABLE_TTL: Duration = Duration::from_secs(2);

/// Starts watching the store.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(core: &Arc<Core<D, S, C>>) {
    supervisor::spawn(core, "store watch start", start(core.clone()));
    supervisor::spawn(core, "node discovery", discover_nodes(core.clone()));
}

/// Waits until this node knows its peers, and then starts the watches of both prefixes. They start
/// together, because a node is ready once it has a configuration and then needs the targets.
async fn start<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    let mut wait = StartWait::new(core.now(), core.settings.first_start, rand::random());
    while !wait.is_over(core.now(), core.count_peers()) {
        tokio::time::sleep(START_POLL_INTERVAL).await;
    }
    for prefix in [D::OPERATOR_PREFIX, D::TARGET_PREFIX] {
        supervisor::spawn(&core, "store watch", watch_store(core.clone(), prefix));
    }
}

/// Registers this node once it has watched for a while, so that nodes without a live seed
/// find a node that knows all others.
async fn keep_registered<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) {
    tokio::time::sleep(REGISTRATION_DELAY).await;
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
        Member::spawn_registration(core.store.clone(), core.clock.clone(), info, REGISTRATION_TTL)
    });
    std::future::pending().await
}

/// Looks up registered nodes while no peer is known.
async fn discover_nodes<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        tokio::time::sleep(DISCOVERY_INTERVAL).await;
        if core.count_peers() > 0 {
            continue;
        }
        match core.store.list(member::PREFIX).await {
            Ok((entries, _)) => {
                core.membership().add_seeds(entries.iter().filter_map(parse_peer_address));
            }
            Err(error) => log::warn!("can't list the node registrations in the store: {error}"),
        }
    }
}

fn parse_peer_address(entry: &Entry) -> Option<SocketAddr> {
    match serde_json::from_str::<Info>(&entry.value) {
        Ok(info) => Some(info.peers),
        Err(error) => {
            log::warn!(key = entry.key.as_str(); "can't decode a node registration: {error}");
            None
        }
    }
}

/// Watches a prefix of the store while this node is selected as a watcher.
async fn watch_store<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    prefix: &'static str,
) {
    let mut stopped_at: Option<Instant> = None;
    while core.stage() != Stage::Closed {
        if confirm_takeover(&core).await {
            tokio::select! {
                () = follow_store(core.clone(), prefix) => {}
                () = wait_until_relieved(&core) => {}
                () = keep_registered(&core) => {}
            }
            stopped_at = Some(core.now());
        }
        // A node that doesn't watch has no evidence that the store is unreachable.
        if stopped_at.is_some_and(|at| core.now().saturating_duration_since(at) > UNREACHABLE_TTL) {
            core.note_store_reachable(true);
            stopped_at = None;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether this node should watch: it must remain selected until the nodes before
/// it have had time to reach the store.
async fn confirm_takeover<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> bool {
    let started_at = core.now();
    while is_watcher(core) {
        let delay = decide_with_candidates(core, takeover_delay);
        if core.now().saturating_duration_since(started_at) >= delay {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

pub(crate) fn is_watcher<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> bool {
    decide_with_candidates(core, is_selected)
}

/// Returns the result of a decision about watching for this node, given all live nodes.
fn decide_with_candidates<D: Dialect, S: Store, C: Clock, T>(
    core: &Core<D, S, C>,
    decide: fn(&id::Node, &[Candidate<'_>]) -> T,
) -> T {
    let (me, now) = (&core.settings.node, core.now());
    let is_store_unreachable = core.is_store_unreachable();
    let own = Candidate { node: me, is_store_unreachable, is_silent: false };
    let membership = core.membership();
    let peers = membership.alive().map(|record| Candidate {
        node: &record.node,
        is_store_unreachable: record.contact.is_store_unreachable,
        is_silent: membership.is_silent(now, &record.node),
    });
    let nodes: Vec<Candidate<'_>> = peers.chain([own]).collect();
    decide(me, &nodes)
}

/// Checks the nodes that watch, or would watch next, if so few nodes answer that this one might be the
/// only one left.
pub(crate) fn check_watchers<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) {
    if core.membership().is_check_due(core.now()) {
        let checked = decide_with_candidates(core, watcher::choose_checked);
        log::info!(checked = checked.len(); "few nodes answer; checking those that watch the store");
        let out = core.membership().check(core.now(), &checked);
        core.send_membership(out);
    }
}

/// Returns whether the store is down, as far as the nodes can tell.
pub(crate) fn is_store_down<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) -> bool {
    decide_with_candidates(core, |_, nodes| watcher::is_store_down(nodes))
}

/// Waits until this node has not been selected for a while. A node that has just started
/// knows no peers yet, and watches until it does.
async fn wait_until_relieved<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>) {
    let mut relieved = Duration::ZERO;
    while relieved < MIN_RELIEF_TIME {
        tokio::time::sleep(RELIEF_POLL_INTERVAL).await;
        relieved = if is_watcher(core) { Duration::ZERO } else { relieved + RELIEF_POLL_INTERVAL };
    }
}

async fn follow_store<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    prefix: &'static str,
) {
    let options = follow::Options {
        prefix: prefix.into(),
        watch_timeout: WATCH_TIMEOUT,
        jitter: WATCH_JITTER,
    };
    let follower = Follower::new(options, rand::random());
    let (store, clock) = (core.store.clone(), core.clock.clone());
    let mut outage = Outage::default();
    follow::run(store, clock, follower, move |follower, step, sent| {
        let now = core.now();
        // If the history that a watch needs is gone, the store answers the watch call and a
        // list call follows, so this counts as an answer.
        let is_answered = step.is_confirmed || step.delay.is_zero();
        let may_have_lapsed = match is_answered {
            true if step.is_confirmed => outage.note_answer(now.saturating_duration_since(sent)),
            true => false,
            false => {
                outage.note_failure();
                false
            }
        };
        core.note_store_reachable(is_answered);
        if prefix == D::TARGET_PREFIX {
            let is_leader = decide_with_candidates(&core, is_leader);
            follower.set_jitter(if is_leader { WATCH_JITTER } else { FOLLOWER_WATCH_JITTER });
        }
        if step.is_changed {
            let entries = follower.entries().values();
            let at = follower.revision();
            core.update_items(may_have_lapsed, |items| {
                items.apply_snapshot(now, prefix, entries, at)
            });
        }
        core.stage() != Stage::Closed
    })
    .await;
}
