//! What one platform calls things: the port between the request path and the
//! names and formats of requests, targets and the store's items.

use crate::config::Configuration;
use crate::demand::Demand;
use compact_str::CompactString;
use hickory_unit::finding::Finding;
use hickory_unit::id;
use http::HeaderMap;
use http::request::Parts;
use std::net::SocketAddr;
use std::time::Duration;

/// The names and formats of one platform. All functions are pure: no timer,
/// choice or state.
pub trait Dialect: Send + Sync + 'static {
    /// The prefix of what operators write.
    const OPERATOR_PREFIX: &str;
    /// The prefix of the targets' entries.
    const TARGET_PREFIX: &str;
    /// The key of the configuration.
    const CONFIG_KEY: &str;
    /// The prefix of the keys that name zones which are out of service.
    const ZONE_PREFIX: &str;

    /// The caller's id of its attempt, empty where it names none.
    fn read_attempt(headers: &HeaderMap) -> CompactString;

    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// What can't be read, with the header's name.
    fn read_demand(parts: &Parts) -> Result<Demand, Finding>;

    /// Turns the caller's headers into those for a target: removes what is
    /// not for targets, sets what the path decides.
    fn write_send(send: &Sending<'_>, headers: &mut HeaderMap);

    /// Reads the head of a target's answer.
    fn read_answer(headers: &HeaderMap) -> Answer;

    /// Removes from a target's answer what concerns one connection only.
    fn strip_answer(headers: &mut HeaderMap);

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// What can't be read, with its place.
    fn read_configuration(text: &str) -> Result<Configuration, Finding>;

    /// Reads a target's entry; `None` where it names no target to use.
    fn read_target(id: &str, text: &str) -> Option<Entry>;

    /// The answer to where to connect.
    fn write_directory(addresses: &[SocketAddr], keep: Duration) -> String;

    /// An order that reserves memory on an engine.
    fn write_reserve(reservation: &str, tokens: u64, hold: Duration, wait: bool) -> Order;

    /// An order that ends a reservation.
    fn write_release(reservation: &str) -> Order;
}

/// What the path decides of one sending.
#[derive(Clone, Debug)]
pub struct Sending<'a> {
    /// How long the target may work.
    pub time_left: Duration,
    /// The target that is meant; another one at its address must not run it.
    pub target: &'a id::Target,
    /// The caller's account.
    pub account: Option<&'a id::Account>,
    /// Its urgency, from 0 (first) to 9.
    pub urgency: Option<u8>,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
    /// Engines that read parts of the prompt, with their reservations; the
    /// target itself is among them where it holds one.
    pub helpers: &'a [Helper],
}

/// An engine that reads part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Where it is.
    pub address: SocketAddr,
    /// The reservation of its memory.
    pub reservation: Option<CompactString>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Its path.
    pub path: &'static str,
    /// Its body.
    pub body: String,
}

/// The head of a target's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The attempt that it answers.
    pub attempt: Option<CompactString>,
    /// Whether it bears a target's signature.
    pub signed: bool,
    /// Whether it says that the request has not run.
    pub not_run: bool,
    /// Whether the body is encoded, which no target does.
    pub encoded: bool,
    /// How long the connection may be idle.
    pub keep: Option<Duration>,
    /// Where the target is that kept the request from running, where that is said;
    /// it may be one that was to read a part of the prompt.
    pub at_fault: Option<SocketAddr>,
}

/// A target's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The service it belongs to.
    pub service: id::Service,
    /// Where it is.
    pub address: SocketAddr,
    /// The availability zone it stands in.
    pub zone: id::Zone,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it is cold, from when the entry was written.
    pub cold_left: Duration,
    /// When it started; differs after each start under the same id.
    pub born: u64,
}
