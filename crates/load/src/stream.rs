//! The reader of a streamed completion.

use crate::caller::Progress;
use crate::content::Check;
use crate::outcome::{End, Failure};
use crate::sse::{Event, Parser};
use crate::wire;
use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::{Duration, Instant};

/// How long a stream that has begun may stand still before the caller takes
/// it up over a new connection: an open connection can go silent for good
/// while new ones work, and only the caller can tell.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Why reading stopped.
pub(crate) enum StopReason {
    /// This is the end.
    End(End),
    /// The stream was cut or fell silent before its end.
    Interrupted,
}

/// A streamed answer, over all connections it takes.
#[derive(Debug)]
pub(crate) struct Reader {
    /// The id of the request, by which another node takes it up.
    pub(crate) request: Option<CompactString>,
    /// The id of the last event taken in.
    pub(crate) last_id: Option<CompactString>,
    body: Incoming,
    parser: Parser,
}

impl Reader {
    pub(crate) fn open(response: http::Response<Incoming>) -> Self {
        let id = response.headers().get("x-request-id");
        let request = id.and_then(|id| id.to_str().ok()).map(Into::into);
        Self { request, last_id: None, body: response.into_body(), parser: Parser::default() }
    }

    /// Goes on over a new connection.
    pub(crate) fn continue_with(&mut self, response: http::Response<Incoming>) {
        self.body = response.into_body();
        self.parser = Parser::default();
    }

    /// Reads until the end, a cut, or `hang_up` tokens.
    pub(crate) async fn read<F: Fn(u64) -> CompactString>(
        &mut self,
        check: &mut Check<F>,
        hang_up: Option<u64>,
        progress: &mut Progress,
    ) -> StopReason {
        loop {
            let frame = match progress.first_token {
                None => self.body.frame().await,
                Some(_) => match tokio::time::timeout(SILENCE_TIMEOUT, self.body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => return StopReason::Interrupted,
                },
            };
            let Some(Ok(frame)) = frame else { return StopReason::Interrupted };
            let Ok(data) = frame.into_data() else { continue };
            let Ok(events) = self.parser.push(&data) else {
                return protocol_failure("an event without end");
            };
            let now = Instant::now();
            for event in events {
                let before = check.seen();
                if let Some(end) = self.handle_event(event, check) {
                    return StopReason::End(end);
                }
                if check.seen() > before {
                    progress.record_token(now);
                }
                if hang_up.is_some_and(|after| check.seen() >= after) {
                    return StopReason::End(End::HungUp);
                }
            }
        }
    }

    /// Takes one event in; `Some` at the end of the answer.
    fn handle_event<F: Fn(u64) -> CompactString>(
        &mut self,
        event: Event,
        check: &mut Check<F>,
    ) -> Option<End> {
        if event.kind == "error" {
            return Some(End::Failed(match wire::parse_problem(event.data.as_bytes()) {
                Some(refused) => Failure::Reported(refused),
                None => Failure::Protocol("malformed error event".into()),
            }));
        }
        if event.data == "[DONE]" {
            return Some(match check.ended() {
                true => End::Whole,
                false => End::Failed(Failure::Protocol("done without a finish reason".into())),
            });
        }
        let Ok(chunk) = serde_json::from_str::<wire::Chunk>(&event.data) else {
            return Some(End::Failed(Failure::Protocol("malformed chunk".into())));
        };
        let checked = check_chunk(&chunk, check);
        self.last_id = event.id.or(self.last_id.take());
        checked.err().map(End::Wrong)
    }
}

fn check_chunk<F: Fn(u64) -> CompactString>(
    chunk: &wire::Chunk,
    check: &mut Check<F>,
) -> Result<(), crate::content::Fault> {
    for choice in &chunk.choices {
        if !choice.text.is_empty() || choice.finish_reason.is_none() {
            check.token(&choice.text)?;
        }
        if choice.finish_reason.is_some() {
            check.end(chunk.usage.map(|usage| usage.completion_tokens))?;
        }
    }
    Ok(())
}

fn protocol_failure(detail: &str) -> StopReason {
    StopReason::End(End::Failed(Failure::Protocol(detail.into())))
}
