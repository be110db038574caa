//! Relays the tokens of one stream from an engine to a caller.
//!
//! Each token's sequence number is checked: tokens that were already delivered are skipped, and
//! a gap counts as a broken connection. A silent or broken connection doesn't mean that the
//! engine failed, so the stream is resumed over a new connection before the engine is
//! considered failed.

use crate::complete::Piece;
use crate::core::Core;
use crate::event_id::Position;
use crate::permit;
use crate::suspect::is_port_closed;
use futures::StreamExt;
use hickory_target::Error;
use hickory_target::engine::{Engines, Event};
use hickory_target::http::Tokens;
use hickory_unit::id;
use hickory_wire::message::Adoption;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Maximum number of consecutive resumes without a new token. Middleboxes rarely drop
/// connections, so a stream that makes no progress for longer has another cause. Resuming a
/// stream that makes progress costs its engine nothing, while giving it up would charge the
/// account a retry.
const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 3;

/// Maximum number of reads of an engine's report to learn its incarnation.
const MAX_REPORT_READS: u32 = 3;

/// Factor by which a first token may exceed its expected time: the estimate includes the queue,
/// but not a cold start or a lost cache.
const FIRST_TOKEN_FACTOR: u32 = 4;

/// How the relay of a stream ended.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// The answer is complete, with this many tokens.
    Complete(u64),
    /// The caller has disconnected.
    CallerGone,
    /// Another node serves the stream now.
    TakenOver,
    /// The deadline passed.
    Deadline,
    /// The stream makes no progress, or the engine doesn't answer.
    Stalled,
    /// The engine's port is closed, or its new process doesn't have the stream.
    TargetDied,
    /// The engine refused the stream or failed.
    Failed(Error),
}

/// A stream that is being relayed.
pub(crate) struct Relay<'a> {
    pub(crate) core: &'a Core,
    pub(crate) address: SocketAddr,
    pub(crate) target: &'a id::Target,
    pub(crate) stream: &'a id::Stream,
    pub(crate) deadline: Instant,
    /// Timeout for the first token.
    pub(crate) first_token_timeout: Duration,
    pub(crate) out: &'a mpsc::Sender<Piece>,
    /// Number of tokens delivered to the caller.
    pub(crate) delivered: u64,
    /// When this relay received its first token.
    pub(crate) first_token_at: Option<Instant>,
}

/// Returns the timeout for a first token with this expected time.
pub(crate) fn first_token_timeout(core: &Core, expected_first_token: Duration) -> Duration {
    core.duration_ms(core.settings.times.progress_ms)
        + expected_first_token.saturating_mul(FIRST_TOKEN_FACTOR)
}

/// Why reading from a connection stopped before the end of the stream.
enum ReadError {
    /// The connection broke or skipped tokens.
    Broken,
    /// The connection was silent for too long.
    Silent,
}

impl Relay<'_> {
    /// Opens the stream, with the timeout of the first token.
    pub(crate) async fn open(
        &mut self,
        opening: impl Future<Output = Result<Tokens, Error>>,
    ) -> Result<Tokens, End> {
        let opened = tokio::select! {
            opened = tokio::time::timeout(self.first_token_timeout, opening) => opened,
            () = tokio::time::sleep_until(self.deadline.into()) => return Err(End::Deadline),
            () = self.out.closed() => return Err(End::CallerGone),
        };
        match opened {
            Ok(Ok(tokens)) => Ok(tokens),
            Ok(Err(Error::Unknown(_))) => self.reopen().await,
            Ok(Err(error)) => Err(End::Failed(error)),
            Err(_) => self.reopen().await,
        }
    }

    /// Relays until the stream ends, resuming it over new connections as needed.
    pub(crate) async fn run(&mut self, mut tokens: Tokens) -> End {
        let mut resumes_without_progress = 0;
        while resumes_without_progress < MAX_RESUMES_WITHOUT_PROGRESS {
            let before = self.delivered;
            let error = match self.read(&mut tokens).await {
                Ok(end) => return end,
                Err(error) => error,
            };
            drop(tokens);
            tokens = match self.reopen().await {
                Ok(tokens) => tokens,
                Err(end) => return end,
            };
            resumes_without_progress =
                if self.delivered == before { resumes_without_progress + 1 } else { 0 };
            if matches!(error, ReadError::Silent)
                && resumes_without_progress > 0
                && self.first_token_at.is_some()
            {
                return match self.read(&mut tokens).await {
                    Ok(end) => end,
                    Err(_) => End::Stalled,
                };
            }
        }
        End::Stalled
    }

    /// Resumes the stream over a new connection. If the outcome is unknown, it is retried over
    /// further connections.
    async fn reopen(&mut self) -> Result<Tokens, End> {
        for _ in 1..MAX_RESUMES_WITHOUT_PROGRESS {
            match self.reopen_once().await {
                Err(End::Failed(Error::Unknown(_))) => {}
                other => return other,
            }
        }
        self.reopen_once().await
    }

    /// Resumes the stream after the last delivered token, over a new connection.
    async fn reopen_once(&mut self) -> Result<Tokens, End> {
        let timeout = self.core.duration_ms(self.core.settings.times.progress_ms);
        let request = Adoption {
            target: self.target.clone(),
            stream: self.stream.clone(),
            node: self.core.node_id().clone(),
            is_renewal: true,
        };
        let can_keep = tokio::select! {
            can_keep = permit::can_keep_stream(self.core, request, timeout) => can_keep,
            () = tokio::time::sleep_until(self.deadline.into()) => return Err(End::Deadline),
        };
        if !can_keep {
            return Err(End::TakenOver);
        }
        let resume = self.core.targets.resume(self.address, self.stream, self.delivered);
        let resumed = tokio::select! {
            resumed = tokio::time::timeout(timeout, resume) => resumed,
            () = tokio::time::sleep_until(self.deadline.into()) => return Err(End::Deadline),
            () = self.out.closed() => return Err(End::CallerGone),
        };
        match resumed {
            Ok(Ok(tokens)) => Ok(tokens),
            Ok(Err(Error::NotFound)) => Err(self.classify_unknown_stream().await),
            Ok(Err(Error::NotSent(_))) if is_port_closed(self.address).await => {
                Err(End::TargetDied)
            }
            // A timeout isn't a death: requests on a frozen engine or in an unreachable zone
            // must not be suspected of having crashed it.
            Ok(Err(Error::NotSent(_))) | Err(_) => Err(End::Stalled),
            Ok(Err(error)) => Err(End::Failed(error)),
        }
    }

    /// Classifies a stream that the engine doesn't know. If the engine's incarnation is the one
    /// that the owner published, the connection broke before the engine read the request;
    /// otherwise the engine died, possibly because of it. A lost report proves neither.
    async fn classify_unknown_stream(&self) -> End {
        let known = self.core.view.state(self.target).map(|state| state.incarnation);
        for _ in 0..MAX_REPORT_READS {
            let report = tokio::select! {
                report = Engines::report(&self.core.targets, self.address) => report,
                () = tokio::time::sleep_until(self.deadline.into()) => return End::Deadline,
            };
            match report {
                Ok(report)
                    if Some(report.incarnation) == known && self.first_token_at.is_none() =>
                {
                    return End::Failed(Error::Refused("the engine never began".into()));
                }
                Ok(_) => return End::TargetDied,
                Err(_) if is_port_closed(self.address).await => return End::TargetDied,
                Err(_) => {}
            }
        }
        End::Stalled
    }

    /// Reads from one connection until the stream ends or the connection fails.
    async fn read(&mut self, tokens: &mut Tokens) -> Result<End, ReadError> {
        loop {
            let timeout = match self.first_token_at {
                Some(_) => self.core.duration_ms(self.core.settings.times.progress_ms),
                None => self.first_token_timeout,
            };
            let event = tokio::select! {
                event = tokio::time::timeout(timeout, tokens.next()) => event,
                () = tokio::time::sleep_until(self.deadline.into()) => return Ok(End::Deadline),
                () = self.out.closed() => return Ok(End::CallerGone),
            };
            match event.map_err(|_| ReadError::Silent)? {
                Some(Ok(Event::Token { seq, .. })) if seq < self.delivered => {}
                Some(Ok(Event::Token { seq, text })) if seq == self.delivered => {
                    let position = Position {
                        stream: self.stream.clone(),
                        target: self.target.clone(),
                        seq: seq + 1,
                    };
                    if let Some(end) = self.deliver(Piece::Token(position, text)).await {
                        return Ok(end);
                    }
                }
                Some(Ok(Event::End { count })) if count == self.delivered => {
                    return Ok(End::Complete(count));
                }
                Some(Ok(Event::Failed { reason })) => {
                    return Ok(End::Failed(Error::Unknown(reason.into())));
                }
                Some(Ok(Event::Token { .. } | Event::End { .. })) => return Err(ReadError::Broken),
                Some(Err(_)) | None => return Err(ReadError::Broken),
            }
        }
    }

    /// Sends a piece to the caller's task. A caller that reads nothing until the timeout is
    /// treated as disconnected.
    async fn deliver(&mut self, piece: Piece) -> Option<End> {
        let timeout = self.core.duration_ms(self.core.settings.times.progress_ms);
        let sent = tokio::select! {
            sent = tokio::time::timeout(timeout, self.out.send(piece)) => sent,
            () = tokio::time::sleep_until(self.deadline.into()) => return Some(End::Deadline),
        };
        match sent {
            Ok(Ok(())) => {
                self.first_token_at.get_or_insert_with(|| self.core.now());
                self.delivered += 1;
                None
            }
            Ok(Err(_)) | Err(_) => Some(End::CallerGone),
        }
    }
}
