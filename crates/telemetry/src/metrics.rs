//! The metrics of a node.
//!
//! Every series is resolved once, when the metrics are created, so that an
//! update on the request path is one atomic addition without a lock or a lookup.

use crate::label::{
    Call, Claim, Datagram, Decider, Fetch, Length, Order, Orphan, Ownership, Permit, Relay, Sender,
    TokenDirection, TransferDirection, Work,
};
use crate::register::{
    add_counter, add_counters, add_gauge, add_gauges, add_histogram, add_histograms,
    add_platform_calls, add_refusals,
};
use derive_more::Display;
use hickory_policy::refuse::RetryReason;
use prometheus::{Histogram, IntCounter, IntGauge, Registry, TextEncoder};

/// Histogram buckets, in seconds, of the time to the first token and to the end
/// of an answer. They range from a cached short prompt on loopback to a prompt of
/// a million tokens on a busy fleet.
const RESPONSE_TIME_BOUNDS: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.71, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0, 40.0,
    80.0, 160.0, 320.0, 640.0,
];

/// Histogram buckets, in seconds, of the wait for a permit.
const PERMIT_WAIT_BOUNDS: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0];

/// Histogram buckets, in seconds, of calls to the platform, which usually take
/// milliseconds and time out after one second by default.
const PLATFORM_CALL_BOUNDS: &[f64] =
    &[0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5];

/// Histogram buckets, in seconds, of the delay between a node's first notice of a
/// newer configuration and its activation. The delay should be at most seconds.
const CONFIGURATION_DELAY_BOUNDS: &[f64] =
    &[0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 8.0, 15.0, 30.0];

/// The error of registering a metric whose name is malformed or already registered.
#[derive(Debug, Display, derive_more::Error, derive_more::From)]
#[display("metrics: {_0}")]
pub struct Error(prometheus::Error);

/// The metrics of one node. Clones share the same series.
#[derive(Clone, Debug)]
pub struct Metrics {
    pub(crate) registry: Registry,
    pub(crate) refusals: Vec<[IntCounter; 2]>,
    pub(crate) retries: Vec<IntCounter>,
    pub(crate) requests: Vec<IntCounter>,
    pub(crate) in_flight: Vec<IntGauge>,
    pub(crate) first_token_time: Vec<Histogram>,
    pub(crate) answer_time: Vec<Histogram>,
    pub(crate) permit_wait: Histogram,
    pub(crate) tokens: Vec<IntCounter>,
    pub(crate) platform_calls: Vec<Vec<IntCounter>>,
    pub(crate) platform_call_time: Vec<Histogram>,
    pub(crate) ownership_changes: Vec<IntCounter>,
    pub(crate) owned_targets: IntGauge,
    pub(crate) permits: Vec<IntCounter>,
    pub(crate) orphans: Vec<IntCounter>,
    pub(crate) claims: Vec<IntCounter>,
    pub(crate) orders: Vec<IntCounter>,
    pub(crate) quarantines: IntCounter,
    pub(crate) suspects: IntGauge,
    pub(crate) store_era: IntGauge,
    pub(crate) target_restarts: IntCounter,
    pub(crate) target_silences: IntCounter,
    pub(crate) configuration_version: IntGauge,
    pub(crate) configuration_delay: Histogram,
    pub(crate) fetches: Vec<IntCounter>,
    pub(crate) fetch_bytes: Vec<IntCounter>,
    pub(crate) placements: Vec<IntCounter>,
    pub(crate) datagrams: Vec<IntCounter>,
    pub(crate) datagram_bytes: Vec<IntCounter>,
    pub(crate) connected_peers: IntGauge,
    pub(crate) rate_limited_targets: IntGauge,
    pub(crate) rate_limit_waits: IntCounter,
    pub(crate) zone_doubts: IntCounter,
    pub(crate) leaving_targets: IntGauge,
    pub(crate) rests: IntCounter,
    pub(crate) malformed: Vec<IntCounter>,
    pub(crate) cold_targets: IntGauge,
    pub(crate) health_checks: IntCounter,
    pub(crate) quarantined_parts: IntGauge,
    pub(crate) part_crashes: IntCounter,
    pub(crate) links_down: IntGauge,
    pub(crate) relays: Vec<IntCounter>,
    pub(crate) relayed_connections: IntGauge,
    pub(crate) relayed_bytes: IntCounter,
    pub(crate) slow_targets: IntGauge,
    pub(crate) limited_targets: IntGauge,
    pub(crate) held_bytes: IntGauge,
    pub(crate) closed_holders: IntCounter,
    pub(crate) stop_interruptions: IntCounter,
}

impl Metrics {
    /// Registers all metrics, with every series at zero.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new_custom(Some("hickory".to_owned()), None)?;
        let r = &registry;
        Ok(Self {
            refusals: add_refusals(r)?,
            retries: add_counters(r, "retries_total", "Retries", "reason", RetryReason::ALL)?,
            requests: add_counters(r, "requests_total", "Requests admitted", "work", Work::ALL)?,
            in_flight: add_gauges(
                r,
                "requests_in_flight",
                "Admitted requests in flight",
                "work",
                Work::ALL,
            )?,
            first_token_time: add_histograms(
                r,
                ("first_token_seconds", "Time from a request's arrival to its first token"),
                "prompt",
                Length::ALL,
                RESPONSE_TIME_BOUNDS,
            )?,
            answer_time: add_histograms(
                r,
                ("answer_seconds", "Time from a request's arrival to the end of its answer"),
                "work",
                Work::ALL,
                RESPONSE_TIME_BOUNDS,
            )?,
            permit_wait: add_histogram(
                r,
                ("permit_wait_seconds", "Time from requesting a permit to receiving it"),
                PERMIT_WAIT_BOUNDS,
            )?,
            tokens: add_counters(r, "tokens_total", "Tokens", "direction", TokenDirection::ALL)?,
            platform_calls: add_platform_calls(r)?,
            platform_call_time: add_histograms(
                r,
                ("platform_call_seconds", "Duration of calls to the platform"),
                "call",
                Call::ALL,
                PLATFORM_CALL_BOUNDS,
            )?,
            ownership_changes: add_counters(
                r,
                "ownership_changes_total",
                "Changes of the ownership of targets at this node",
                "change",
                Ownership::ALL,
            )?,
            owned_targets: add_gauge(r, "targets_owned", "Targets that this node owns")?,
            permits: add_counters(
                r,
                "permits_total",
                "Answers to permit requests, as owner",
                "answer",
                Permit::ALL,
            )?,
            orphans: add_counters(
                r,
                "orphans_swept_total",
                "Resources on targets that were released because they had no caller",
                "kind",
                Orphan::ALL,
            )?,
            claims: add_counters(
                r,
                "claims_total",
                "Claims for calls that run at most once",
                "result",
                Claim::ALL,
            )?,
            orders: add_counters(r, "orders_total", "Orders to engines", "result", Order::ALL)?,
            quarantines: add_counter(
                r,
                "quarantines_total",
                "Requests quarantined because targets died while they ran",
            )?,
            suspects: add_gauge(
                r,
                "suspects",
                "Request contents suspected because they ran on a target when it died",
            )?,
            store_era: add_gauge(
                r,
                "store_era",
                "Number of times that the store was restored from a copy, as it counts them",
            )?,
            target_restarts: add_counter(
                r,
                "target_restarts_total",
                "Owned targets that restarted as a new process",
            )?,
            target_silences: add_counter(
                r,
                "target_silences_total",
                "Owned targets that stopped responding and got no new work",
            )?,
            configuration_version: add_gauge(
                r,
                "configuration_version",
                "Version of the active configuration",
            )?,
            configuration_delay: add_histogram(
                r,
                (
                    "configuration_delay_seconds",
                    "Time from the first notice of a newer configuration to its activation",
                ),
                CONFIGURATION_DELAY_BOUNDS,
            )?,
            placements: add_counters(
                r,
                "placements_total",
                "Placed requests, by the node that chose the targets",
                "by",
                Decider::ALL,
            )?,
            datagrams: add_counters(
                r,
                "datagrams_sent_total",
                "Datagrams sent to other nodes, by their first content",
                "content",
                Datagram::ALL,
            )?,
            datagram_bytes: add_counters(
                r,
                "datagram_bytes_sent_total",
                "Bytes of sent datagrams, by their first content",
                "content",
                Datagram::ALL,
            )?,
            fetches: add_counters(
                r,
                "peer_fetches_total",
                "Document transfers between nodes, by result",
                "result",
                Fetch::ALL,
            )?,
            fetch_bytes: add_counters(
                r,
                "peer_fetch_bytes_total",
                "Bytes of documents transferred between nodes",
                "way",
                TransferDirection::ALL,
            )?,
            connected_peers: add_gauge(r, "peers_connected", "Peers that this node is linked to")?,
            rate_limited_targets: add_gauge(
                r,
                "targets_rate_limited",
                "Targets that state a request rate, or did so seconds ago",
            )?,
            leaving_targets: add_gauge(
                r,
                "targets_leaving",
                "Targets that stated in their answers that they leave",
            )?,
            cold_targets: add_gauge(
                r,
                "targets_cold",
                "Targets that stated in health checks that they are cold",
            )?,
            health_checks: add_counter(
                r,
                "health_checks_total",
                "Health checks of targets, while the store was down or a statement kept requests away",
            )?,
            rests: add_counter(
                r,
                "target_rests_total",
                "Answers in which targets asked this node for rest",
            )?,
            malformed: add_counters(
                r,
                "malformed_total",
                "Statements, events and items that were ignored as malformed or out of range",
                "sender",
                Sender::ALL,
            )?,
            quarantined_parts: add_gauge(
                r,
                "parts_quarantined",
                "Requests and combinations of prompt parts that are refused, since targets crashed under them",
            )?,
            part_crashes: add_counter(
                r,
                "part_crashes_total",
                "Crashes of engines that this node counted against the parts of a prompt",
            )?,
            rate_limit_waits: add_counter(
                r,
                "rate_limit_waits_total",
                "Decisions that found all targets at the request rate that they state",
            )?,
            zone_doubts: add_counter(
                r,
                "zone_doubts_total",
                "Zones put in doubt, because several of their targets failed together",
            )?,
            links_down: add_gauge(
                r,
                "links_down",
                "Targets that peers reach and this node doesn't",
            )?,
            relays: add_counters(
                r,
                "relays_total",
                "Connections to targets that peers were asked for",
                "result",
                Relay::ALL,
            )?,
            relayed_connections: add_gauge(
                r,
                "relayed_connections",
                "Connections to targets that this node relays for peers",
            )?,
            relayed_bytes: add_counter(
                r,
                "relayed_bytes_total",
                "Bytes that this node relayed for peers",
            )?,
            slow_targets: add_gauge(
                r,
                "targets_slow",
                "Owned targets that were found to be slower than the others of their service",
            )?,
            limited_targets: add_gauge(
                r,
                "targets_limited",
                "Owned targets that were found to take fewer requests than they have slots",
            )?,
            held_bytes: add_gauge(r, "held_bytes", "Bytes held for callers and targets")?,
            closed_holders: add_counter(
                r,
                "closed_holders_total",
                "Callers' connections closed because they held most when too much was held",
            )?,
            stop_interruptions: add_counter(
                r,
                "stop_interruptions_total",
                "Requests that were in flight when the grace period of a planned stop ended",
            )?,
            registry,
        })
    }

    /// Renders all series in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

/// A guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(pub(crate) IntGauge);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}
