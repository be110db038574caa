//! What the parts of a node share.

use crate::dialect::Dialect;
use crate::fleet::{Running, Silence};
use crate::give::Giving;
use crate::gossip::{Outgoing, PeerStates};
use crate::items::Items;
use crate::ledger::{Ledger, Number};
use crate::news::{Lag, News};
use crate::owner::Owner;
use crate::placement::Answer;
use crate::settings::{Bounds, Settings};
use crate::view::{Tag, View};
use hickory_client::Client;
use hickory_policy::ejection::Ejection;
use hickory_policy::member::{Contact, Record, State};
use hickory_policy::membership::Membership;
use hickory_policy::poison::Suspects;
use hickory_policy::share::Budget;
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
use tokio::sync::{Notify, watch};

/// How long a connect to a target may take: the way there and back is a few
/// milliseconds, and a target whose queue of connections is full answers only
/// after seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long sent bytes may stay unacknowledged before a target counts as cut
/// off: some hundred times the way there and back.
const SILENCE: Duration = Duration::from_millis(1_200);

/// What a node is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It takes callers.
    Serving,
    /// It is stopping: it serves what comes, and sends callers elsewhere.
    Draining,
    /// It has stopped.
    Closed,
}

/// The state of a node.
#[derive(Debug)]
pub(crate) struct Core<D, S: Store, C: Clock> {
    pub(crate) settings: Settings,
    bounds: RwLock<Arc<Bounds>>,
    pub(crate) store: Metered<S, C>,
    pub(crate) metrics: Metrics,
    pub(crate) clock: C,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) client: Client,
    pub(crate) member: OnceLock<Member<Metered<S, C>, C>>,
    items: Mutex<Items>,
    news: Mutex<News>,
    giving: Mutex<Giving>,
    view: RwLock<Arc<View>>,
    ledger: Mutex<Ledger>,
    membership: Mutex<Membership>,
    peer_states: Mutex<PeerStates>,
    owner: Mutex<Owner>,
    silences: Mutex<HashMap<id::Node, Silence>>,
    expected: Mutex<HashMap<Number, UnboundedSender<Answer>>>,
    ejection: Mutex<Ejection<Tag>>,
    suspects: Mutex<Suspects>,
    budgets: Mutex<HashMap<id::Service, Budget>>,
    store_away: AtomicBool,
    draining_since: OnceLock<Instant>,
    revisions: Mutex<(Revision, Revision)>,
    /// Since when this node has been told what runs where.
    running: Mutex<Running>,
    outgoing: UnboundedSender<Outgoing>,
    /// Until the task that sends takes it.
    unsent: Mutex<Option<UnboundedReceiver<Outgoing>>>,
    /// News of members waits to be told.
    pub(crate) members_due: Notify,
    /// Newer revisions wait to be told.
    pub(crate) revisions_due: Notify,
    /// Something may have changed for prompts that wait.
    pub(crate) queue_due: Notify,
    pub(crate) stage: watch::Sender<Stage>,
    active: AtomicUsize,
    dialect: PhantomData<fn() -> D>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    pub(crate) fn open(settings: Settings, store: S, clock: C, metrics: Metrics) -> Self {
        let now = clock.now();
        let incarnation = id::Incarnation(clock.wall_ms());
        let (outgoing, unsent) = unbounded_channel();
        let membership = open_membership(&settings, incarnation, now);
        Self {
            bounds: RwLock::new(Arc::new(settings.bounds.clone())),
            settings,
            store: Metered::open(store, clock.clone(), metrics.clone()),
            metrics,
            incarnation,
            clock,
            client: Client::open(CONNECT_TIMEOUT).with_silence(SILENCE),
            member: OnceLock::new(),
            items: Mutex::default(),
            news: Mutex::default(),
            giving: Mutex::default(),
            view: RwLock::default(),
            ledger: Mutex::default(),
            membership: Mutex::new(membership),
            peer_states: Mutex::default(),
            owner: Mutex::default(),
            silences: Mutex::default(),
            expected: Mutex::default(),
            ejection: Mutex::default(),
            suspects: Mutex::default(),
            budgets: Mutex::default(),
            store_away: AtomicBool::new(false),
            draining_since: OnceLock::new(),
            revisions: Mutex::default(),
            running: Mutex::new(Running { since: now, ticked: now }),
            outgoing,
            unsent: Mutex::new(Some(unsent)),
            members_due: Notify::new(),
            revisions_due: Notify::new(),
            queue_due: Notify::new(),
            stage: watch::channel(Stage::Serving).0,
            active: AtomicUsize::new(0),
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

    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }

    pub(crate) fn giving(&self) -> MutexGuard<'_, Giving> {
        lock(&self.giving)
    }

    pub(crate) fn items(&self) -> MutexGuard<'_, Items> {
        lock(&self.items)
    }

    /// Changes the items and reads them anew where that was news. Targets whose
    /// entries go are kept for a while where `may_lapse`.
    pub(crate) fn update(&self, may_lapse: bool, change: impl FnOnce(&mut Items) -> bool) {
        let mut items = self.items();
        if !change(&mut items) {
            return;
        }
        let now = self.now();
        for prefix in [D::OPERATOR_PREFIX, D::TARGET_PREFIX] {
            items.forget(now, prefix);
        }
        let before = self.view();
        let next = before.read::<D>(&items, now, may_lapse);
        let waited = lock(&self.news).settle(now, items.newest(D::OPERATOR_PREFIX));
        if next.config_revision != before.config_revision {
            self.note_configuration(&next, waited);
        }
        let next = Arc::new(next);
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = next.clone();
        *lock(&self.revisions) = (items.newest(D::OPERATOR_PREFIX), items.newest(D::TARGET_PREFIX));
        self.revisions_due.notify_one();
        drop(items);
        if !next.changes.is_empty() {
            self.log_changes(&next);
        }
    }

    /// The newest revisions that this node has of what operators and targets wrote.
    pub(crate) fn revisions(&self) -> (Revision, Revision) {
        *lock(&self.revisions)
    }

    /// Whether any target's entry is known yet.
    pub(crate) fn knows_targets(&self) -> bool {
        let (_, targets) = self.revisions();
        targets > Revision::default()
    }

    fn note_configuration(&self, view: &View, waited: Option<Duration>) {
        self.metrics.configuration(id::Release(view.version()));
        self.metrics.configuration_delayed(waited.unwrap_or_default());
        log::info!(
            version = view.version(),
            revision:% = view.config_revision,
            waited_ms = waited.unwrap_or_default().as_millis() as u64;
            "configuration taken over"
        );
    }

    /// Notes the newest revision of operators' data that a peer has.
    pub(crate) fn hear(&self, told: Revision) {
        let (known, _) = self.revisions();
        if told > known {
            lock(&self.news).hear(self.now(), told, known);
        }
    }

    /// How far this node is behind what it has heard operators wrote.
    pub(crate) fn lag(&self) -> Option<Lag> {
        let known = self.items().newest(D::OPERATOR_PREFIX);
        lock(&self.news).lag(self.now(), known)
    }

    /// Notes whether the store answered.
    pub(crate) fn note_store(&self, answered: bool) {
        let was_away = self.store_away.swap(!answered, Ordering::Relaxed);
        if was_away == answered {
            log::warn!(away = !answered; "the store's reach changed");
        }
    }

    /// Whether the store is out of reach.
    pub(crate) fn is_store_away(&self) -> bool {
        self.store_away.load(Ordering::Relaxed)
    }

    /// Notes that the planned stop begins.
    pub(crate) fn begin_draining(&self) {
        // It begins once.
        let _ = self.draining_since.set(self.now());
    }

    /// How long the planned stop has lasted.
    pub(crate) fn draining_for(&self) -> Option<Duration> {
        let since = self.draining_since.get()?;
        Some(self.now().saturating_duration_since(*since))
    }

    /// Notes a request of a service, which earns part of a repeat.
    pub(crate) fn earn_repeat(&self, service: &id::Service) {
        let (now, bounds) = (self.now(), self.bounds());
        let mut budgets = lock(&self.budgets);
        match budgets.get_mut(service) {
            Some(budget) => budget.record_request(now, &bounds.repeats),
            None => {
                budgets.entry(service.clone()).or_default().record_request(now, &bounds.repeats)
            }
        }
    }

    /// Takes one repeat from this node's share of a service's budget.
    pub(crate) fn spend_repeat(&self, service: &id::Service) -> bool {
        let (now, bounds) = (self.now(), self.bounds());
        let nodes = self.count_nodes();
        let mut budgets = lock(&self.budgets);
        budgets.entry(service.clone()).or_default().try_spend(now, &bounds.repeats, nodes)
    }

    pub(crate) fn silences(&self) -> MutexGuard<'_, HashMap<id::Node, Silence>> {
        lock(&self.silences)
    }

    pub(crate) fn running(&self) -> MutexGuard<'_, Running> {
        lock(&self.running)
    }

    pub(crate) fn expected(&self) -> MutexGuard<'_, HashMap<Number, UnboundedSender<Answer>>> {
        lock(&self.expected)
    }

    /// Hands an event to the task that sends.
    pub(crate) fn post(&self, outgoing: Outgoing) {
        // The task ends with the node.
        let _ = self.outgoing.send(outgoing);
    }

    /// What is to be sent, once.
    pub(crate) fn take_unsent(&self) -> Option<UnboundedReceiver<Outgoing>> {
        lock(&self.unsent).take()
    }

    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.view().configuration.is_some()
    }

    /// Requests under way.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
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

/// Counts a request as under way while it lives.
#[derive(Debug)]
pub(crate) struct Active<D: Dialect, S: Store, C: Clock>(Arc<Core<D, S, C>>);

impl<D: Dialect, S: Store, C: Clock> Active<D, S, C> {
    pub(crate) fn begin(core: &Arc<Core<D, S, C>>) -> Self {
        core.active.fetch_add(1, Ordering::Relaxed);
        Self(core.clone())
    }
}

impl<D: Dialect, S: Store, C: Clock> Drop for Active<D, S, C> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}
