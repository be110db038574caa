//! What one platform calls things: the port between the request path and the
//! names and formats of requests, targets and the store's items.

use crate::config::Configuration;
use crate::request::RequestHead;
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
    fn parse_attempt(headers: &HeaderMap) -> CompactString;

    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// What can't be read, with the header's name.
    fn parse_request_head(parts: &Parts) -> Result<RequestHead, Finding>;

    /// Turns the caller's headers into those for a target: removes what is
    /// not for targets, sets what the path decides.
    fn write_target_headers(send: &TargetRequest<'_>, headers: &mut HeaderMap);

    /// Reads the head of a target's answer.
    fn parse_response_head(headers: &HeaderMap) -> ResponseHead;

    /// Removes from a target's answer what concerns one connection only.
    fn strip_connection_headers(headers: &mut HeaderMap);

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// What can't be read, with its place.
    fn parse_configuration(text: &str) -> Result<Configuration, Finding>;

    /// Reads a target's entry; `None` where it names no target to use.
    fn parse_target(id: &str, text: &str) -> Option<Entry>;

    /// The answer to where to connect.
    fn write_directory(addresses: &[SocketAddr], keep: Duration) -> String;

    /// An order that reserves memory on an engine.
    fn reserve_request(reservation: &str, tokens: u64, hold: Duration, wait: bool)
    -> EngineRequest;

    /// An order that ends a reservation.
    fn release_request(reservation: &str) -> EngineRequest;
}

/// What the path decides of one sending.
#[derive(Clone, Debug)]
pub struct TargetRequest<'a> {
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
pub struct EngineRequest {
    /// Its path.
    pub path: &'static str,
    /// Its body.
    pub body: String,
}

/// The head of a target's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The attempt that it answers.
    pub attempt: Option<CompactString>,
    /// Whether it bears a target's signature.
    pub is_signed: bool,
    /// Whether it says that the request has not run.
    pub has_not_run: bool,
    /// Whether the body is encoded, which no target does.
    pub is_encoded: bool,
    /// How long the connection may be idle.
    pub keep_alive: Option<Duration>,
    /// Where the target is that kept the request from running, where that is said;
    /// it may be one that was to read a part of the prompt.
    pub refusing_target: Option<SocketAddr>,
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
    pub is_draining: bool,
    /// How much longer it is cold, from when the entry was written.
    pub cold_time_left: Duration,
    /// When it started; differs after each start under the same id.
    pub incarnation: u64,
}
