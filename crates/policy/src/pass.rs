//! When an engine begins to read a further prompt.
//!
//! Load: short prompts are packed, and several nodes send to one engine within
//! a pass of it. An engine that writes reads what is there at the beginning of a
//! pass, all of it, and then writes a stride; what comes meanwhile is read in the
//! next one. Harm prevented: by a backlog that drains evenly, six prompts that
//! wait for the end of a pass look as if half of them were read, further ones
//! are sent after them, and all are late by the whole pass.

use crate::engine::Profile;
use hickory_unit::size::Tokens;
use std::time::{Duration, Instant};

/// The least that an engine still has to read where it should be done and no
/// first token has come, as a part of what was placed.
const OVERDUE_PART: u32 = 5;

/// How long after an engine should have read all the first token may still be on
/// its way: a stride, and the way to its node and from there to this one.
const OVERDUE_AFTER: Duration = Duration::from_millis(100);

/// Strides after which a pass that was known to end tells nothing more: each is
/// estimated to a few per cent.
const KNOWN_STRIDES: u32 = 8;

/// A part that an engine was sent and whose first token has not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Read {
    /// When it was sent.
    pub placed: Instant,
    /// The time to read it.
    pub part: Duration,
}

/// What is known of an engine's passes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// What it has to read.
    pub reads: Vec<Read>,
    /// Streams that it writes.
    pub writers: u32,
    /// Their context.
    pub context: Tokens,
    /// When a pass of it was last known to end.
    pub ended: Option<Instant>,
}

/// What an engine has to do before a further prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Time to read what was placed and is not read.
    pub unread: Duration,
    /// Time until a further prompt is read: the pass that runs, and what is
    /// read before the prompt in the next one.
    pub begins: Duration,
}

impl Engine {
    /// What it has to do at this moment.
    pub fn backlog(&mut self, now: Instant, profile: &Profile) -> Backlog {
        self.reads.sort_unstable();
        match self.writers {
            0 => self.drain(now),
            _ => self.follow_passes(now, profile),
        }
    }

    /// An engine that does nothing else reads without a pause.
    fn drain(&self, now: Instant) -> Backlog {
        let mut done = now;
        for (place, read) in self.reads.iter().enumerate() {
            done = if place == 0 { read.placed } else { done.max(read.placed) } + read.part;
        }
        let unread = match now > done + OVERDUE_AFTER {
            true => self.overdue(),
            false => done.saturating_duration_since(now),
        };
        Backlog { unread, begins: unread }
    }

    /// What is left where an engine is slower than it should be.
    fn overdue(&self) -> Duration {
        self.reads.iter().map(|read| read.part / OVERDUE_PART).sum()
    }

    /// Follows the passes from the last one that is known to have ended.
    fn follow_passes(&self, now: Instant, profile: &Profile) -> Backlog {
        let stride = profile.pass_time(self.writers, self.context);
        let oldest = self.reads.first().map(|read| read.placed);
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < stride * KNOWN_STRIDES;
        let Some(mut end) = self.ended.filter(is_recent).or(oldest) else {
            return Backlog { unread: Duration::ZERO, begins: stride / 2 };
        };
        let mut rest = self.reads.as_slice();
        let mut last_read = None;
        loop {
            let (read, later) = rest.split_at(rest.partition_point(|read| read.placed <= end));
            let reading: Duration = read.iter().map(|read| read.part).sum();
            end += reading + stride;
            rest = later;
            if !read.is_empty() {
                last_read = Some(end);
            }
            if end > now {
                break;
            }
        }
        let pending: Duration = rest.iter().map(|read| read.part).sum();
        let begins = end - now + pending;
        let unread = match last_read {
            _ if !rest.is_empty() => begins,
            Some(at) if at > now => at - now,
            Some(at) if now > at + OVERDUE_AFTER => self.overdue(),
            _ => Duration::ZERO,
        };
        Backlog { unread, begins: begins.max(unread) }
    }
}
