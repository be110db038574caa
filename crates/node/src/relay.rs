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
use hickory_wire::message::Adoption;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// How often in a row a stream is taken up over a new connection without a
/// token in between. Middleboxes forget connections rarely; a stream that
/// stands still for longer has another cause. One that moves on costs its
/// engine nothing by a cut, while giving it up would cost the account a retry.
const RESUMES_MAX: u32 = 3;

/// How often an engine is asked which process it is.
const REPORTS_MAX: u32 = 3;

/// How much longer than expected a first token may take: the estimate knows
/// the queue, but not what a cold start or a lost cache costs.
const FIRST_TOKEN_FACTOR: u32 = 4;

/// How the relay of a stream ended.
#[derive(Clone, Debug)]
pub(crate) enum End {
    /// The answer is whole, with this many tokens.
    Whole(u64),
    /// The caller is gone.
    Gone,
    /// Another node serves the stream now.
    Taken,
    /// The deadline passed.
    Deadline,
    /// The stream does not move on, or the engine says nothing.
    Stalled,
    /// The engine's port is closed, or it runs anew without the stream.
    Died,
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
    pub(crate) first: Duration,
    pub(crate) out: &'a mpsc::Sender<Piece>,
    /// Tokens that the caller has been given.
    pub(crate) delivered: u64,
    /// When the first token of this relay came.
    pub(crate) first_token: Option<Instant>,
}

/// How long a first token may take where `expected` was estimated.
pub(crate) fn first_token_limit(core: &Core, expected: Duration) -> Duration {
    core.time(core.settings.times.progress_ms) + expected.saturating_mul(FIRST_TOKEN_FACTOR)
}

/// Why reading one connection ended without an end of the stream.
enum Cut {
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
            opened = tokio::time::timeout(self.first, opening) => opened,
            () = tokio::time::sleep_until(self.deadline.into()) => return Err(End::Deadline),
            () = self.out.closed() => return Err(End::Gone),
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
        let mut stood_still = 0;
        while stood_still < RESUMES_MAX {
            let before = self.delivered;
            let cut = match self.read(&mut tokens).await {
                Ok(end) => return end,
                Err(cut) => cut,
            };
            drop(tokens);
            tokens = match self.reopen().await {
                Ok(tokens) => tokens,
                Err(end) => return end,
            };
            stood_still = if self.delivered == before { stood_still + 1 } else { 0 };
            if matches!(cut, Cut::Silent) && stood_still > 0 && self.first_token.is_some() {
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
        for _ in 1..RESUMES_MAX {
            match self.reopen_once().await {
                Err(End::Failed(Error::Unknown(_))) => {}
                other => return other,
            }
        }
        self.reopen_once().await
    }

    /// Takes the stream up from what the caller has, over a new connection.
    async fn reopen_once(&mut self) -> Result<Tokens, End> {
        let limit = self.core.time(self.core.settings.times.progress_ms);
        let keep = Adoption {
            target: self.target.clone(),
            stream: self.stream.clone(),
            node: self.core.me().clone(),
            is_renewal: true,
        };
        let keeping = tokio::select! {
            keeping = permit::may_keep(self.core, keep, limit) => keeping,
            () = tokio::time::sleep_until(self.deadline.into()) => return Err(End::Deadline),
        };
        if !keeping {
            return Err(End::Taken);
        }
        let resume = self.core.targets.resume(self.address, self.stream, self.delivered);
        let resumed = tokio::select! {
            resumed = tokio::time::timeout(limit, resume) => resumed,
            () = tokio::time::sleep_until(self.deadline.into()) => return Err(End::Deadline),
            () = self.out.closed() => return Err(End::Gone),
        };
        match resumed {
            Ok(Ok(tokens)) => Ok(tokens),
            Ok(Err(Error::NotFound)) => Err(self.read_unknown().await),
            Ok(Err(Error::NotSent(_))) if is_port_closed(self.address).await => Err(End::Died),
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
    async fn read_unknown(&self) -> End {
        let known = self.core.view.state(self.target).map(|state| state.incarnation);
        for _ in 0..REPORTS_MAX {
            let report = tokio::select! {
                report = Engines::report(&self.core.targets, self.address) => report,
                () = tokio::time::sleep_until(self.deadline.into()) => return End::Deadline,
            };
            match report {
                Ok(report) if Some(report.incarnation) == known && self.first_token.is_none() => {
                    return End::Failed(Error::Refused("the engine never began".into()));
                }
                Ok(_) => return End::Died,
                Err(_) if is_port_closed(self.address).await => return End::Died,
                Err(_) => {}
            }
        }
        End::Stalled
    }

    /// Reads one connection until the stream's end or a cut.
    async fn read(&mut self, tokens: &mut Tokens) -> Result<End, Cut> {
        loop {
            let limit = match self.first_token {
                Some(_) => self.core.time(self.core.settings.times.progress_ms),
                None => self.first,
            };
            let event = tokio::select! {
                event = tokio::time::timeout(limit, tokens.next()) => event,
                () = tokio::time::sleep_until(self.deadline.into()) => return Ok(End::Deadline),
                () = self.out.closed() => return Ok(End::Gone),
            };
            match event.map_err(|_| Cut::Silent)? {
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
                    return Ok(End::Whole(count));
                }
                Some(Ok(Event::Failed { reason })) => {
                    return Ok(End::Failed(Error::Unknown(reason.into())));
                }
                Some(Ok(Event::Token { .. } | Event::End { .. })) => return Err(Cut::Broken),
                Some(Err(_)) | None => return Err(Cut::Broken),
            }
        }
    }

    /// Hands a piece on; a caller who takes nothing for too long is gone.
    async fn deliver(&mut self, piece: Piece) -> Option<End> {
        let limit = self.core.time(self.core.settings.times.progress_ms);
        let sent = tokio::select! {
            sent = tokio::time::timeout(limit, self.out.send(piece)) => sent,
            () = tokio::time::sleep_until(self.deadline.into()) => return Some(End::Deadline),
        };
        match sent {
            Ok(Ok(())) => {
                self.first_token.get_or_insert_with(|| self.core.now());
                self.delivered += 1;
                None
            }
            Ok(Err(_)) | Err(_) => Some(End::Gone),
        }
    }
}
