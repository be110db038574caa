//! Updates of the metrics.

use crate::label::{
    Call, Claim, Datagram, Decider, Fetch, Length, Order, Orphan, Outcome, Ownership, Permit,
    Relay, Sender, TokenDirection, TransferDirection, Work,
};
use crate::metrics::{InFlightGuard, Metrics};
use hickory_policy::refuse::{Ran, Reason, RetryReason};
use hickory_store::store::Era;
use hickory_unit::{id, size};
use prometheus::IntCounter;
use std::time::Duration;

impl Metrics {
    /// Counts a refusal.
    pub fn count_refusal(&self, reason: Reason, ran: Ran) {
        self.refusals[reason as usize][ran as usize].inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries[reason as usize].inc();
    }

    /// Counts an admitted request, which is in flight until the guard is dropped.
    pub fn begin_request(&self, work: Work) -> InFlightGuard {
        self.requests[work as usize].inc();
        let gauge = self.in_flight[work as usize].clone();
        gauge.inc();
        InFlightGuard(gauge)
    }

    /// Records the time to the first token of a stream.
    pub fn observe_first_token(&self, prompt: size::Tokens, time: Duration) {
        self.first_token_time[Length::of(prompt) as usize].observe(time.as_secs_f64());
    }

    /// Records the time to the end of a complete answer.
    pub fn observe_answer(&self, work: Work, time: Duration) {
        self.answer_time[work as usize].observe(time.as_secs_f64());
    }

    /// Records the time between requesting a permit and receiving it.
    pub fn observe_permit_wait(&self, time: Duration) {
        self.permit_wait.observe(time.as_secs_f64());
    }

    /// Counts tokens.
    pub fn count_tokens(&self, direction: TokenDirection, tokens: size::Tokens) {
        self.tokens[direction as usize].inc_by(tokens.0);
    }

    /// Counts a call to the platform and records its duration.
    pub fn record_platform_call(&self, call: Call, result: Outcome, time: Duration) {
        self.platform_calls[call as usize][result as usize].inc();
        // A watch blocks until something changes, so its duration is not a latency.
        if call != Call::Watch {
            self.platform_call_time[call as usize].observe(time.as_secs_f64());
        }
    }

    /// Counts a change of a target's ownership.
    pub fn count_ownership_change(&self, change: Ownership) {
        self.ownership_changes[change as usize].inc();
    }

    /// Sets the number of targets that this node owns.
    pub fn set_owned_targets(&self, targets: usize) {
        self.owned_targets.set(targets as i64);
    }

    /// Counts an answer to a permit request.
    pub fn count_permit(&self, answer: Permit) {
        self.permits[answer as usize].inc();
    }

    /// Counts an orphaned resource that was released.
    pub fn count_orphan(&self, kind: Orphan) {
        self.orphans[kind as usize].inc();
    }

    /// Counts a claim of a call that runs at most once.
    pub fn count_claim(&self, result: Claim) {
        self.claims[result as usize].inc();
    }

    /// Counts an order to an engine.
    pub fn count_order(&self, result: Order) {
        self.orders[result as usize].inc();
    }

    /// Counts a request that was quarantined.
    pub fn count_quarantine(&self) {
        self.quarantines.inc();
    }

    /// Sets the era of the store.
    pub fn set_store_era(&self, era: Era) {
        self.store_era.set(era.number().into());
    }

    /// Sets the number of request contents under suspicion.
    pub fn set_suspects(&self, count: usize) {
        self.suspects.set(count as i64);
    }

    /// Counts a target that restarted as a new process.
    pub fn count_target_restart(&self) {
        self.target_restarts.inc();
    }

    /// Counts a target that stopped responding.
    pub fn count_target_silence(&self) {
        self.target_silences.inc();
    }

    /// Sets the version of the active configuration.
    pub fn set_configuration_version(&self, version: id::Release) {
        self.configuration_version.set(version.0 as i64);
    }

    /// Records the time between the first notice of a newer configuration and its
    /// activation.
    pub fn observe_configuration_delay(&self, time: Duration) {
        self.configuration_delay.observe(time.as_secs_f64());
    }

    /// Counts a document transfer between nodes, by its result.
    pub fn count_fetch(&self, result: Fetch) {
        self.fetches[result as usize].inc();
    }

    /// Counts the bytes of a document transfer between nodes.
    pub fn count_fetch_bytes(&self, direction: TransferDirection, bytes: size::Bytes) {
        self.fetch_bytes[direction as usize].inc_by(bytes.0);
    }

    /// Counts a placed request, by the node that placed it.
    pub fn count_placement(&self, decider: Decider) {
        self.placements[decider as usize].inc();
    }

    /// Counts a datagram sent to another node.
    pub fn count_datagram(&self, content: Datagram, bytes: size::Bytes) {
        self.datagrams[content as usize].inc();
        self.datagram_bytes[content as usize].inc_by(bytes.0);
    }

    /// Returns the bytes of datagrams with this content sent so far.
    pub fn datagram_bytes(&self, content: Datagram) -> size::Bytes {
        size::Bytes(self.datagram_bytes[content as usize].get())
    }

    /// Returns the bytes of documents transferred between nodes so far.
    pub fn fetch_bytes(&self, direction: TransferDirection) -> size::Bytes {
        size::Bytes(self.fetch_bytes[direction as usize].get())
    }

    /// Returns the number of calls to the platform so far.
    pub fn platform_calls(&self) -> u64 {
        self.platform_calls.iter().flatten().map(IntCounter::get).sum()
    }

    /// Sets the number of peers that this node is connected to.
    pub fn set_connected_peers(&self, connected: usize) {
        self.connected_peers.set(connected as i64);
    }

    /// Sets the number of targets that stated that they are cold.
    pub fn set_cold_targets(&self, targets: usize) {
        self.cold_targets.set(targets as i64);
    }

    /// Counts a health check of a target.
    pub fn count_health_check(&self) {
        self.health_checks.inc();
    }

    /// Sets the number of targets that stated that they leave.
    pub fn set_leaving_targets(&self, targets: usize) {
        self.leaving_targets.set(targets as i64);
    }

    /// Counts an answer in which a target asked for rest.
    pub fn count_rest(&self) {
        self.rests.inc();
    }

    /// Counts what was ignored as malformed or out of range.
    pub fn count_malformed(&self, sender: Sender, count: usize) {
        self.malformed[sender as usize].inc_by(count as u64);
    }

    /// Sets the number of requests and of combinations of prompt parts that are quarantined.
    pub fn set_quarantined_parts(&self, quarantines: usize) {
        self.quarantined_parts.set(quarantines as i64);
    }

    /// Counts a crash of an engine under parts of a prompt.
    pub fn count_part_crash(&self) {
        self.part_crashes.inc();
    }

    /// Sets the number of targets whose request rate is limited.
    pub fn set_rate_limited_targets(&self, targets: usize) {
        self.rate_limited_targets.set(targets as i64);
    }

    /// Sets the number of owned targets that are slower than the others of their service.
    pub fn set_slow_targets(&self, targets: usize) {
        self.slow_targets.set(targets as i64);
    }

    /// Sets the number of owned targets whose learned limit is below their number of slots.
    pub fn set_limited_targets(&self, targets: usize) {
        self.limited_targets.set(targets as i64);
    }

    /// Counts a decision that found all targets at the request rate that they state.
    pub fn count_rate_limit_wait(&self) {
        self.rate_limit_waits.inc();
    }

    /// Counts a zone put in doubt.
    pub fn count_zone_doubt(&self) {
        self.zone_doubts.inc();
    }

    /// Sets the number of own links to targets that are down.
    pub fn set_links_down(&self, links: usize) {
        self.links_down.set(links as i64);
    }

    /// Counts a connection to a target that a peer was asked for.
    pub fn count_relay(&self, result: Relay) {
        self.relays[result as usize].inc();
    }

    /// Counts a connection as relayed for a peer until the guard is dropped.
    pub fn begin_relay(&self) -> InFlightGuard {
        self.relayed_connections.inc();
        InFlightGuard(self.relayed_connections.clone())
    }

    /// Counts bytes relayed for a peer.
    pub fn count_relayed_bytes(&self, bytes: size::Bytes) {
        self.relayed_bytes.inc_by(bytes.0);
    }

    /// Sets the number of bytes that the node holds for callers and targets.
    pub fn set_held_bytes(&self, bytes: size::Bytes) {
        self.held_bytes.set(bytes.0 as i64);
    }

    /// Counts a connection that is closed because it holds most.
    pub fn count_closed_holder(&self) {
        self.closed_holders.inc();
    }

    /// Counts a request that was in flight when the grace period of a planned stop ended.
    pub fn count_stop_interruption(&self) {
        self.stop_interruptions.inc();
    }

    /// Returns the number of bytes that the node holds for callers and targets.
    pub fn held_bytes(&self) -> size::Bytes {
        size::Bytes(self.held_bytes.get() as u64)
    }
}
