//! What a node gives to its peers: words of the store's items, and the pieces
//! of large values.

use crate::core::Core;
use crate::dialect::Dialect;
use crate::items::Word;
use crate::piece::{self, Cut};
use crate::reply::{self, Pieces, Reply};
use hickory_policy::spread::{Busy, Recipients, Ticket, UploadMeter};
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
pub(crate) const WORDS_PATH: &str = "/words";

/// Where peers ask for pieces.
pub(crate) const PIECES_PATH: &str = "/pieces";

/// Bytes of words in one answer: it has to end in time also on a link that others
/// use. The rest follows in the next one.
const WORDS_MOST: size::Bytes = size::Bytes(24 << 10);

/// The same while the link is busy with documents.
const WORDS_BUSY: size::Bytes = size::Bytes(2 << 10);

/// How long the end of an answer may be on its way after the connection took it.
const LAST_BYTES: Duration = Duration::from_millis(50);

/// What this node gives, and gave.
#[derive(Debug, Default)]
pub(crate) struct Giving {
    meter: UploadMeter,
    /// Those that were given all pieces of a value of this revision.
    revision: Revision,
    given: Recipients<SocketAddr>,
}

/// The answer to a peer that is turned away.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct TurnedAway {
    /// When to ask again.
    pub(crate) wait_ms: u64,
    /// Who else has what was asked for.
    pub(crate) others: Vec<SocketAddr>,
}

/// Pieces that a peer asks for.
struct Ask<'a> {
    key: &'a str,
    pieces: Vec<piece::Id>,
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
        WORDS_PATH => answer_words(core, query),
        PIECES_PATH => answer_pieces(core, query),
        _ => Ok(reply::plain(StatusCode::NOT_FOUND, "no such path")),
    };
    answered.unwrap_or_else(|error| reply::plain(StatusCode::BAD_REQUEST, &error))
}

/// The words after the revision that is named, of one prefix or of both. A node
/// whose link is busy gives the first few: the word that a target leaves must not
/// wait behind a document, however many there are.
fn answer_words<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    query: &str,
) -> Result<Response<Reply>, String> {
    let is_busy = core.giving().meter.is_busy(core.now(), core.settings.link());
    let most = if is_busy { WORDS_BUSY } else { WORDS_MOST };
    let mut words: Vec<Word> = Vec::new();
    for (name, prefix) in [("operator", D::OPERATOR_PREFIX), ("targets", D::TARGET_PREFIX)] {
        if find(query, name).is_some() {
            let after = Revision(read(query, name)?);
            words.extend(core.items().words_after(prefix, after, most));
        }
    }
    let body = serde_json::to_string(&words).map_err(|error| error.to_string())?;
    core.metrics.fetch(Fetch::Given);
    core.metrics.fetch_bytes(Way::Given, size::Bytes(body.len() as u64));
    Ok(reply::json(StatusCode::OK, body))
}

/// The pieces that are named, as far as this node has them.
fn answer_pieces<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    query: &str,
) -> Result<Response<Reply>, String> {
    let ask = read_ask(query)?;
    let Some((revision, cut)) = find_cut(core, ask.key) else {
        return Ok(reply::plain(StatusCode::NOT_FOUND, "no such value"));
    };
    let pieces = Pieces::of(cut, &ask.pieces);
    let size = *pieces.unsent().borrow();
    let admitted = admit(core, revision, size);
    let ticket = match admitted {
        Ok(ticket) => ticket,
        Err((busy, others)) => return Ok(turn_away(core, busy, others)),
    };
    core.metrics.fetch(Fetch::Given);
    core.metrics.fetch_bytes(Way::Given, size);
    let transfer = Transfer { ticket, revision, to: ask.from, pieces: pieces.len(), size };
    tokio::spawn(follow_transfer(core.clone(), transfer, pieces.unsent()));
    Ok(Response::new(Reply::Pieces(pieces)))
}

/// Takes on an answer, or says when to ask again, and whom else.
fn admit<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    revision: Revision,
    size: size::Bytes,
) -> Result<Ticket, (Busy, Vec<SocketAddr>)> {
    let now = core.now();
    let mut giving = core.giving();
    if giving.revision != revision {
        giving.revision = revision;
        giving.given.clear();
    }
    let admitted = giving.meter.admit(now, size, core.settings.link());
    admitted.map_err(|busy| (busy, giving.given.recent(now)))
}

/// An answer with pieces, on its way.
struct Transfer {
    ticket: Ticket,
    revision: Revision,
    to: SocketAddr,
    pieces: usize,
    size: size::Bytes,
}

/// Tells the meter how far an answer is, until it ends.
async fn follow_transfer<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    transfer: Transfer,
    mut unsent: watch::Receiver<size::Bytes>,
) {
    let began = core.now();
    while unsent.changed().await.is_ok() {
        let left = *unsent.borrow_and_update();
        core.giving().meter.record_remaining(core.now(), transfer.ticket, left);
    }
    let now = core.now();
    let left = *unsent.borrow();
    let mut giving = core.giving();
    giving.meter.finish(transfer.ticket);
    if left == size::Bytes(0) && giving.revision == transfer.revision {
        giving.given.record(now + LAST_BYTES, transfer.to);
    }
    drop(giving);
    log::info!(
        peer:% = transfer.to,
        pieces = transfer.pieces,
        bytes = transfer.size.0,
        unsent = left.0,
        took_ms = now.saturating_duration_since(began).as_millis() as u64;
        "pieces given to a peer"
    );
}

fn find_cut<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    key: &str,
) -> Option<(Revision, Arc<Cut>)> {
    let items = core.items();
    let item = items.get(key)?;
    Some((item.revision, item.cut.clone()?))
}

fn turn_away<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    busy: Busy,
    others: Vec<SocketAddr>,
) -> Response<Reply> {
    core.metrics.fetch(Fetch::TurnedAway);
    let turned_away = TurnedAway { wait_ms: busy.wait.as_millis() as u64, others };
    match serde_json::to_string(&turned_away) {
        Ok(body) => reply::json(StatusCode::SERVICE_UNAVAILABLE, body),
        Err(error) => reply::plain(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
    }
}

fn read_ask(query: &str) -> Result<Ask<'_>, String> {
    let pieces = find(query, "of").ok_or("query of: missing")?;
    let pieces: Result<Vec<piece::Id>, _> = pieces.split(',').map(str::parse).collect();
    Ok(Ask {
        key: find(query, "key").ok_or("query key: missing")?,
        pieces: pieces.map_err(|error| format!("query of: {error}"))?,
        from: read(query, "from")?,
    })
}

fn find<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

fn read<T: FromStr<Err: std::fmt::Display>>(query: &str, name: &str) -> Result<T, String> {
    let value = find(query, name).ok_or_else(|| format!("query {name}: missing"))?;
    value.parse().map_err(|error| format!("query {name}: {error}"))
}
