//! The interface between the request path and a platform: it translates the platform's names and
//! formats of requests, responses, registry entries and store items.

use crate::config::Configuration;
use crate::request::RequestHead;
use compact_str::CompactString;
use hickory_policy::capacity::Report;
use hickory_policy::misdirection::Misdirection;
use hickory_unit::finding::Finding;
use hickory_unit::id;
use hickory_unit::rate::RequestsPerSecond;
use http::HeaderMap;
use http::request::Parts;
use std::net::SocketAddr;
use std::time::Duration;

/// The names and formats of one platform. All functions are pure: they keep no state, use no timer
/// and make no decision.
pub trait Dialect: Send + Sync + 'static {
    /// The key prefix of the items that operators write.
    const OPERATOR_PREFIX: &str;
    /// The key prefix of the targets' registry entries.
    const TARGET_PREFIX: &str;
    /// The store key of the configuration.
    const CONFIG_KEY: &str;
    /// The prefix of the keys that name zones which are out of service.
    const ZONE_PREFIX: &str;

    /// Reads the caller's ID of this attempt; empty if the request has none.
    fn parse_attempt(headers: &HeaderMap) -> CompactString;

    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns the header's name and the cause if a header can't be parsed.
    fn parse_request_head(parts: &Parts) -> Result<RequestHead, Finding>;

    /// Turns the caller's headers into those for a target: removes the ones that aren't meant for
    /// targets and sets the values in `send`.
    fn write_target_headers(send: &TargetRequest<'_>, headers: &mut HeaderMap);

    /// Parses the head of a target's response.
    fn parse_response_head(headers: &HeaderMap) -> ResponseHead;

    /// Removes the hop-by-hop headers from a target's response.
    fn strip_connection_headers(headers: &mut HeaderMap);

    /// Reads only the version of a configuration; `None` if it can't be read.
    fn parse_version(text: &str) -> Option<u64>;

    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// Returns the location and the cause if the configuration can't be parsed.
    fn parse_configuration(text: &str) -> Result<Configuration, Finding>;

    /// Parses a target's registry entry.
    ///
    /// # Errors
    ///
    /// Returns the field because of which it describes no usable target.
    fn parse_target(id: &str, text: &str) -> Result<Entry, Finding>;

    /// Formats the directory response: the addresses that callers may connect to, and how long they
    /// may cache it.
    fn write_directory(addresses: &[SocketAddr], keep: Duration) -> String;

    /// Builds the request that reserves memory on an engine.
    fn reserve_request(reservation: &str, tokens: u64, hold: Duration, wait: bool)
    -> EngineRequest;

    /// Builds the request that releases a reservation.
    fn release_request(reservation: &str) -> EngineRequest;
}

/// Values that the request path sets on a request to a target.
#[derive(Clone, Debug)]
pub struct TargetRequest<'a> {
    /// The time that the target may spend on the request.
    pub time_left: Duration,
    /// The intended target; another target at the same address must not run the request.
    pub target: &'a id::Target,
    /// The account of the caller.
    pub account: Option<&'a id::Account>,
    /// The scheduling urgency, from 0 (highest) to 9.
    pub urgency: Option<u8>,
    /// The ID of the last event that the caller has received.
    pub resume_after: Option<u64>,
    /// Engines that prefill parts of the prompt, with their reservations. Includes the target
    /// itself if it has a reservation.
    pub helpers: &'a [Helper],
}

/// An engine that prefills part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// The address of the engine.
    pub address: SocketAddr,
    /// The ID of the memory reservation on it.
    pub reservation: Option<CompactString>,
}

/// A control request to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// The path of the request.
    pub path: &'static str,
    /// The body of the request.
    pub body: String,
}

/// The parsed head of a target's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The ID of the attempt that the response belongs to.
    pub attempt: Option<CompactString>,
    /// Whether it carries a target's signature.
    pub is_signed: bool,
    /// Whether it states that the request was not run.
    pub has_not_run: bool,
    /// Whether the body has a content encoding, which targets never use.
    pub is_encoded: bool,
    /// How long the connection may stay idle.
    pub keep_alive: Option<Duration>,
    /// The address of the target that prevented the request from running, if the response names it.
    /// It may be a helper that was to prefill a part of the prompt.
    pub refusing_target: Option<SocketAddr>,
    /// The request rate that the target takes from all nodes together.
    pub rate_limit: Stated<RequestsPerSecond>,
    /// The time for which a target that turns a request away wants no more of this node.
    pub rest: Stated<Duration>,
    /// Whether the target states that it leaves.
    pub is_leaving: bool,
    /// How long the target stays cold, in a health response.
    pub cold_time_left: Stated<Duration>,
    /// The ID of the target that answers, if the response states it. Health responses always do.
    pub target: Option<CompactString>,
    /// The load of the target.
    pub load: Stated<Report>,
}

impl ResponseHead {
    /// Returns why a request that was sent to `target` is misdirected.
    pub(crate) fn misdirection(&self, target: &id::Target, names_version: bool) -> Misdirection {
        let is_expected_target = self.target.as_deref().map(|id| id == target.as_str());
        Misdirection::new(is_expected_target, names_version)
    }
}

/// A value that a response states of its target.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Stated<T> {
    /// It states none.
    #[default]
    None,
    /// The value.
    Value(T),
    /// The statement can't be parsed, so that the value is unknown.
    Malformed(Finding),
}

/// The registry entry of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The service that the target belongs to.
    pub service: id::Service,
    /// The address of the target.
    pub address: SocketAddr,
    /// The availability zone of the target.
    pub zone: id::Zone,
    /// The number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is shutting down.
    pub is_draining: bool,
    /// How much longer the target is cold, counted from when the entry was written.
    pub cold_time_left: Duration,
    /// The start time of the target; differs after each start under the same ID.
    pub incarnation: u64,
}
