//! Reads a streamed completion.

use crate::caller::Progress;
use crate::content::Check;
use crate::outcome::{End, Failure};
use crate::sse::{Event, Parser};
use crate::wire;
use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::{Duration, Instant};

/// Time without data after which a started stream is resumed over a new
/// connection. An open connection can stop delivering data while new ones work, and
/// only the caller can detect that.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Why reading stopped.
pub(crate) enum StopReason {
    /// The request has ended.
    End(End),
    /// The connection broke or the silence timeout expired before the end of the
    /// stream.
    Interrupted,
}

/// Reads a streamed answer, which may span several connections.
#[derive(Debug)]
pub(crate) struct Reader {
    /// The id of the request, with which another node can resume it.
    pub(crate) request: Option<CompactString>,
    /// The id of the last event received.
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

    /// Continues with the response of a new connection.
    pub(crate) fn continue_with(&mut self, response: http::Response<Incoming>) {
        self.body = response.into_body();
        self.parser = Parser::default();
    }

    /// Reads until the end of the answer, an interruption, or `hang_up` tokens.
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
                let before = check.received();
                if let Some(end) = self.handle_event(event, check) {
                    return StopReason::End(end);
                }
                if check.received() > before {
                    progress.record_token(now);
                }
                if hang_up.is_some_and(|after| check.received() >= after) {
                    return StopReason::End(End::HungUp);
                }
            }
        }
    }

    /// Processes one event. Returns how the request ended, or `None` if the answer
    /// continues.
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
