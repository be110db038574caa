//! Fetching from peers what they know and this node doesn't.

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::give::{PIECES_PATH, TurnedAway, WORDS_PATH};
use crate::gossip::Part;
use crate::items::Word;
use crate::piece::{Gathering, Outline};
use crate::sync;
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use hickory_client::{Call, Exchange, Reuse};
use hickory_policy::member::State;
use hickory_policy::spread::{Busy, Choice, MAX_SILENCE, MAX_TRANSFER_TIME, Sources};
use hickory_store::store::{Revision, Store};
use hickory_telemetry::label::{Fetch, Way};
use hickory_unit::clock::Clock;
use hickory_unit::size;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Between two looks whether a peer knows more.
const LOOK: Duration = Duration::from_millis(50);

/// How long a peer must have known more before it is asked by a node that
/// watches itself: a watch that is well brings the same within milliseconds.
const WATCH_LAG: Duration = Duration::from_millis(150);

/// Pieces asked for at once: their names have to go into the head of a request.
const ASKED_MOST: usize = 256;

/// How long a busy peer may tell this node to wait, whatever it says.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));

impl Part {
    fn prefix<D: Dialect>(self) -> &'static str {
        match self {
            Self::Operator => D::OPERATOR_PREFIX,
            Self::Targets => D::TARGET_PREFIX,
        }
    }

    /// The path at which words of this part after a revision are asked for. A
    /// node of an older version wants both parts named, and has nothing after the
    /// last of all revisions.
    fn name_words(self, after: Revision) -> String {
        let (operator, targets) = match self {
            Self::Operator => (after.0, u64::MAX),
            Self::Targets => (u64::MAX, after.0),
        };
        format!("{WORDS_PATH}?operator={operator}&targets={targets}")
    }
}

/// What came of asking a peer.
enum Answer<T> {
    /// All that it has of what was asked for.
    Whole(T),
    /// It is busy, and names others.
    Busy(Busy, Vec<SocketAddr>),
    /// Nothing, or not all of it.
    Failed(String),
}

/// Follows one part of the items by what peers know.
struct Follow<D: Dialect, S: Store, C: Clock> {
    core: Arc<Core<D, S, C>>,
    part: Part,
    /// Since when some peer has known more.
    behind_since: Option<Instant>,
    givers: Sources<SocketAddr>,
    /// Pieces of a value that could not be completed yet.
    kept: Option<(CompactString, Gathering)>,
}

/// Starts fetching. Each part by itself, so that the word that a target leaves
/// doesn't wait behind a large configuration.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(core: &Arc<Core<D, S, C>>) {
    for part in [Part::Operator, Part::Targets] {
        let mut follow = Follow {
            core: core.clone(),
            part,
            behind_since: None,
            givers: Sources::default(),
            kept: None,
        };
        tokio::spawn(async move { follow.run().await });
    }
}

impl<D: Dialect, S: Store, C: Clock> Follow<D, S, C> {
    async fn run(&mut self) {
        while self.core.stage() != Stage::Closed {
            tokio::time::sleep(LOOK).await;
            let now = self.core.now();
            let ahead = self.find_ahead(self.known());
            if ahead.is_empty() {
                self.behind_since = None;
                self.givers = Sources::default();
                continue;
            }
            let since = *self.behind_since.get_or_insert(now);
            let watches = self.core.view().configuration.is_some() && sync::is_watcher(&self.core);
            if watches && now.saturating_duration_since(since) < WATCH_LAG {
                continue;
            }
            self.ask_words(&ahead).await;
        }
    }

    /// The newest revision that this node knows.
    fn known(&self) -> Revision {
        self.core.items().newest(self.part.prefix::<D>())
    }

    /// Where peers are that know of a revision after this one.
    fn find_ahead(&self, after: Revision) -> Vec<SocketAddr> {
        let ahead = self.core.peer_states().ahead(self.part, after);
        let membership = self.core.membership();
        let records = ahead.iter().filter_map(|node| membership.get(node));
        let alive = records.filter(|record| record.state == State::Alive);
        alive.map(|record| record.contact.sync_address).collect()
    }

    /// Asks one of those that are ahead for its words, and takes them.
    async fn ask_words(&mut self, ahead: &[SocketAddr]) {
        let now = self.core.now();
        let peer = match self.givers.choose(now, ahead, rand::random()) {
            Choice::Fetch(peer) => peer,
            Choice::Wait(_) | Choice::NoSource => return,
        };
        let path = self.part.name_words(self.known());
        let patience = self.givers.response_timeout(peer, ahead);
        match fetch_words(&self.core, peer, &path, patience).await {
            Answer::Whole(words) => {
                self.givers.record_response();
                let may_lapse = self.is_store_away(peer);
                self.take_words(words, may_lapse).await;
            }
            Answer::Busy(busy, others) => self.note_busy(peer, busy, &others),
            Answer::Failed(error) => self.note_failed(peer, now, &error),
        }
    }

    /// Whether entries may have lapsed in the outage of a peer's store.
    fn is_store_away(&self, at: SocketAddr) -> bool {
        let membership = self.core.membership();
        membership.alive().any(|r| r.contact.sync_address == at && r.contact.is_store_unreachable)
    }

    /// Takes words, the oldest first. Those behind a value that can't be had yet
    /// are left, or the node would believe that it has all up to them.
    async fn take_words(&mut self, words: Vec<Word>, may_lapse: bool) {
        let mut taken = Vec::new();
        for word in words {
            let Some(outline) = word.outline else {
                taken.push(word);
                continue;
            };
            self.update(std::mem::take(&mut taken), may_lapse);
            let Some(value) = self.gather(&word.key, word.revision, outline).await else { return };
            taken.push(Word::whole(word.key, word.revision, Some(value)));
        }
        self.update(taken, may_lapse);
    }

    fn update(&self, words: Vec<Word>, may_lapse: bool) {
        if words.is_empty() {
            return;
        }
        log::info!(words = words.len(); "items taken over from peers");
        let now = self.core.now();
        self.core.update(may_lapse, |items| {
            let news = words.into_iter().map(|word| items.take(now, word));
            news.fold(false, |any, one| any | one)
        });
    }

    /// Gathers the pieces of a value from those that have it. `None` where it
    /// can't be had: the peers have a newer one, or are gone.
    async fn gather(
        &mut self,
        key: &CompactString,
        revision: Revision,
        outline: Outline,
    ) -> Option<String> {
        let began = self.core.now();
        let mut gathering = self.begin(key, outline);
        let wanted = gathering.missing().len();
        // The store's watch may bring it meanwhile.
        while self.known() < revision && self.core.stage() != Stage::Closed {
            if gathering.missing().is_empty() {
                return self.complete(key, &gathering, wanted, began);
            }
            let now = self.core.now();
            let holders = self.find_ahead(Revision(revision.0.saturating_sub(1)));
            match self.givers.choose(now, &holders, rand::random()) {
                Choice::Fetch(peer) => {
                    let patience = self.givers.response_timeout(peer, &holders);
                    if !self.ask_pieces(peer, key, &mut gathering, patience).await {
                        break;
                    }
                }
                Choice::Wait(time) => tokio::time::sleep(time.min(LOOK)).await,
                Choice::NoSource => break,
            }
        }
        self.kept = Some((key.clone(), gathering));
        None
    }

    fn begin(&mut self, key: &CompactString, outline: Outline) -> Gathering {
        let kept = self.kept.take().filter(|(kept, _)| kept == key);
        let items = self.core.items();
        let older = items.get(key).and_then(|item| item.cut.as_deref());
        match kept {
            Some((_, kept)) => kept.turn(outline, older),
            None => Gathering::open(outline, older),
        }
    }

    fn complete(
        &self,
        key: &CompactString,
        gathering: &Gathering,
        pieces: usize,
        began: Instant,
    ) -> Option<String> {
        let took_ms = self.core.now().saturating_duration_since(began).as_millis() as u64;
        match gathering.assemble() {
            Ok(value) => {
                log::info!(key = key.as_str(), pieces, bytes = value.len(), took_ms;
                    "value gathered from peers");
                Some(value)
            }
            Err(error) => {
                log::error!(key = key.as_str(), pieces, took_ms; "value dropped: {error}");
                None
            }
        }
    }

    /// Asks a peer for missing pieces; whether to go on with this outline. Where a
    /// peer answers and has none of them, the value has changed since.
    async fn ask_pieces(
        &mut self,
        peer: SocketAddr,
        key: &str,
        gathering: &mut Gathering,
        patience: Duration,
    ) -> bool {
        let now = self.core.now();
        match fetch_pieces(&self.core, peer, key, gathering, patience).await {
            Answer::Whole(taken) => {
                self.givers.record_response();
                taken > 0
            }
            Answer::Busy(busy, others) => {
                self.note_busy(peer, busy, &others);
                true
            }
            Answer::Failed(error) => {
                self.note_failed(peer, now, &error);
                true
            }
        }
    }

    fn note_busy(&mut self, peer: SocketAddr, busy: Busy, others: &[SocketAddr]) {
        self.core.metrics.fetch(Fetch::Busy);
        let others: Vec<SocketAddr> =
            others.iter().filter(|other| **other != self.core.settings.sync).copied().collect();
        self.givers.record_busy(self.core.now(), peer, busy, &others, rand::random());
    }

    fn note_failed(&mut self, peer: SocketAddr, began: Instant, error: &str) {
        let now = self.core.now();
        let took_ms = now.saturating_duration_since(began).as_millis() as u64;
        let behind_ms = self.core.lag().map_or(0, |lag| lag.time.as_millis() as u64);
        log::warn!(peer:%, took_ms, behind_ms; "peer gave no items: {error}");
        self.core.metrics.fetch(Fetch::Failed);
        self.givers.record_failure(now, peer);
    }
}

async fn fetch_words<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    peer: SocketAddr,
    path: &str,
    patience: Duration,
) -> Answer<Vec<Word>> {
    let call = Call { method: Method::GET, path, key: None, body: Bytes::new() };
    let answer = match core.client.exchange(peer, call, patience).await {
        Ok(answer) => answer,
        Err(error) => return Answer::Failed(error.to_string()),
    };
    core.metrics.fetch_bytes(Way::Taken, size::Bytes(answer.body.len() as u64));
    match answer.status {
        StatusCode::OK => match serde_json::from_slice(&answer.body) {
            Ok(words) => {
                core.metrics.fetch(Fetch::Taken);
                Answer::Whole(words)
            }
            Err(error) => Answer::Failed(error.to_string()),
        },
        StatusCode::SERVICE_UNAVAILABLE => read_busy(&answer.body),
        status => Answer::Failed(format!("status {status}")),
    }
}

fn read_busy<T>(body: &[u8]) -> Answer<T> {
    match serde_json::from_slice::<TurnedAway>(body) {
        Ok(TurnedAway { wait_ms, others }) => {
            let wait = Duration::from_millis(wait_ms).clamp(WAIT_BOUNDS.0, WAIT_BOUNDS.1);
            Answer::Busy(Busy { wait }, others)
        }
        Err(error) => Answer::Failed(error.to_string()),
    }
}

/// Asks a peer for the missing pieces; those that come are kept also where the
/// answer breaks off.
async fn fetch_pieces<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    peer: SocketAddr,
    key: &str,
    gathering: &mut Gathering,
    patience: Duration,
) -> Answer<usize> {
    let missing = gathering.missing();
    let of: Vec<String> = missing.iter().take(ASKED_MOST).map(ToString::to_string).collect();
    let from = core.settings.sync;
    let path = format!("{PIECES_PATH}?key={key}&from={from}&of={}", of.join(","));
    let request = Request::get(path).header(http::header::HOST, peer.to_string());
    let request = match request.body(Full::default()) {
        Ok(request) => request,
        Err(error) => return Answer::Failed(error.to_string()),
    };
    let exchange = match timeout(patience, core.client.send(peer, request, Reuse::Any)).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(error)) => return Answer::Failed(error.to_string()),
        Err(_) => return Answer::Failed("no answer in time".to_owned()),
    };
    match exchange.head.status {
        StatusCode::OK => read_pieces(core, exchange, gathering).await,
        StatusCode::SERVICE_UNAVAILABLE => read_refusal(exchange).await,
        // It has no such value any more, or a small one, which goes whole.
        StatusCode::NOT_FOUND => Answer::Whole(0),
        status => Answer::Failed(format!("status {status}")),
    }
}

async fn read_refusal(mut exchange: Exchange) -> Answer<usize> {
    match timeout(MAX_SILENCE, (&mut exchange.body).collect()).await {
        Ok(Ok(body)) => {
            exchange.keep(None);
            read_busy(&body.to_bytes())
        }
        Ok(Err(error)) => Answer::Failed(error.to_string()),
        Err(_) => Answer::Failed("silent within its answer".to_owned()),
    }
}

async fn read_pieces<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    mut exchange: Exchange,
    gathering: &mut Gathering,
) -> Answer<usize> {
    let mut codec = LengthDelimitedCodec::new();
    let mut buffer = BytesMut::new();
    let mut taken = 0;
    let until = core.now() + MAX_TRANSFER_TIME;
    while core.now() < until {
        let frame = match timeout(MAX_SILENCE, exchange.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Answer::Failed(error.to_string()),
            Ok(None) => {
                exchange.keep(None);
                core.metrics.fetch(Fetch::Taken);
                return Answer::Whole(taken);
            }
            Err(_) => return Answer::Failed("silent within its answer".to_owned()),
        };
        let Ok(data) = frame.into_data() else { continue };
        core.metrics.fetch_bytes(Way::Taken, size::Bytes(data.len() as u64));
        buffer.extend_from_slice(&data);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(piece)) => taken += usize::from(gathering.take(piece.freeze())),
                Ok(None) => break,
                Err(error) => return Answer::Failed(error.to_string()),
            }
        }
    }
    // The rest is asked for anew, of another one if there is any.
    Answer::Busy(Busy { wait: WAIT_BOUNDS.1 }, Vec::new())
}
