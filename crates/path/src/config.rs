//! The configuration that operators set: routes, services, accounts, limits.

use compact_str::CompactString;
use hickory_policy::engine;
use hickory_unit::{id, size};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Its version; later ones are greater.
    pub version: u64,
    /// Routes by host, those with the longest prefix first.
    pub routes: HashMap<CompactString, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<id::Service, Arc<Service>>,
    /// Accounts by key; `None` where callers need no key.
    pub accounts: Option<HashMap<CompactString, Arc<Account>>>,
    /// What callers may send.
    pub limits: Limits,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once for each attempt of the caller.
    AtMostOnce,
    /// A stream of events that begins once.
    Stream,
    /// A stream of events that another target may take up.
    ResumableStream,
}

impl Kind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: CompactString,
    /// The host it is for.
    pub host: CompactString,
    /// The beginning of the paths it is for.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: Kind,
    /// How long a caller may be kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is wanted.
    pub goal: Duration,
    /// The longest wanted pause between two events of a stream.
    pub event_gap_goal: Option<Duration>,
    /// Its rank; 0 is the highest.
    pub priority: u32,
    /// The services it goes to, with their weights.
    pub split: Vec<(id::Service, u32)>,
    /// Targets that one attempt of a caller may be sent to.
    pub max_targets: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Requests a second that a cold target bears; `None` where it bears all.
    pub max_cold_rate: Option<f64>,
    /// The figures of its engines, where it is a model's.
    pub engine: Option<engine::Profile>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: id::Account,
    /// Its rank, in place of the route's.
    pub priority: Option<u32>,
}

/// What callers may send, and how long they may be idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The head of a request.
    pub max_header: size::Bytes,
    /// Its body.
    pub max_body: size::Bytes,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// In force before the first configuration is known: what HTTP servers
    /// commonly take.
    fn default() -> Self {
        Self {
            max_header: size::Bytes(16 << 10),
            max_body: size::Bytes(4 << 20),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// The route for a host and path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// The account of a key.
    pub fn find_account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.as_ref()?.get(key)
    }

    /// The engine figures of a service.
    pub fn engine_profile(&self, service: &id::Service) -> Option<&engine::Profile> {
        self.services.get(service)?.engine.as_ref()
    }
}

/// How long callers wait for an event before they leave a stream: the longest
/// of this, of so many goals, and of so many wanted pauses. It is what the
/// users say of their callers; work for one who has left is lost.
const MIN_ABANDONMENT_TIMEOUT: Duration = Duration::from_secs(2);
const ABANDONMENT_GOALS: u32 = 4;
const ABANDONMENT_GAPS: u32 = 8;

impl Route {
    /// How long callers wait for the first event of a stream before they leave.
    pub fn abandonment_timeout(&self) -> Option<Duration> {
        let pause = self.event_gap_goal.unwrap_or_default() * ABANDONMENT_GAPS;
        let longest = MIN_ABANDONMENT_TIMEOUT.max(self.goal * ABANDONMENT_GOALS).max(pause);
        self.kind.is_stream().then_some(longest)
    }

    /// The service that a random number from 0 to 1 falls on, by weight.
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
