//! The state that all parts of a node share.

use crate::config::Route;
use crate::datagram::Outgoing;
use crate::dialect::Dialect;
use crate::fleet::{OwnerTimeouts, Uptime};
use crate::holding;
use crate::items::Items;
use crate::lag::{Lag, LagTracker};
use crate::ledger::{AllocationId, Ledger};
use crate::owner::Owner;
use crate::peer_state::PeerStates;
use crate::placement::Answer;
use crate::relay::MAX_RELAYED_CONNECTIONS;
use crate::settings::{Bounds, Settings};
use crate::sync_server::Transfers;
use crate::trial::TrialAnswer;
use crate::view::{Tag, View};
use compact_str::CompactString;
use hickory_client::Client;
use hickory_policy::cold::Cold;
use hickory_policy::doubt::Doubt;
use hickory_policy::drain::{Nominal, Slowness};
use hickory_policy::ejection::Ejection;
use hickory_policy::leave::Leaving;
use hickory_policy::links::{Links, Relays};
use hickory_policy::member::{Contact, Record, State};
use hickory_policy::membership::Membership;
use hickory_policy::part::{Evidence, Part};
use hickory_policy::recheck::Doubtful;
use hickory_policy::rest::Resting;
use hickory_policy::share::Budget;
use hickory_policy::trial::Trials;
use hickory_state::member::Member;
use hickory_store::store::{Revision, Store};
use hickory_telemetry::metered::Metered;
use hickory_telemetry::metrics::Metrics;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use std::collections::HashMap;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, Semaphore, watch};

/// The timeout for connecting to a target. The round trip takes a few milliseconds; a target whose
/// accept queue is full answers only after seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long sent bytes may stay unacknowledged before a target counts as unreachable: about a
/// hundred round trips.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The lifecycle stage of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// The node accepts callers.
    Serving,
    /// The node is stopping: it serves requests that arrive, and directs callers to other nodes.
    Draining,
    /// The node accepts no more connections or requests, and writes its last answers.
    Closing,
    /// The grace period has passed: the requests in flight are interrupted.
    Interrupting,
    /// The node has stopped.
    Closed,
}

/// The shared state of a node.
#[derive(Debug)]
pub(crate) struct Core<D, S: Store, C: Clock> {
    pub(crate) settings: Settings,
    bounds: RwLock<Arc<Bounds>>,
    pub(crate) store: Metered<S, C>,
    pub(crate) metrics: Metrics,
    pub(crate) holdings: Arc<holding::Registry>,
    pub(crate) clock: C,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) client: Client,
    pub(crate) member: OnceLock<Member<Metered<S, C>, C>>,
    items: Mutex<Items>,
    pub(crate) lag_tracker: Mutex<LagTracker>,
    transfers: Mutex<Transfers>,
    pub(crate) view: RwLock<Arc<View>>,
    ledger: Mutex<Ledger>,
    membership: Mutex<Membership>,
    peer_states: Mutex<PeerStates>,
    owner: Mutex<Owner>,
    owner_timeouts: Mutex<HashMap<id::Node, OwnerTimeouts>>,
    pending_answers: Mutex<HashMap<AllocationId, UnboundedSender<Answer>>>,
    ejection: Mutex<Ejection<Tag>>,
    doubt: Mutex<Doubt<(id::Service, id::Zone), Tag>>,
    links: Mutex<HashMap<id::Service, Links<Tag>>>,
    relays: Mutex<HashMap<id::Service, Relays<SocketAddr>>>,
    /// Permits for the connections that this node relays for peers.
    pub(crate) relay_slots: Arc<Semaphore>,
    parts: Mutex<Evidence<Tag>>,
    trials: Mutex<Trials>,
    /// The requests for whose trials an attempt of this node asks, or which it tries, and whether that
    /// resumes a stream.
    trial_claims: Mutex<HashMap<(Part, bool), UnboundedSender<TrialAnswer>>>,
    leaving: Mutex<Leaving<Tag>>,
    cold: Mutex<Cold<Tag>>,
    resting: Mutex<Resting<Tag>>,
    doubtful: Mutex<Doubtful<Tag>>,
    budgets: Mutex<HashMap<id::Service, Budget>>,
    is_store_unreachable: AtomicBool,
    /// Until when the store is presumed to be down, after it was last found to be.
    store_down_until: Mutex<Option<Instant>>,
    draining_since: OnceLock<Instant>,
    /// How slow the requests of each route are.
    slowness: Mutex<HashMap<CompactString, Slowness>>,
    pub(crate) revisions: Mutex<(Revision, Revision)>,
    /// How long this node has received reports of allocations without interruption.
    uptime: Mutex<Uptime>,
    outgoing: UnboundedSender<Outgoing>,
    /// Held until the sending task takes it.
    outgoing_receiver: Mutex<Option<UnboundedReceiver<Outgoing>>>,
    /// Membership changes are waiting to be sent.
    pub(crate) membership_notify: Notify,
    /// Newer revisions are waiting to be announced.
    pub(crate) revision_notify: Notify,
    /// Queued prompts may be placeable now.
    pub(crate) queue_notify: Notify,
    pub(crate) stage: watch::Sender<Stage>,
    /// The name of a long-lived task that has panicked.
    pub(crate) failed_task: watch::Sender<Option<&'static str>>,
    active_requests: AtomicUsize,
    open_connections: AtomicUsize,
    dialect: PhantomData<fn() -> D>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    pub(crate) fn open(
        settings: Settings,
        target_links: HashMap<SocketAddr, SocketAddr>,
        store: S,
        clock: C,
        metrics: Metrics,
    ) -> Self {
        let now = clock.now();
        let incarnation = id::Incarnation(clock.wall_ms());
        let (outgoing, outgoing_receiver) = unbounded_channel();
        let membership = open_membership(&settings, incarnation, now);
        Self {
            client: Client::open(CONNECT_TIMEOUT)
                .with_user_timeout(UNACKNOWLEDGED_TIMEOUT)
                .with_translations(target_links)
                .with_max_head(settings.bounds.sizes.max_head.0 as usize),
            holdings: holding::Registry::new(settings.bounds.sizes.max_held, metrics.clone()),
            bounds: RwLock::new(Arc::new(settings.bounds.clone())),
            settings,
            store: Metered::new(store, clock.clone(), metrics.clone()),
            metrics,
            incarnation,
            clock,
            member: OnceLock::new(),
            items: Mutex::new(Items::with_versions(|key, text| {
                (key == D::CONFIG_KEY).then(|| D::parse_version(text)).flatten()
            })),
            lag_tracker: Mutex::default(),
            transfers: Mutex::default(),
            view: RwLock::default(),
            ledger: Mutex::new(Ledger::open(rand::random())),
            membership: Mutex::new(membership),
            peer_states: Mutex::default(),
            owner: Mutex::default(),
            owner_timeouts: Mutex::default(),
            pending_answers: Mutex::default(),
            ejection: Mutex::default(),
            doubt: Mutex::default(),
            links: Mutex::default(),
            relays: Mutex::default(),
            relay_slots: Arc::new(Semaphore::new(MAX_RELAYED_CONNECTIONS)),
            parts: Mutex::default(),
            trials: Mutex::default(),
            trial_claims: Mutex::default(),
            leaving: Mutex::default(),
            cold: Mutex::default(),
            resting: Mutex::default(),
            doubtful: Mutex::default(),
            budgets: Mutex::default(),
            is_store_unreachable: AtomicBool::new(false),
            store_down_until: Mutex::default(),
            draining_since: OnceLock::new(),
            slowness: Mutex::default(),
            revisions: Mutex::default(),
            uptime: Mutex::new(Uptime { since: now, last_tick: now }),
            outgoing,
            outgoing_receiver: Mutex::new(Some(outgoing_receiver)),
            membership_notify: Notify::new(),
            revision_notify: Notify::new(),
            queue_notify: Notify::new(),
            stage: watch::channel(Stage::Serving).0,
            failed_task: watch::channel(None).0,
            active_requests: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            dialect: PhantomData,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn bounds(&self) -> Arc<Bounds> {
        self.bounds.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        self.holdings.set_bound(bounds.sizes.max_held);
        *self.bounds.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(bounds);
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }

    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        lock(&self.membership)
    }

    pub(crate) fn peer_states(&self) -> MutexGuard<'_, PeerStates> {
        lock(&self.peer_states)
    }

    pub(crate) fn owner(&self) -> MutexGuard<'_, Owner> {
        lock(&self.owner)
    }

    pub(crate) fn ejection(&self) -> MutexGuard<'_, Ejection<Tag>> {
        lock(&self.ejection)
    }

    pub(crate) fn doubt(&self) -> MutexGuard<'_, Doubt<(id::Service, id::Zone), Tag>> {
        lock(&self.doubt)
    }

    /// Reads or changes the state of this node's own links to the targets of a service. The targets
    /// of one service may be cut off while those of another are not.
    pub(crate) fn with_links<R>(
        &self,
        service: &id::Service,
        f: impl FnOnce(&mut Links<Tag>) -> R,
    ) -> R {
        let mut links = lock(&self.links);
        match links.get_mut(service) {
            Some(links) => f(links),
            None => f(links.entry(service.clone()).or_default()),
        }
    }

    /// Reads or changes the state of the peers through which this node connects to the targets of a
    /// service. A peer may reach the targets of one service and not those of another.
    pub(crate) fn with_relays<R>(
        &self,
        service: &id::Service,
        f: impl FnOnce(&mut Relays<SocketAddr>) -> R,
    ) -> R {
        f(lock(&self.relays).entry(service.clone()).or_default())
    }

    /// Returns what this node knows of requests and prompt parts under which targets crash.
    pub(crate) fn parts(&self) -> MutexGuard<'_, Evidence<Tag>> {
        lock(&self.parts)
    }

    /// Returns the trials of suspect requests that this node has granted.
    pub(crate) fn trials(&self) -> MutexGuard<'_, Trials> {
        lock(&self.trials)
    }

    pub(crate) fn trial_claims(
        &self,
    ) -> MutexGuard<'_, HashMap<(Part, bool), UnboundedSender<TrialAnswer>>> {
        lock(&self.trial_claims)
    }

    /// Returns the targets of which a request has left in doubt whether they have their address.
    pub(crate) fn doubtful(&self) -> MutexGuard<'_, Doubtful<Tag>> {
        lock(&self.doubtful)
    }

    /// Returns the targets that have stated that they leave.
    pub(crate) fn leaving(&self) -> MutexGuard<'_, Leaving<Tag>> {
        lock(&self.leaving)
    }

    /// Returns the targets that have stated in health checks that they are cold.
    pub(crate) fn cold(&self) -> MutexGuard<'_, Cold<Tag>> {
        lock(&self.cold)
    }

    /// Returns the targets that have asked this node for rest.
    pub(crate) fn resting(&self) -> MutexGuard<'_, Resting<Tag>> {
        lock(&self.resting)
    }

    pub(crate) fn transfers(&self) -> MutexGuard<'_, Transfers> {
        lock(&self.transfers)
    }

    pub(crate) fn items(&self) -> MutexGuard<'_, Items> {
        lock(&self.items)
    }

    /// Returns the newest known revisions of the operators' items and of the targets' entries.
    pub(crate) fn revisions(&self) -> (Revision, Revision) {
        *lock(&self.revisions)
    }

    /// Returns whether any target's entry is known yet.
    pub(crate) fn has_targets(&self) -> bool {
        let (_, targets) = self.revisions();
        targets > Revision::default()
    }

    /// Records the newest revision of operators' items that a peer has.
    pub(crate) fn note_operator_revision(&self, revision: Revision) {
        let (known, _) = self.revisions();
        if revision > known {
            lock(&self.lag_tracker).note_announced(self.now(), revision, known);
        }
    }

    /// Returns how far this node is behind the newest revision that it knows operators to have
    /// written; `None` if it is up to date.
    pub(crate) fn lag(&self) -> Option<Lag> {
        let known = self.items().newest_revision(D::OPERATOR_PREFIX);
        lock(&self.lag_tracker).lag(self.now(), known)
    }

    /// Records whether the store answered.
    pub(crate) fn note_store_reachable(&self, is_reachable: bool) {
        let was_unreachable = self.is_store_unreachable.swap(!is_reachable, Ordering::Relaxed);
        if was_unreachable == is_reachable {
            log::warn!(away = !is_reachable; "the store's reach changed");
        }
    }

    /// Records that the store is down, and until when this is presumed.
    pub(crate) fn note_store_down(&self, until: Instant) {
        *lock(&self.store_down_until) = Some(until);
    }

    /// Returns until when the store is, or was, presumed to be down; `None` if it never was.
    pub(crate) fn store_down_until(&self) -> Option<Instant> {
        *lock(&self.store_down_until)
    }

    /// Returns whether the store is unreachable.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        self.is_store_unreachable.load(Ordering::Relaxed)
    }

    /// Records the start of the planned stop.
    pub(crate) fn begin_draining(&self) {
        // Fails if the stop has begun already, which keeps the first start time.
        let _ = self.draining_since.set(self.now());
    }

    /// Returns the time since the planned stop began.
    pub(crate) fn draining_time(&self) -> Option<Duration> {
        let since = self.draining_since.get()?;
        Some(self.now().saturating_duration_since(*since))
    }

    /// Records the time from the arrival of a request to the end of its answer.
    pub(crate) fn record_duration(&self, route: &Route, nominal: Nominal, duration: Duration) {
        let (now, mut slowness) = (self.now(), lock(&self.slowness));
        match slowness.get_mut(&route.name) {
            Some(known) => known.record(now, nominal, duration),
            None => {
                // Routes that have been removed are forgotten here.
                slowness.retain(|_, known| known.multiple(now).is_some());
                slowness.entry(route.name.clone()).or_default().record(now, nominal, duration);
            }
        }
    }

    /// Returns the time that a route's requests may take, as a multiple of what is known of it; `None`
    /// if none was answered.
    pub(crate) fn slowness(&self, route: &Route) -> Option<f64> {
        lock(&self.slowness).get_mut(&route.name)?.multiple(self.now())
    }

    /// Adds a request's share to the retry budget of its service.
    pub(crate) fn earn_retry(&self, service: &id::Service) {
        let (now, bounds) = (self.now(), self.bounds());
        let mut budgets = lock(&self.budgets);
        match budgets.get_mut(service) {
            Some(budget) => budget.record_request(now, &bounds.repeats),
            None => {
                budgets.entry(service.clone()).or_default().record_request(now, &bounds.repeats)
            }
        }
    }

    /// Spends one retry from this node's share of a service's budget; returns whether one was left.
    pub(crate) fn spend_retry(&self, service: &id::Service) -> bool {
        let (now, bounds) = (self.now(), self.bounds());
        let nodes = self.count_nodes();
        let mut budgets = lock(&self.budgets);
        budgets.entry(service.clone()).or_default().try_spend(now, &bounds.repeats, nodes)
    }

    pub(crate) fn owner_timeouts(&self) -> MutexGuard<'_, HashMap<id::Node, OwnerTimeouts>> {
        lock(&self.owner_timeouts)
    }

    pub(crate) fn uptime(&self) -> MutexGuard<'_, Uptime> {
        lock(&self.uptime)
    }

    pub(crate) fn pending_answers(
        &self,
    ) -> MutexGuard<'_, HashMap<AllocationId, UnboundedSender<Answer>>> {
        lock(&self.pending_answers)
    }

    /// Queues an event for the sending task.
    pub(crate) fn enqueue(&self, outgoing: Outgoing) {
        // Sending fails only after the node has ended.
        let _ = self.outgoing.send(outgoing);
    }

    /// Returns the receiver of queued events on the first call, `None` afterwards.
    pub(crate) fn take_outgoing_receiver(&self) -> Option<UnboundedReceiver<Outgoing>> {
        lock(&self.outgoing_receiver).take()
    }

    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Waits until the node has reached a stage.
    pub(crate) async fn wait_for_stage(&self, stage: Stage) {
        let mut stages = self.stage.subscribe();
        // The sender lives as long as the node, so waiting can't fail.
        let _ = stages.wait_for(|reached| *reached >= stage).await;
    }

    /// Returns whether callers should be directed to this node.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.view().configuration.is_some()
    }

    /// Returns the number of requests in flight. An answer that is ready may not be written yet.
    pub(crate) fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that the node has accepted and not closed.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }
}

fn open_membership(settings: &Settings, incarnation: id::Incarnation, now: Instant) -> Membership {
    let contact = Contact {
        peer_address: settings.peers,
        caller_address: settings.callers,
        sync_address: settings.sync,
        is_ready: false,
        is_synced: false,
        is_store_unreachable: false,
        capacity: settings.capacity,
    };
    let node = settings.node.clone();
    let own = Record { node, incarnation, version: 0, state: State::Alive, contact };
    let seeds = settings.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), settings.peers.port()));
    Membership::new(now, own, seeds.collect(), rand::random())
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct ActiveRequest<D: Dialect, S: Store, C: Clock>(Arc<Core<D, S, C>>);

impl<D: Dialect, S: Store, C: Clock> ActiveRequest<D, S, C> {
    pub(crate) fn begin(core: &Arc<Core<D, S, C>>) -> Self {
        core.active_requests.fetch_add(1, Ordering::Relaxed);
        Self(core.clone())
    }
}

impl<D: Dialect, S: Store, C: Clock> Drop for ActiveRequest<D, S, C> {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts an accepted connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection<D: Dialect, S: Store, C: Clock>(Arc<Core<D, S, C>>);

impl<D: Dialect, S: Store, C: Clock> OpenConnection<D, S, C> {
    pub(crate) fn begin(core: &Arc<Core<D, S, C>>) -> Self {
        core.open_connections.fetch_add(1, Ordering::Relaxed);
        Self(core.clone())
    }
}

impl<D: Dialect, S: Store, C: Clock> Drop for OpenConnection<D, S, C> {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
