//! A client of the fleet. It sends requests to the node that service discovery
//! returned, resumes interrupted streams on other nodes, retries refused requests
//! after the delay that the refusal states, and validates the answers.

use crate::content::Check;
use crate::entry::Finder;
use crate::http::{self, Http};
use crate::mix::Class;
use crate::outcome::{End, Failure, LATE_TOLERANCE, Outcome, Refused};
use crate::stream::{self, StopReason};
use crate::wire;
use bytes::Bytes;
use compact_str::CompactString;
use hickory_model::answer::Answer;
use hickory_policy::refuse::{Ran, Reason};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after the deadline that a caller keeps waiting, to distinguish a late
/// answer from a missing one.
const LATE_ANSWER_GRACE: Duration = Duration::from_secs(2);

/// Delay before a request is retried after a broken connection, so that the
/// callers of a dead node don't all reconnect at the same moment.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// A completion request with its serialized body.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The account's token.
    pub token: String,
    /// The serialized request body.
    pub body: Bytes,
    /// The expected answer.
    pub answer: Answer,
    /// Number of tokens in the answer.
    pub max_tokens: u64,
    /// Time until the request must be answered.
    pub deadline: Duration,
    /// Disconnect after this many tokens.
    pub hang_up: Option<u64>,
    /// Maximum number of retries.
    pub resends: u32,
}

impl Completion {
    /// Creates a streamed completion request for `prompt`.
    pub fn for_prompt(
        token: &str,
        model: &str,
        prompt: &str,
        max_tokens: u64,
        class: Class,
    ) -> Self {
        let body = wire::Completion { model, prompt, max_tokens, stream: true, class };
        Self {
            token: token.into(),
            body: serde_json::to_vec(&body).unwrap_or_default().into(),
            answer: Answer::for_prompt(prompt),
            max_tokens,
            deadline: Duration::from_secs(60),
            hang_up: None,
            resends: 0,
        }
    }
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The account's token.
    pub token: String,
    /// The service and the path within it, for example `/orders/place`.
    pub path: String,
    /// The body.
    pub body: String,
    /// The UUIDv7 idempotency key of a call that must not be executed twice.
    pub key: Option<String>,
    /// Time until the call must be answered.
    pub deadline: Duration,
    /// Maximum number of retries.
    pub resends: u32,
}

/// A client with a cached entry address.
#[derive(Debug)]
pub struct Caller {
    pub(crate) http: Http,
    pub(crate) finder: Finder,
}

/// Delay before the nodes are queried again for an entry address when none answered.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of resumptions of one stream. It exceeds the number of entry
/// hosts that could fail while the stream runs.
const MAX_RESUMES: u32 = 8;

/// The result of one attempt.
pub(crate) enum Attempt {
    /// The request has ended.
    End(End),
    /// No node returned an entry address.
    Unreachable,
    /// The connection could not be opened; the next address is tried.
    NotConnected,
    /// The connection broke; the request may be retried.
    Broken,
}

impl Caller {
    /// Creates a caller that queries `seeds` for its entry address, starting at index `first`.
    pub fn open(seeds: Vec<SocketAddr>, first: usize) -> Self {
        Self { http: Http::open(), finder: Finder::open(seeds, first) }
    }

    /// Requests a completion. Latencies are measured from `intended`.
    pub async fn complete(&self, completion: &Completion, intended: Instant) -> Outcome {
        let mut progress = Progress::start(intended, completion.deadline, completion.resends);
        let mut check = Check::open(completion.max_tokens, |seq| completion.answer.token(seq));
        let attempts = async {
            loop {
                let result = self.try_completion(completion, &mut progress, &mut check).await;
                if let Some(end) = progress.end_or_retry(result).await {
                    return end;
                }
            }
        };
        let end = enforce_deadline(intended + completion.deadline, attempts).await;
        progress.into_outcome(end, check.received())
    }

    /// Calls a plain service. Latencies are measured from `intended`.
    pub async fn call(&self, call: &Call, intended: Instant) -> Outcome {
        let mut progress = Progress::start(intended, call.deadline, call.resends);
        let attempts = async {
            loop {
                let result = self.try_call(call, &mut progress).await;
                if let Some(end) = progress.end_or_retry(result).await {
                    return end;
                }
            }
        };
        let end = enforce_deadline(intended + call.deadline, attempts).await;
        progress.into_outcome(end, 0)
    }

    async fn try_completion<F: Fn(u64) -> CompactString>(
        &self,
        completion: &Completion,
        progress: &mut Progress,
        check: &mut Check<F>,
    ) -> Attempt {
        let Some(address) = self.finder.find_address(&self.http).await else {
            return Attempt::Unreachable;
        };
        let headers = request_headers(&completion.token, progress.time_left());
        let sent =
            self.http.send(address, "POST", "/v1/completions", &headers, completion.body.clone());
        let response = match sent.await {
            Ok(response) => response,
            Err(error) => return self.handle_error(address, error).await,
        };
        if response.status() != 200 {
            return self.handle_refusal(address, response, progress).await;
        }
        let mut stream = stream::Reader::open(response);
        match stream.read(check, completion.hang_up, progress).await {
            StopReason::End(end) => Attempt::End(end),
            StopReason::Interrupted => {
                self.resume(completion, address, stream, check, progress).await
            }
        }
    }

    /// Resumes an interrupted stream on other nodes, at most [`MAX_RESUMES`] times.
    async fn resume<F: Fn(u64) -> CompactString>(
        &self,
        completion: &Completion,
        mut address: SocketAddr,
        mut stream: stream::Reader,
        check: &mut Check<F>,
        progress: &mut Progress,
    ) -> Attempt {
        let Some(request) = stream.request.clone() else { return Attempt::Broken };
        let path = format!("/v1/requests/{request}");
        while progress.resumes < MAX_RESUMES {
            progress.resumes += 1;
            self.finder.avoid(address).await;
            let Some(next) = self.finder.find_address(&self.http).await else {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            address = next;
            let mut headers = request_headers(&completion.token, progress.time_left());
            headers.extend(stream.last_id.iter().map(|id| ("last-event-id", id.to_string())));
            let response = match self.http.send(address, "GET", &path, &headers, Bytes::new()).await
            {
                Ok(response) => response,
                Err(_) => continue,
            };
            if response.status() != 200 {
                return self.handle_refusal(address, response, progress).await;
            }
            stream.continue_with(response);
            if let StopReason::End(end) = stream.read(check, completion.hang_up, progress).await {
                return Attempt::End(end);
            }
        }
        Attempt::End(End::Failed(Failure::Broken))
    }

    pub(crate) async fn handle_error(&self, address: SocketAddr, error: http::Error) -> Attempt {
        self.finder.avoid(address).await;
        match error {
            http::Error::NotConnected => Attempt::NotConnected,
            http::Error::Broken(_) => Attempt::Broken,
        }
    }

    pub(crate) async fn handle_refusal(
        &self,
        address: SocketAddr,
        response: ::http::Response<hyper::body::Incoming>,
        progress: &mut Progress,
    ) -> Attempt {
        let status = response.status().as_u16();
        let Ok(body) = http::read_body(response.into_body()).await else { return Attempt::Broken };
        let Some(refused) = wire::parse_problem(&body).filter(|r| r.reason.status() == status)
        else {
            let text = String::from_utf8_lossy(&body[..body.len().min(120)]);
            let detail = compact_str::format_compact!("status {status}: {text}");
            return Attempt::End(End::Failed(Failure::Protocol(detail)));
        };
        if matches!(refused.reason, Reason::Draining | Reason::NotReady) {
            self.finder.avoid(address).await;
        }
        progress.refusals.push(refused);
        Attempt::End(End::Refused(refused))
    }
}

/// Returns the headers of every request.
pub(crate) fn request_headers(token: &str, left: Duration) -> Vec<(&'static str, String)> {
    vec![
        ("authorization", format!("Bearer {token}")),
        ("content-type", "application/json".into()),
        ("x-time-left-ms", left.as_millis().max(1).to_string()),
    ]
}

/// Limits the time of `attempts` and classifies answers after the deadline as
/// late and missing answers as unanswered.
async fn enforce_deadline(deadline: Instant, attempts: impl Future<Output = End>) -> End {
    let limit = tokio::time::Instant::from_std(deadline + LATE_ANSWER_GRACE);
    match tokio::time::timeout_at(limit, attempts).await {
        Ok(End::HungUp) => End::HungUp,
        Ok(End::Wrong(fault)) => End::Wrong(fault),
        Ok(_) if Instant::now() > deadline + LATE_TOLERANCE => End::Late,
        Ok(end) => end,
        Err(_) => End::Unanswered,
    }
}

/// The state of a request across its attempts.
#[derive(Debug)]
pub(crate) struct Progress {
    intended: Instant,
    deadline: Instant,
    resends_left: u32,
    addresses_left: u32,
    last_token: Option<Instant>,
    pub(crate) first_token: Option<Duration>,
    pub(crate) gaps: Vec<Duration>,
    pub(crate) refusals: Vec<Refused>,
    pub(crate) resumes: u32,
    resends: u32,
}

/// Maximum number of failed connections before a request ends as unreachable.
const MAX_ADDRESS_ATTEMPTS: u32 = 32;

impl Progress {
    fn start(intended: Instant, deadline: Duration, resends: u32) -> Self {
        Self {
            intended,
            deadline: intended + deadline,
            resends_left: resends,
            addresses_left: MAX_ADDRESS_ATTEMPTS,
            last_token: None,
            first_token: None,
            gaps: Vec::new(),
            refusals: Vec::new(),
            resumes: 0,
            resends: 0,
        }
    }

    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Records the arrival of a token.
    pub(crate) fn record_token(&mut self, now: Instant) {
        match self.last_token.replace(now) {
            Some(last) => self.gaps.push(now - last),
            None => self.first_token = Some(now - self.intended),
        }
    }

    /// Returns how the request ended, or `None` if it is to be retried, after waiting for the
    /// retry delay.
    async fn end_or_retry(&mut self, result: Attempt) -> Option<End> {
        let (end, pause) = match result {
            Attempt::NotConnected if self.addresses_left > 0 => {
                self.addresses_left -= 1;
                return None;
            }
            Attempt::NotConnected => return Some(End::Failed(Failure::Unreachable)),
            Attempt::Unreachable => {
                (End::Failed(Failure::Unreachable), Some(UNREACHABLE_RETRY_DELAY))
            }
            Attempt::Broken if self.first_token.is_none() => {
                (End::Failed(Failure::Broken), Some(RETRY_DELAY))
            }
            Attempt::Broken => return Some(End::Failed(Failure::Broken)),
            Attempt::End(End::Refused(refused)) => (End::Refused(refused), retry_delay(refused)),
            Attempt::End(end) => return Some(end),
        };
        let Some(pause) = pause.filter(|pause| *pause < self.time_left()) else { return Some(end) };
        if self.resends_left == 0 || self.first_token.is_some() {
            return Some(end);
        }
        self.resends_left -= 1;
        self.resends += 1;
        tokio::time::sleep(pause).await;
        None
    }

    fn into_outcome(self, end: End, tokens: u64) -> Outcome {
        Outcome {
            end,
            first_token: self.first_token,
            gaps: self.gaps,
            latency: self.intended.elapsed(),
            tokens,
            refusals: self.refusals,
            resumes: self.resumes,
            resends: self.resends,
        }
    }
}

/// Returns the delay before a refused request may be retried, or `None` if it
/// must not be.
///
/// Only requests that certainly did not run are retried. If the node is draining
/// or has no configuration yet, other nodes may still accept the request, so it is
/// retried there almost immediately. Other refusals are retried only after the
/// delay that they state.
fn retry_delay(refused: Refused) -> Option<Duration> {
    match (refused.ran, refused.reason) {
        (Ran::Unknown, _) => None,
        (Ran::No, Reason::Draining | Reason::NotReady) => Some(RETRY_DELAY),
        (Ran::No, _) => refused.retry_after,
    }
}
