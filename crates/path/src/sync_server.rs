//! What a node gives to its peers: words of the store's items, and the pieces
//! of large values.

use crate::chunk::{self, ChunkedValue};
use crate::core::Core;
use crate::dialect::Dialect;
use crate::items::Update;
use crate::reply::{self, Pieces, Reply};
use hickory_policy::spread::{Busy, Given, Meter, Ticket};
use hickory_store::store::{Revision, Store};
use hickory_telemetry::label::{Fetch, Way};
use hickory_unit::clock::Clock;
use hickory_unit::size;
use http::{Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Where peers ask for words.
pub(crate) const UPDATES_PATH: &str = "/words";

/// Where peers ask for pieces.
pub(crate) const CHUNKS_PATH: &str = "/pieces";

/// Bytes of words in one answer: it has to end in time also on a link that others
/// use. The rest follows in the next one.
const MAX_UPDATE_BYTES: size::Bytes = size::Bytes(24 << 10);

/// The same while the link is busy with documents.
const MAX_UPDATE_BYTES_WHEN_BUSY: size::Bytes = size::Bytes(2 << 10);

/// How long the end of an answer may be on its way after the connection took it.
const DELIVERY_MARGIN: Duration = Duration::from_millis(50);

/// What this node gives, and gave.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    meter: Meter,
    /// Those that were given all pieces of a value of this revision.
    revision: Revision,
    recipients: Given<SocketAddr>,
}

/// The answer to a peer that is turned away.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct BusyReply {
    /// When to ask again.
    pub(crate) wait_ms: u64,
    /// Who else has what was asked for.
    pub(crate) others: Vec<SocketAddr>,
}

/// Pieces that a peer asks for.
struct ChunkRequest<'a> {
    key: &'a str,
    chunks: Vec<chunk::Id>,
    /// Where it gives them on.
    from: SocketAddr,
}

/// Answers a peer.
pub(crate) fn answer<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    uri: &Uri,
) -> Response<Reply> {
    let query = uri.query().unwrap_or_default();
    let answered = match uri.path() {
        UPDATES_PATH => answer_updates(core, query),
        CHUNKS_PATH => answer_chunks(core, query),
        _ => Ok(reply::plain(StatusCode::NOT_FOUND, "no such path")),
    };
    answered.unwrap_or_else(|error| reply::plain(StatusCode::BAD_REQUEST, &error))
}

/// The words after the revision that is named, of one prefix or of both. A node
/// whose link is busy gives the first few: the word that a target leaves must not
/// wait behind a document, however many there are.
fn answer_updates<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    query: &str,
) -> Result<Response<Reply>, String> {
    let is_busy = core.giving().meter.is_busy(core.now(), core.settings.link());
    let max_bytes = if is_busy { MAX_UPDATE_BYTES_WHEN_BUSY } else { MAX_UPDATE_BYTES };
    let mut updates: Vec<Update> = Vec::new();
    for (name, prefix) in [("operator", D::OPERATOR_PREFIX), ("targets", D::TARGET_PREFIX)] {
        if find_parameter(query, name).is_some() {
            let after = Revision(parse_parameter(query, name)?);
            updates.extend(core.items().updates_after(prefix, after, max_bytes));
        }
    }
    let body = serde_json::to_string(&updates).map_err(|error| error.to_string())?;
    core.metrics.fetch(Fetch::Given);
    core.metrics.fetch_bytes(Way::Given, size::Bytes(body.len() as u64));
    Ok(reply::json(StatusCode::OK, body))
}

/// The pieces that are named, as far as this node has them.
fn answer_chunks<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    query: &str,
) -> Result<Response<Reply>, String> {
    let request = parse_chunk_request(query)?;
    let Some((revision, value)) = find_chunked_value(core, request.key) else {
        return Ok(reply::plain(StatusCode::NOT_FOUND, "no such value"));
    };
    let pieces = Pieces::of(value, &request.chunks);
    let size = *pieces.unsent().borrow();
    let admitted = admit(core, revision, size);
    let ticket = match admitted {
        Ok(ticket) => ticket,
        Err((busy, others)) => return Ok(reply_busy(core, busy, others)),
    };
    core.metrics.fetch(Fetch::Given);
    core.metrics.fetch_bytes(Way::Given, size);
    let transfer = Transfer { ticket, revision, to: request.from, chunk_count: pieces.len(), size };
    tokio::spawn(track_transfer(core.clone(), transfer, pieces.unsent()));
    Ok(Response::new(Reply::Pieces(pieces)))
}

/// Takes on an answer, or says when to ask again, and whom else.
fn admit<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    revision: Revision,
    size: size::Bytes,
) -> Result<Ticket, (Busy, Vec<SocketAddr>)> {
    let now = core.now();
    let mut outbox = core.giving();
    if outbox.revision != revision {
        outbox.revision = revision;
        outbox.recipients.clear();
    }
    let admitted = outbox.meter.admit(now, size, core.settings.link());
    admitted.map_err(|busy| (busy, outbox.recipients.name(now)))
}

/// An answer with pieces, on its way.
struct Transfer {
    ticket: Ticket,
    revision: Revision,
    to: SocketAddr,
    chunk_count: usize,
    size: size::Bytes,
}

/// Tells the meter how far an answer is, until it ends.
async fn track_transfer<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    transfer: Transfer,
    mut unsent: watch::Receiver<size::Bytes>,
) {
    let began = core.now();
    while unsent.changed().await.is_ok() {
        let unsent_bytes = *unsent.borrow_and_update();
        core.giving().meter.note_left(core.now(), transfer.ticket, unsent_bytes);
    }
    let now = core.now();
    let unsent_bytes = *unsent.borrow();
    let mut outbox = core.giving();
    outbox.meter.end(transfer.ticket);
    if unsent_bytes == size::Bytes(0) && outbox.revision == transfer.revision {
        outbox.recipients.note(now + DELIVERY_MARGIN, transfer.to);
    }
    drop(outbox);
    log::info!(
        peer:% = transfer.to,
        pieces = transfer.chunk_count,
        bytes = transfer.size.0,
        unsent = unsent_bytes.0,
        took_ms = now.saturating_duration_since(began).as_millis() as u64;
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

fn reply_busy<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    busy: Busy,
    others: Vec<SocketAddr>,
) -> Response<Reply> {
    core.metrics.fetch(Fetch::TurnedAway);
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
