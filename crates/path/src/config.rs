//! The configuration that operators write: routes, services, accounts and limits.

use compact_str::CompactString;
use hickory_policy::engine;
use hickory_unit::{id, size};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A complete configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// The version; it increases with every change.
    pub version: u64,
    /// Routes by host, sorted by descending length of the path prefix.
    pub routes: HashMap<CompactString, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<id::Service, Arc<Service>>,
    /// Accounts by API key; `None` if callers need no key.
    pub accounts: Option<HashMap<CompactString, Arc<Account>>>,
    /// Limits on what callers may send.
    pub limits: Limits,
}

/// Whether a route's requests may be retried, and whether the answer is an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request may run at most once per attempt of the caller.
    AtMostOnce,
    /// An event stream that can't move to another target once it has begun.
    Stream,
    /// An event stream that another target can resume.
    ResumableStream,
}

impl Kind {
    /// Returns whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether the request may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: CompactString,
    /// The host that the route matches.
    pub host: CompactString,
    /// The path prefix that the route matches.
    pub prefix: CompactString,
    /// The retry rule and the form of the answer.
    pub kind: Kind,
    /// The longest time a caller may wait for the answer.
    pub timeout: Duration,
    /// The target time until the answer, or until a stream's first event.
    pub goal: Duration,
    /// The target for the longest gap between two events of a stream.
    pub event_gap_goal: Option<Duration>,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The services that serve the route, with their weights.
    pub split: Vec<(id::Service, u32)>,
    /// The maximum number of targets that one attempt of a caller may be sent to.
    pub max_targets: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name.
    pub name: id::Service,
    /// The maximum request rate per second of a cold target; `None` means no limit.
    pub max_cold_rate: Option<f64>,
    /// The path of the targets' health checks.
    pub health_path: Option<CompactString>,
    /// The engine profile, if the service is a model.
    pub engine: Option<engine::Profile>,
    /// The longest goal of the routes that may send requests to the service. Routes whose goal is
    /// their timeout don't count: they state none.
    pub longest_goal: Duration,
}

/// A goal that is long enough for few engines to prefill most long prompts in time, so that the
/// number of engines and the start are worth planning. With shorter goals a long prompt needs nearly
/// all engines that are idle.
pub const PATIENT_GOAL: Duration = Duration::from_secs(4);

impl Route {
    /// Returns whether the goal is at least [`PATIENT_GOAL`]. A route whose goal is its timeout states
    /// none.
    pub fn is_patient(&self) -> bool {
        self.goal >= PATIENT_GOAL && self.goal < self.timeout
    }
}

impl Service {
    /// Returns whether some of the service's requests have a goal of at least [`PATIENT_GOAL`].
    pub fn is_patient(&self) -> bool {
        self.longest_goal >= PATIENT_GOAL
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The name.
    pub name: id::Account,
    /// The priority, which overrides the route's.
    pub priority: Option<u32>,
}

/// Limits on a caller's requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request's header section.
    pub max_header: size::Bytes,
    /// The maximum size of a request's body.
    pub max_body: size::Bytes,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration is known: the usual defaults of
    /// HTTP servers.
    fn default() -> Self {
        Self {
            max_header: size::Bytes(16 << 10),
            max_body: size::Bytes(4 << 20),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// Returns the route that matches a host and path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the account that an API key belongs to.
    pub fn find_account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.as_ref()?.get(key)
    }

    /// Sets the services, each with the longest goal of the routes that lead to it.
    #[must_use]
    pub fn with_services(mut self, services: impl Iterator<Item = Service>) -> Self {
        let mut goals: HashMap<&id::Service, Duration> = HashMap::new();
        let routes = self.routes.values().flatten().filter(|route| route.goal < route.timeout);
        for route in routes {
            for (service, _) in &route.split {
                let goal = goals.entry(service).or_default();
                *goal = route.goal.max(*goal);
            }
        }
        let services = services.map(|service| {
            let longest_goal = goals.get(&service.name).copied().unwrap_or_default();
            (service.name.clone(), Arc::new(Service { longest_goal, ..service }))
        });
        self.services = services.collect();
        self
    }

    /// Returns the engine profile of a service.
    pub fn engine_profile(&self, service: &id::Service) -> Option<&engine::Profile> {
        self.services.get(service)?.engine.as_ref()
    }
}

/// Callers abandon a stream when its next event takes longer than the largest of this time,
/// [`ABANDONMENT_GOAL_FACTOR`] times the route's goal and [`ABANDONMENT_GAP_FACTOR`] times
/// its event gap goal. The users gave these figures for their callers. Work for a caller
/// that has gone is wasted.
const MIN_ABANDONMENT_TIMEOUT: Duration = Duration::from_secs(2);
const ABANDONMENT_GOAL_FACTOR: u32 = 4;
const ABANDONMENT_GAP_FACTOR: u32 = 8;

impl Route {
    /// Returns how long callers wait for the next event of a stream before they disconnect; `None`
    /// if the answer is not a stream.
    pub fn abandonment_timeout(&self) -> Option<Duration> {
        let pause = self.event_gap_goal.unwrap_or_default() * ABANDONMENT_GAP_FACTOR;
        let longest = MIN_ABANDONMENT_TIMEOUT.max(self.goal * ABANDONMENT_GOAL_FACTOR).max(pause);
        self.kind.is_stream().then_some(longest)
    }

    /// Returns the service that `random`, a number from 0 to 1, selects by weight.
    pub fn pick_service(&self, random: f64) -> Option<&id::Service> {
        let total: f64 = self.split.iter().map(|(_, weight)| f64::from(*weight)).sum();
        let mut left = random * total;
        let chosen = self.split.iter().find(|(_, weight)| {
            left -= f64::from(*weight);
            left < 0.0
        });
        chosen.or(self.split.last()).map(|(service, _)| service)
    }
}
