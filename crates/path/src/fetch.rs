//! Fetches updates of the store's items from peers that have a newer revision.

use crate::chunk::{Assembler, Manifest};
use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::items::Update;
use crate::peer_state::Keyspace;
use crate::store_watch;
use crate::supervisor;
use crate::sync_server::{BusyReply, CHUNKS_PATH, COMPLETE_PARAMETER, UPDATES_PATH};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use hickory_client::{Call, Exchange, Reuse};
use hickory_policy::member::State;
use hickory_policy::spread::{Busy, Choice, MAX_SILENCE, MAX_TRANSFER_TIME, Sources};
use hickory_store::store::{Revision, Store};
use hickory_telemetry::label::{Fetch, TransferDirection};
use hickory_unit::clock::Clock;
use hickory_unit::size;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// The interval at which the node checks whether a peer has a newer revision.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a node that watches the store itself waits before it fetches from a peer: a
/// working watch delivers the same update within milliseconds.
const WATCH_HEAD_START: Duration = Duration::from_millis(150);

/// The maximum number of chunks per request; their ids are part of the request's URI.
const MAX_CHUNKS_PER_REQUEST: usize = 256;

/// The bounds of the retry time that a busy peer may ask for.
const RETRY_WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));

impl Keyspace {
    fn prefix<D: Dialect>(self) -> &'static str {
        match self {
            Self::Operator => D::OPERATOR_PREFIX,
            Self::Targets => D::TARGET_PREFIX,
        }
    }

    /// Returns the path that requests the updates of this keyspace after a revision. Older
    /// nodes require a revision for both keyspaces; [`u64::MAX`] selects no updates.
    fn updates_path(self, after: Revision, complete: Revision) -> String {
        let (operator, targets): (u128, u128) = match self {
            Self::Operator => (after.into(), u128::from(u64::MAX)),
            Self::Targets => (u128::from(u64::MAX), after.into()),
        };
        let complete = u128::from(complete);
        format!(
            "{UPDATES_PATH}?operator={operator}&targets={targets}&{COMPLETE_PARAMETER}={complete}"
        )
    }
}

/// The result of a request to a peer.
enum Fetched<T> {
    /// Everything requested that the peer has.
    Complete(T),
    /// The peer is busy, with the addresses of other nodes that have the data.
    Busy(Busy, Vec<SocketAddr>),
    /// The request failed, or the answer was incomplete.
    Failed(String),
}

/// Keeps one keyspace up to date with the peers.
struct Fetcher<D: Dialect, S: Store, C: Clock> {
    core: Arc<Core<D, S, C>>,
    keyspace: Keyspace,
    /// When a peer was first seen to be ahead.
    behind_since: Option<Instant>,
    sources: Sources<SocketAddr>,
    /// The key and the chunks of a value that could not be completed yet.
    partial: Option<(CompactString, Assembler)>,
}

/// Starts one fetcher per keyspace, so that the update of a draining target doesn't wait
/// behind a large configuration.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(core: &Arc<Core<D, S, C>>) {
    for keyspace in [Keyspace::Operator, Keyspace::Targets] {
        let mut fetcher = Fetcher {
            core: core.clone(),
            keyspace,
            behind_since: None,
            sources: Sources::default(),
            partial: None,
        };
        supervisor::spawn(core, "item fetcher", async move { fetcher.run().await });
    }
}

impl<D: Dialect, S: Store, C: Clock> Fetcher<D, S, C> {
    async fn run(&mut self) {
        while self.core.stage() != Stage::Closed {
            tokio::time::sleep(POLL_INTERVAL).await;
            let now = self.core.now();
            let ahead = self.peers_ahead(self.known_revision());
            if ahead.is_empty() {
                self.note_complete();
                self.behind_since = None;
                self.sources = Sources::default();
                continue;
            }
            let since = *self.behind_since.get_or_insert(now);
            let is_watching =
                self.core.view().configuration.is_some() && store_watch::is_watcher(&self.core);
            if is_watching && now.saturating_duration_since(since) < WATCH_HEAD_START {
                continue;
            }
            self.request_updates(&ahead).await;
        }
    }

    /// Returns the newest revision that this node has.
    fn known_revision(&self) -> Revision {
        self.core.items().newest_revision(self.keyspace.prefix::<D>())
    }

    /// Records that no peer is known to have more than this node.
    fn note_complete(&self) {
        let (prefix, revision) = (self.keyspace.prefix::<D>(), self.known_revision());
        if self.core.count_peers() > 0 {
            self.core.items().note_complete(prefix, revision);
        }
    }

    /// Returns the addresses of the live peers that have a revision after `after`.
    fn peers_ahead(&self, after: Revision) -> Vec<SocketAddr> {
        let ahead = self.core.peer_states().peers_ahead(self.keyspace, after);
        let membership = self.core.membership();
        let records = ahead.iter().filter_map(|node| membership.get(node));
        let alive = records.filter(|record| record.state == State::Alive);
        alive.map(|record| record.contact.sync_address).collect()
    }

    /// Requests updates from one of the peers in `ahead` and applies them.
    async fn request_updates(&mut self, ahead: &[SocketAddr]) {
        let now = self.core.now();
        let peer = match self.sources.choose(now, ahead, rand::random()) {
            Choice::Fetch(peer) => peer,
            Choice::Wait(_) | Choice::NoSource => return,
        };
        let complete = self.core.items().complete(self.keyspace.prefix::<D>());
        let path = self.keyspace.updates_path(self.known_revision(), complete);
        let answer_timeout = self.sources.response_timeout(peer, ahead);
        match fetch_updates(&self.core, peer, &path, answer_timeout).await {
            Fetched::Complete(updates) => {
                self.sources.record_response();
                let may_have_lapsed = self.is_store_unreachable_at(peer);
                self.apply_updates(updates, may_have_lapsed).await;
            }
            Fetched::Busy(busy, others) => self.note_busy(peer, busy, &others),
            Fetched::Failed(error) => self.note_failed(peer, now, &error),
        }
    }

    /// Returns whether entries may have lapsed because the peer at an address can't reach
    /// the store.
    fn is_store_unreachable_at(&self, at: SocketAddr) -> bool {
        let membership = self.core.membership();
        membership.alive().any(|r| r.contact.sync_address == at && r.contact.is_store_unreachable)
    }

    /// Applies updates in order of revision. Stops at the first value that can't be
    /// fetched: if later updates were applied, the node's newest revision would hide the
    /// missing one.
    async fn apply_updates(&mut self, updates: Vec<Update>, may_have_lapsed: bool) {
        let mut ready = Vec::new();
        for update in updates {
            let Some(manifest) = update.manifest else {
                ready.push(update);
                continue;
            };
            self.apply(std::mem::take(&mut ready), may_have_lapsed);
            let Some(value) = self.fetch_value(&update.key, update.revision, manifest).await else {
                return;
            };
            ready.push(Update::full(update.key, update.revision, Some(value)));
        }
        self.apply(ready, may_have_lapsed);
    }

    fn apply(&self, updates: Vec<Update>, may_have_lapsed: bool) {
        if updates.is_empty() {
            return;
        }
        log::info!(words = updates.len(); "updates applied from a peer");
        let now = self.core.now();
        self.core.update_items(may_have_lapsed, |items| {
            let prefix = self.keyspace.prefix::<D>();
            let mut is_changed = false;
            for update in updates {
                if !items.check_known(prefix, &update) {
                    break;
                }
                is_changed |= items.apply(now, update);
            }
            is_changed
        });
    }

    /// Fetches the chunks of a value from the peers that have it. Returns `None` if the
    /// value is unavailable because the peers have a newer one or are gone.
    async fn fetch_value(
        &mut self,
        key: &CompactString,
        revision: Revision,
        manifest: Manifest,
    ) -> Option<String> {
        let started_at = self.core.now();
        let mut assembler = self.start_assembly(key, manifest);
        let chunk_count = assembler.missing().len();
        // The store's watch may deliver the value in the meantime.
        while self.known_revision() < revision && self.core.stage() != Stage::Closed {
            if assembler.missing().is_empty() {
                return self.finish_assembly(key, &assembler, chunk_count, started_at);
            }
            let now = self.core.now();
            let holders = self.peers_ahead(Revision(revision.0.saturating_sub(1)));
            match self.sources.choose(now, &holders, rand::random()) {
                Choice::Fetch(peer) => {
                    let answer_timeout = self.sources.response_timeout(peer, &holders);
                    if !self.request_chunks(peer, key, &mut assembler, answer_timeout).await {
                        break;
                    }
                }
                Choice::Wait(time) => tokio::time::sleep(time.min(POLL_INTERVAL)).await,
                Choice::NoSource => break,
            }
        }
        self.partial = Some((key.clone(), assembler));
        None
    }

    fn start_assembly(&mut self, key: &CompactString, manifest: Manifest) -> Assembler {
        let partial = self.partial.take().filter(|(partial_key, _)| partial_key == key);
        let items = self.core.items();
        let older = items.get(key).and_then(|item| item.chunks.as_deref());
        match partial {
            Some((_, assembler)) => assembler.switch_to(manifest, older),
            None => Assembler::new(manifest, older),
        }
    }

    fn finish_assembly(
        &self,
        key: &CompactString,
        assembler: &Assembler,
        chunk_count: usize,
        started_at: Instant,
    ) -> Option<String> {
        let took_ms = self.core.now().saturating_duration_since(started_at).as_millis() as u64;
        match assembler.assemble() {
            Ok(value) => {
                log::info!(key = key.as_str(), pieces = chunk_count, bytes = value.len(), took_ms;
                    "value gathered from peers");
                Some(value)
            }
            Err(error) => {
                log::error!(key = key.as_str(), pieces = chunk_count, took_ms;
                    "value from peers discarded: {error}");
                None
            }
        }
    }

    /// Requests missing chunks from a peer. Returns whether to continue with this manifest:
    /// a peer that answers with none of the chunks has a newer value.
    async fn request_chunks(
        &mut self,
        peer: SocketAddr,
        key: &str,
        assembler: &mut Assembler,
        answer_timeout: Duration,
    ) -> bool {
        let now = self.core.now();
        match fetch_chunks(&self.core, peer, key, assembler, answer_timeout).await {
            Fetched::Complete(added) => {
                self.sources.record_response();
                added > 0
            }
            Fetched::Busy(busy, others) => {
                self.note_busy(peer, busy, &others);
                true
            }
            Fetched::Failed(error) => {
                self.note_failed(peer, now, &error);
                true
            }
        }
    }

    fn note_busy(&mut self, peer: SocketAddr, busy: Busy, others: &[SocketAddr]) {
        self.core.metrics.count_fetch(Fetch::Busy);
        let others: Vec<SocketAddr> =
            others.iter().filter(|other| **other != self.core.settings.sync).copied().collect();
        self.sources.record_busy(self.core.now(), peer, busy, &others, rand::random());
    }

    fn note_failed(&mut self, peer: SocketAddr, started_at: Instant, error: &str) {
        let now = self.core.now();
        let took_ms = now.saturating_duration_since(started_at).as_millis() as u64;
        let behind_ms = self.core.lag().map_or(0, |lag| lag.time.as_millis() as u64);
        log::warn!(peer:%, took_ms, behind_ms; "peer gave no items: {error}");
        self.core.metrics.count_fetch(Fetch::Failed);
        self.sources.record_failure(now, peer);
    }
}

async fn fetch_updates<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    peer: SocketAddr,
    path: &str,
    answer_timeout: Duration,
) -> Fetched<Vec<Update>> {
    let call = Call { method: Method::GET, path, key: None, body: Bytes::new() };
    let answer = match core.client.exchange(peer, call, answer_timeout).await {
        Ok(answer) => answer,
        Err(error) => return Fetched::Failed(error.to_string()),
    };
    core.metrics
        .count_fetch_bytes(TransferDirection::Received, size::Bytes(answer.body.len() as u64));
    match answer.status {
        StatusCode::OK => match serde_json::from_slice(&answer.body) {
            Ok(updates) => {
                core.metrics.count_fetch(Fetch::Received);
                Fetched::Complete(updates)
            }
            Err(error) => Fetched::Failed(error.to_string()),
        },
        StatusCode::SERVICE_UNAVAILABLE => parse_busy_reply(&answer.body),
        status => Fetched::Failed(format!("status {status}")),
    }
}

fn parse_busy_reply<T>(body: &[u8]) -> Fetched<T> {
    match serde_json::from_slice::<BusyReply>(body) {
        Ok(BusyReply { wait_ms, others }) => {
            let wait =
                Duration::from_millis(wait_ms).clamp(RETRY_WAIT_BOUNDS.0, RETRY_WAIT_BOUNDS.1);
            Fetched::Busy(Busy { wait }, others)
        }
        Err(error) => Fetched::Failed(error.to_string()),
    }
}

/// Requests the missing chunks from a peer. Chunks that arrive before the answer breaks off
/// are kept.
async fn fetch_chunks<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    peer: SocketAddr,
    key: &str,
    assembler: &mut Assembler,
    answer_timeout: Duration,
) -> Fetched<usize> {
    let missing = assembler.missing();
    let requested: Vec<String> =
        missing.iter().take(MAX_CHUNKS_PER_REQUEST).map(ToString::to_string).collect();
    let from = core.settings.sync;
    let path = format!("{CHUNKS_PATH}?key={key}&from={from}&of={}", requested.join(","));
    let request = Request::get(path).header(http::header::HOST, peer.to_string());
    let request = match request.body(Full::default()) {
        Ok(request) => request,
        Err(error) => return Fetched::Failed(error.to_string()),
    };
    let exchange = match timeout(answer_timeout, core.client.send(peer, request, Reuse::Any)).await
    {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(error)) => return Fetched::Failed(error.to_string()),
        Err(_) => return Fetched::Failed("no answer within the timeout".to_owned()),
    };
    match exchange.head.status {
        StatusCode::OK => read_chunks(core, exchange, assembler).await,
        StatusCode::SERVICE_UNAVAILABLE => read_busy_reply(exchange).await,
        // The peer no longer has the value, or has one that is small enough to be sent
        // inline.
        StatusCode::NOT_FOUND => Fetched::Complete(0),
        status => Fetched::Failed(format!("status {status}")),
    }
}

/// The bound of a busy peer's answer, which is a short JSON document.
const MAX_BUSY_REPLY_BYTES: usize = 64 << 10;

/// The bound of one chunk that a peer sends. Chunks have at most 16 KB.
const MAX_CHUNK_BYTES: usize = 64 << 10;

async fn read_busy_reply(mut exchange: Exchange) -> Fetched<usize> {
    let body = Limited::new(&mut exchange.body, MAX_BUSY_REPLY_BYTES).collect();
    match timeout(MAX_SILENCE, body).await {
        Ok(Ok(body)) => {
            exchange.release(None);
            parse_busy_reply(&body.to_bytes())
        }
        Ok(Err(error)) => Fetched::Failed(error.to_string()),
        Err(_) => Fetched::Failed("answer stalled before its end".to_owned()),
    }
}

async fn read_chunks<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    mut exchange: Exchange,
    assembler: &mut Assembler,
) -> Fetched<usize> {
    let mut codec = LengthDelimitedCodec::builder().max_frame_length(MAX_CHUNK_BYTES).new_codec();
    let mut buffer = BytesMut::new();
    let mut added = 0;
    let until = core.now() + MAX_TRANSFER_TIME;
    while core.now() < until {
        let frame = match timeout(MAX_SILENCE, exchange.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Fetched::Failed(error.to_string()),
            Ok(None) => {
                exchange.release(None);
                core.metrics.count_fetch(Fetch::Received);
                return Fetched::Complete(added);
            }
            Err(_) => return Fetched::Failed("answer stalled before its end".to_owned()),
        };
        let Ok(data) = frame.into_data() else { continue };
        core.metrics.count_fetch_bytes(TransferDirection::Received, size::Bytes(data.len() as u64));
        buffer.extend_from_slice(&data);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(chunk)) => added += usize::from(assembler.add(chunk.freeze())),
                Ok(None) => break,
                Err(error) => return Fetched::Failed(error.to_string()),
            }
        }
    }
    // The time limit for one answer has passed. The remaining chunks are requested again,
    // from another peer if there is one.
    Fetched::Busy(Busy { wait: RETRY_WAIT_BOUNDS.1 }, Vec::new())
}
