//! Relaying the tokens of one stream from an engine to a caller.
//!
//! Every token is checked against the position: one that was given already is
//! passed over, a gap is a cut. A silent or broken connection says nothing of
//! the engine, so the stream is taken up over a new connection before the
//! engine is given up on.

use crate::complete::Piece;
use crate::core::Core;
use crate::permit;
use crate::seal::Position;
use crate::suspect::is_port_closed;
use futures::StreamExt;
use hickory_target::Error;
use hickory_target::engine::{Engines, Event};
use hickory_target::http::Tokens;
use hickory_unit::id;
use hickory_wire::message::Adopt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// How often in a row a stream is taken up over a new connection without a
/// token in between. Middleboxes forget connections rarely; a stream that
/// stands still for longer has another cause. One that moves on costs its
/// engine nothing by a cut, while giving it up would cost the account a retry.
const MAX_RESUMES_WITHOUT_PROGRESS: u32 = 3;

/// How often an engine is asked which process it is.
const MAX_REPORT_READS: u32 = 3;

/// How much longer than expected a first token may take: the estimate knows
/// the queue, but not what a cold start or a lost cache costs.
const FIRST_TOKEN_FACTOR: u32 = 4;

/// How the relay of a stream ended.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// The answer is whole, with this many tokens.
    Complete(u64),
    /// The caller is gone.
    CallerGone,
    /// Another node serves the stream now.
    TakenOver,
    /// The deadline passed.
    Deadline,
    /// The stream does not move on, or the engine says nothing.
    Stalled,
    /// The engine's port is closed, or it runs anew without the stream.
    TargetDied,
    /// The engine said no, or failed.
    Failed(Error),
}

/// A stream under relay.
pub(crate) struct Relay<'a> {
    pub(crate) core: &'a Core,
    pub(crate) address: SocketAddr,
    pub(crate) target: &'a id::Target,
    pub(crate) stream: &'a id::Stream,
    pub(crate) deadline: Instant,
    /// How long the first token may take.
    pub(crate) first_token_timeout: Duration,
    pub(crate) out: &'a mpsc::Sender<Piece>,
    /// Tokens that the caller has been given.
    pub(crate) delivered: u64,
    /// When the first token of this relay came.
    pub(crate) first_token_at: Option<Instant>,
}

/// How long a first token may take where `expected` was estimated.
pub(crate) fn first_token_timeout(core: &Core, expected_first_token: Duration) -> Duration {
    core.duration_ms(core.settings.times.progress_ms)
        + expected_first_token.saturating_mul(FIRST_TOKEN_FACTOR)
}

/// Why reading one connection ended without an end of the stream.
enum ReadError {
    /// The connection broke or skipped tokens.
    Broken,
    /// Nothing came for too long.
    Silent,
}

impl Relay<'_> {
    /// Opens the stream, within the time that a first token may take.
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

    /// Relays until the stream ends, over new connections where need be.
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

    /// Takes the stream up over a new connection; where that one breaks as
    /// well, over another.
    async fn reopen(&mut self) -> Result<Tokens, End> {
        for _ in 1..MAX_RESUMES_WITHOUT_PROGRESS {
            match self.reopen_once().await {
                Err(End::Failed(Error::Unknown(_))) => {}
                other => return other,
            }
        }
        self.reopen_once().await
    }

    /// Takes the stream up from what the caller has, over a new connection.
    async fn reopen_once(&mut self) -> Result<Tokens, End> {
        let timeout = self.core.duration_ms(self.core.settings.times.progress_ms);
        let request = Adopt {
            target: self.target.clone(),
            stream: self.stream.clone(),
            node: self.core.node_id().clone(),
            keep: true,
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
            // Silence is no death: a frozen engine or a lost zone must not put
            // the request under the suspicion of having crashed it.
            Ok(Err(Error::NotSent(_))) | Err(_) => Err(End::Stalled),
            Ok(Err(error)) => Err(End::Failed(error)),
        }
    }

    /// The engine answers and does not know the stream. Where its process is
    /// the one that the owner told of, the connection broke before the engine
    /// read the request; else it died, perhaps of it. A report that is lost on
    /// its way tells neither.
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

    /// Reads one connection until the stream's end or a cut.
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

    /// Hands a piece on; a caller who takes nothing for too long is gone.
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
