//! Serves the store's items to peers: updates, and the chunks of large values.

use crate::chunk::{self, ChunkedValue};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::items::Update;
use crate::reply::{self, Chunks, Reply};
use hickory_policy::spread::{Busy, Recipients, Ticket, UploadMeter};
use hickory_store::store::{Revision, Store};
use hickory_telemetry::label::{Fetch, TransferDirection};
use hickory_unit::clock::Clock;
use hickory_unit::size;
use http::{Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The path at which peers request updates.
pub(crate) const UPDATES_PATH: &str = "/words";

/// The query parameter with the newest revision at which a peer had all items of the keyspace.
pub(crate) const COMPLETE_PARAMETER: &str = "complete";

/// The path at which peers request chunks.
pub(crate) const CHUNKS_PATH: &str = "/pieces";

/// The maximum size of the updates in one answer, so that it completes in time on a link
/// with other traffic. The peer requests the remaining updates afterwards.
const MAX_UPDATE_BYTES: size::Bytes = size::Bytes(24 << 10);

/// The same limit while the link is busy with large values.
const MAX_UPDATE_BYTES_WHEN_BUSY: size::Bytes = size::Bytes(2 << 10);

/// How long the end of an answer may still be in transit after the connection has accepted
/// its last bytes.
const DELIVERY_MARGIN: Duration = Duration::from_millis(50);

/// What this node is sending to peers, and which peers already have the newest value.
#[derive(Debug, Default)]
pub(crate) struct Transfers {
    meter: UploadMeter,
    /// The revision of the value that `recipients` have received completely.
    revision: Revision,
    recipients: Recipients<SocketAddr>,
}

/// The answer to a peer whose request is rejected because the link is busy.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct BusyReply {
    /// The time after which the peer may ask again.
    pub(crate) wait_ms: u64,
    /// Other nodes that have the requested value.
    pub(crate) others: Vec<SocketAddr>,
}

/// A peer's request for chunks of a value.
struct ChunkRequest<'a> {
    key: &'a str,
    chunks: Vec<chunk::Id>,
    /// The address at which the peer serves the chunks to others.
    from: SocketAddr,
}

/// Answers a request of a peer.
pub(crate) fn answer<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    uri: &Uri,
) -> Response<Reply> {
    let query = uri.query().unwrap_or_default();
    let answer = match uri.path() {
        UPDATES_PATH => answer_updates(core, query),
        CHUNKS_PATH => answer_chunks(core, query),
        _ => Ok(reply::plain(StatusCode::NOT_FOUND, "no such path")),
    };
    answer.unwrap_or_else(|error| reply::plain(StatusCode::BAD_REQUEST, &error))
}

/// Answers with the updates after a revision, for one prefix or both. While the link is
/// busy the answer holds only the first few, so that the update of a draining target
/// doesn't wait behind a large value.
fn answer_updates<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    query: &str,
) -> Result<Response<Reply>, String> {
    let is_busy = core.transfers().meter.is_busy(core.now(), core.settings.link_rate_or_default());
    let max_bytes = if is_busy { MAX_UPDATE_BYTES_WHEN_BUSY } else { MAX_UPDATE_BYTES };
    // Older versions state nothing and don't know updates without values.
    let complete = match find_parameter(query, COMPLETE_PARAMETER) {
        Some(_) => Some(parse_revision(query, COMPLETE_PARAMETER)?),
        None => None,
    };
    let mut updates: Vec<Update> = Vec::new();
    for (name, prefix) in [("operator", D::OPERATOR_PREFIX), ("targets", D::TARGET_PREFIX)] {
        if find_parameter(query, name).is_some() {
            let after = parse_revision(query, name)?;
            let items = core.items();
            updates.extend(match complete {
                Some(complete) => items.changes_after(prefix, after, complete, max_bytes),
                None => items.updates_after(prefix, after, max_bytes),
            });
        }
    }
    let body = serde_json::to_string(&updates).map_err(|error| error.to_string())?;
    core.metrics.count_fetch(Fetch::Sent);
    core.metrics.count_fetch_bytes(TransferDirection::Sent, size::Bytes(body.len() as u64));
    Ok(reply::json(StatusCode::OK, body))
}

fn parse_revision(query: &str, name: &str) -> Result<Revision, String> {
    let encoded: u128 = parse_parameter(query, name)?;
    Revision::try_from(encoded).map_err(|error| format!("{name}: {error}"))
}

/// Answers with those of the requested chunks that this node has.
fn answer_chunks<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    query: &str,
) -> Result<Response<Reply>, String> {
    let request = parse_chunk_request(query)?;
    let Some((revision, value)) = find_chunked_value(core, request.key) else {
        return Ok(reply::plain(StatusCode::NOT_FOUND, "no such value"));
    };
    let chunks = Chunks::new(value, &request.chunks);
    let size = *chunks.unsent().borrow();
    let admitted = admit(core, revision, size);
    let ticket = match admitted {
        Ok(ticket) => ticket,
        Err((busy, others)) => return Ok(busy_response(core, busy, others)),
    };
    core.metrics.count_fetch(Fetch::Sent);
    core.metrics.count_fetch_bytes(TransferDirection::Sent, size);
    let transfer = Transfer { ticket, revision, to: request.from, chunk_count: chunks.len(), size };
    tokio::spawn(track_transfer(core.clone(), transfer, chunks.unsent()));
    Ok(Response::new(Reply::Chunks(chunks)))
}

/// Admits an answer, or returns when to ask again and which other nodes have the value.
fn admit<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    revision: Revision,
    size: size::Bytes,
) -> Result<Ticket, (Busy, Vec<SocketAddr>)> {
    let now = core.now();
    let mut transfers = core.transfers();
    if transfers.revision != revision {
        transfers.revision = revision;
        transfers.recipients.clear();
    }
    let admitted = transfers.meter.admit(now, size, core.settings.link_rate_or_default());
    admitted.map_err(|busy| (busy, transfers.recipients.recent(now)))
}

/// An answer with chunks that is being sent.
struct Transfer {
    ticket: Ticket,
    revision: Revision,
    to: SocketAddr,
    chunk_count: usize,
    size: size::Bytes,
}

/// Reports the progress of an answer to the meter until the answer ends.
async fn track_transfer<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    transfer: Transfer,
    mut unsent: watch::Receiver<size::Bytes>,
) {
    let started_at = core.now();
    while unsent.changed().await.is_ok() {
        let unsent_bytes = *unsent.borrow_and_update();
        core.transfers().meter.record_remaining(core.now(), transfer.ticket, unsent_bytes);
    }
    let now = core.now();
    let unsent_bytes = *unsent.borrow();
    let mut transfers = core.transfers();
    transfers.meter.finish(transfer.ticket);
    if unsent_bytes == size::Bytes(0) && transfers.revision == transfer.revision {
        transfers.recipients.record(now + DELIVERY_MARGIN, transfer.to);
    }
    drop(transfers);
    log::info!(
        peer:% = transfer.to,
        pieces = transfer.chunk_count,
        bytes = transfer.size.0,
        unsent = unsent_bytes.0,
        took_ms = now.saturating_duration_since(started_at).as_millis() as u64;
        "pieces given to a peer"
    );
}

fn find_chunked_value<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    key: &str,
) -> Option<(Revision, Arc<ChunkedValue>)> {
    let items = core.items();
    let item = items.get(key)?;
    Some((item.revision, item.chunks.clone()?))
}

fn busy_response<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    busy: Busy,
    others: Vec<SocketAddr>,
) -> Response<Reply> {
    core.metrics.count_fetch(Fetch::Rejected);
    let busy_reply = BusyReply { wait_ms: busy.wait.as_millis() as u64, others };
    match serde_json::to_string(&busy_reply) {
        Ok(body) => reply::json(StatusCode::SERVICE_UNAVAILABLE, body),
        Err(error) => reply::plain(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

fn parse_chunk_request(query: &str) -> Result<ChunkRequest<'_>, String> {
    let chunks = find_parameter(query, "of").ok_or("query of: missing")?;
    let chunks: Result<Vec<chunk::Id>, _> = chunks.split(',').map(str::parse).collect();
    Ok(ChunkRequest {
        key: find_parameter(query, "key").ok_or("query key: missing")?,
        chunks: chunks.map_err(|error| format!("query of: {error}"))?,
        from: parse_parameter(query, "from")?,
    })
}

fn find_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn parse_parameter<T: FromStr<Err: std::fmt::Display>>(
    query: &str,
    name: &str,
) -> Result<T, String> {
    let value = find_parameter(query, name).ok_or_else(|| format!("query {name}: missing"))?;
    value.parse().map_err(|error| format!("query {name}: {error}"))
}
