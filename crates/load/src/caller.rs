//! A caller: sends requests to the node it found, takes streams up again
//! elsewhere, honours what refusals say, and checks what it gets.

use crate::content::Check;
use crate::entry::Finder;
use crate::http::{self, Http};
use crate::mix::Class;
use crate::outcome::{End, Failure, LATE_SLACK, Outcome, Refused};
use crate::stream::{self, Stop};
use crate::wire;
use bytes::Bytes;
use compact_str::CompactString;
use hickory_model::answer::Answer;
use hickory_policy::refuse::{Ran, Reason};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long after the deadline a caller waits to learn whether a final answer
/// comes at all.
const GRACE: Duration = Duration::from_secs(2);

/// Pause before a broken exchange is sent again, so that a dead node's callers
/// don't all come back at once.
const RESEND_PAUSE: Duration = Duration::from_millis(20);

/// A completion to ask for, with its body made beforehand.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The account's token.
    pub token: String,
    /// The body.
    pub body: Bytes,
    /// What the answer must be.
    pub answer: Answer,
    /// Tokens of the answer.
    pub max_tokens: u64,
    /// Time that it may take.
    pub deadline: Duration,
    /// Hang up after this many tokens.
    pub hang_up: Option<u64>,
    /// Times it may be sent again.
    pub resends: u32,
}

impl Completion {
    /// Makes the body of a streamed completion of `prompt`.
    pub fn of_prompt(
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
    /// The service and the path within it, as in `/orders/place`.
    pub path: String,
    /// The body.
    pub body: String,
    /// The UUIDv7 of a call that must not be repeated.
    pub key: Option<String>,
    /// Time that it may take.
    pub deadline: Duration,
    /// Times it may be sent again.
    pub resends: u32,
}

/// A caller with the address it keeps.
#[derive(Debug)]
pub struct Caller {
    pub(crate) http: Http,
    pub(crate) finder: Finder,
}

/// Pause before nodes are asked again when none answered.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(200);

/// Times that one stream is taken up again: more than there are entry hosts
/// that could be lost while it runs.
const RESUMES_MAX: u32 = 8;

/// What an attempt came to.
pub(crate) enum Step {
    /// This is the end.
    End(End),
    /// No node says which address to use.
    Unreachable,
    /// No connection: try the next address.
    NotConnected,
    /// It broke, and may be sent again.
    Broken,
}

impl Caller {
    /// A caller that knows `seeds` and asks the one at `first` first.
    pub fn open(seeds: Vec<SocketAddr>, first: usize) -> Self {
        Self { http: Http::open(), finder: Finder::open(seeds, first) }
    }

    /// Asks for a completion; times count from `intended`.
    pub async fn complete(&self, ask: &Completion, intended: Instant) -> Outcome {
        let mut progress = Progress::start(intended, ask.deadline, ask.resends);
        let mut check = Check::open(ask.max_tokens, |seq| ask.answer.token(seq));
        let asked = async {
            loop {
                let step = self.try_completion(ask, &mut progress, &mut check).await;
                if let Some(end) = progress.settle(step).await {
                    return end;
                }
            }
        };
        let end = bound_time(intended + ask.deadline, asked).await;
        progress.finish(end, check.seen())
    }

    /// Calls a plain service; times count from `intended`.
    pub async fn call(&self, call: &Call, intended: Instant) -> Outcome {
        let mut progress = Progress::start(intended, call.deadline, call.resends);
        let asked = async {
            loop {
                let step = self.try_call(call, &mut progress).await;
                if let Some(end) = progress.settle(step).await {
                    return end;
                }
            }
        };
        let end = bound_time(intended + call.deadline, asked).await;
        progress.finish(end, 0)
    }

    async fn try_completion<F: Fn(u64) -> CompactString>(
        &self,
        ask: &Completion,
        progress: &mut Progress,
        check: &mut Check<F>,
    ) -> Step {
        let Some(at) = self.finder.find_address(&self.http).await else {
            return Step::Unreachable;
        };
        let headers = ask_headers(&ask.token, progress.time_left());
        let sent = self.http.send(at, "POST", "/v1/completions", &headers, ask.body.clone());
        let response = match sent.await {
            Ok(response) => response,
            Err(error) => return self.judge_error(at, error).await,
        };
        if response.status() != 200 {
            return self.judge_refusal(at, response, progress).await;
        }
        let mut stream = stream::Reader::open(response);
        match stream.read(check, ask.hang_up, progress).await {
            Stop::End(end) => Step::End(end),
            Stop::Cut => self.resume(ask, at, stream, check, progress).await,
        }
    }

    /// Takes a cut stream up through other nodes, at most [`RESUMES_MAX`] times.
    async fn resume<F: Fn(u64) -> CompactString>(
        &self,
        ask: &Completion,
        mut at: SocketAddr,
        mut stream: stream::Reader,
        check: &mut Check<F>,
        progress: &mut Progress,
    ) -> Step {
        let Some(request) = stream.request.clone() else { return Step::Broken };
        let path = format!("/v1/requests/{request}");
        while progress.resumes < RESUMES_MAX {
            progress.resumes += 1;
            self.finder.avoid(at).await;
            let Some(next) = self.finder.find_address(&self.http).await else {
                tokio::time::sleep(RESEND_PAUSE).await;
                continue;
            };
            at = next;
            let mut headers = ask_headers(&ask.token, progress.time_left());
            headers.extend(stream.last_id.iter().map(|id| ("last-event-id", id.to_string())));
            let response = match self.http.send(at, "GET", &path, &headers, Bytes::new()).await {
                Ok(response) => response,
                Err(_) => continue,
            };
            if response.status() != 200 {
                return self.judge_refusal(at, response, progress).await;
            }
            stream.take_up(response);
            if let Stop::End(end) = stream.read(check, ask.hang_up, progress).await {
                return Step::End(end);
            }
        }
        Step::End(End::Failed(Failure::Broken))
    }

    pub(crate) async fn judge_error(&self, at: SocketAddr, error: http::Error) -> Step {
        self.finder.avoid(at).await;
        match error {
            http::Error::NotConnected => Step::NotConnected,
            http::Error::Broken(_) => Step::Broken,
        }
    }

    pub(crate) async fn judge_refusal(
        &self,
        at: SocketAddr,
        response: ::http::Response<hyper::body::Incoming>,
        progress: &mut Progress,
    ) -> Step {
        let status = response.status().as_u16();
        let Ok(body) = http::read_body(response.into_body()).await else { return Step::Broken };
        let Some(refused) = wire::parse_problem(&body).filter(|r| r.reason.status() == status)
        else {
            let text = String::from_utf8_lossy(&body[..body.len().min(120)]);
            let detail = compact_str::format_compact!("status {status}: {text}");
            return Step::End(End::Failed(Failure::Protocol(detail)));
        };
        if matches!(refused.reason, Reason::Draining | Reason::NotReady) {
            self.finder.avoid(at).await;
        }
        progress.refusals.push(refused);
        Step::End(End::Refused(refused))
    }
}

/// The headers that every request carries.
pub(crate) fn ask_headers(token: &str, left: Duration) -> Vec<(&'static str, String)> {
    vec![
        ("authorization", format!("Bearer {token}")),
        ("content-type", "application/json".into()),
        ("x-time-left-ms", left.as_millis().max(1).to_string()),
    ]
}

/// Ends what takes longer than the deadline, and tells late from never.
async fn bound_time(deadline: Instant, asked: impl Future<Output = End>) -> End {
    let limit = tokio::time::Instant::from_std(deadline + GRACE);
    match tokio::time::timeout_at(limit, asked).await {
        Ok(End::HungUp) => End::HungUp,
        Ok(End::Wrong(fault)) => End::Wrong(fault),
        Ok(_) if Instant::now() > deadline + LATE_SLACK => End::Late,
        Ok(end) => end,
        Err(_) => End::Unanswered,
    }
}

/// What has come of a request so far.
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

/// Addresses that one request tries before it counts as unreachable.
const ADDRESSES_TRIED: u32 = 32;

impl Progress {
    fn start(intended: Instant, deadline: Duration, resends: u32) -> Self {
        Self {
            intended,
            deadline: intended + deadline,
            resends_left: resends,
            addresses_left: ADDRESSES_TRIED,
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

    /// Notes that a token came.
    pub(crate) fn token(&mut self, now: Instant) {
        match self.last_token.replace(now) {
            Some(last) => self.gaps.push(now - last),
            None => self.first_token = Some(now - self.intended),
        }
    }

    /// The end, or `None` after the pause to be made before the next attempt.
    async fn settle(&mut self, step: Step) -> Option<End> {
        let (end, pause) = match step {
            Step::NotConnected if self.addresses_left > 0 => {
                self.addresses_left -= 1;
                return None;
            }
            Step::NotConnected => return Some(End::Failed(Failure::Unreachable)),
            Step::Unreachable => (End::Failed(Failure::Unreachable), Some(UNREACHABLE_PAUSE)),
            Step::Broken if self.first_token.is_none() => {
                (End::Failed(Failure::Broken), Some(RESEND_PAUSE))
            }
            Step::Broken => return Some(End::Failed(Failure::Broken)),
            Step::End(End::Refused(refused)) => (End::Refused(refused), pause_after(refused)),
            Step::End(end) => return Some(end),
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

    fn finish(self, end: End, tokens: u64) -> Outcome {
        Outcome {
            end,
            first_token: self.first_token,
            gaps: self.gaps,
            time: self.intended.elapsed(),
            tokens,
            refusals: self.refusals,
            resumes: self.resumes,
            resends: self.resends,
        }
    }
}

/// When a refused request may be sent again; `None` for never.
///
/// Only what certainly did not run is sent again. A node that drains or has
/// no configuration yet says nothing of the others, so those are asked at
/// once; any other refusal is honoured as it stands.
fn pause_after(refused: Refused) -> Option<Duration> {
    match (refused.ran, refused.reason) {
        (Ran::Unknown, _) => None,
        (Ran::No, Reason::Draining | Reason::NotReady) => Some(RESEND_PAUSE),
        (Ran::No, _) => refused.retry_after,
    }
}
