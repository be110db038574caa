//! Crashes, answers and quarantines as nodes send them to each other. Times are sent as ages, since the
//! clocks of nodes differ.

use crate::datagram::Event;
use crate::view::Tag;
use hickory_policy::answer::Answer;
use hickory_policy::crash::Certainty;
use hickory_policy::part::{Crash, Part, Quarantine};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// A crash of an engine under a prompt, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PartCrash {
    target: Tag,
    request: u64,
    parts: Vec<Part>,
    /// The time since the request was sent to the engine.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    sent_age: Duration,
    /// The time since the engine crashed.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub(crate) crash_age: Duration,
}

impl PartCrash {
    pub(crate) fn new(now: Instant, crash: &Crash<Tag>) -> Self {
        Self {
            target: crash.target,
            request: crash.request,
            parts: crash.parts.clone(),
            sent_age: now.saturating_duration_since(crash.sent_at),
            crash_age: now.saturating_duration_since(crash.crashed_at),
        }
    }

    pub(crate) fn crash(
        self,
        now: Instant,
        whole: Option<Part>,
        certainty: Certainty,
    ) -> Crash<Tag> {
        Crash {
            target: self.target,
            request: self.request,
            parts: self.parts,
            whole,
            sent_at: before(now, self.sent_age),
            crashed_at: before(now, self.crash_age),
            certainty,
        }
    }
}

/// A quarantine, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PartQuarantine {
    parts: Vec<Part>,
    /// The time since the first crash that counted.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    first_crash_age: Duration,
    /// The time since the last crash that counted.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    last_crash_age: Duration,
}

impl PartQuarantine {
    pub(crate) fn new(now: Instant, quarantine: &Quarantine) -> Self {
        Self {
            parts: quarantine.parts.clone(),
            first_crash_age: now.saturating_duration_since(quarantine.first_crash),
            last_crash_age: now.saturating_duration_since(quarantine.last_crash),
        }
    }

    pub(crate) fn quarantine(self, now: Instant) -> Quarantine {
        Quarantine {
            parts: self.parts,
            first_crash: before(now, self.first_crash_age),
            last_crash: before(now, self.last_crash_age),
        }
    }
}

/// Returns the time that was this long ago, as stated by another node.
pub(crate) fn before(now: Instant, age: Duration) -> Instant {
    now.checked_sub(age).unwrap_or(now)
}

/// Writes a crash as the event that states how certain it is.
pub(crate) fn write_crash(stated: PartCrash, whole: Option<Part>, certainty: Certainty) -> Event {
    match (whole, certainty) {
        (Some(whole), Certainty::Likely) => Event::Crash(stated, whole),
        (Some(whole), Certainty::Possible) => Event::PossibleCrash(stated, whole),
        (None, _) => Event::PartCrash(stated),
    }
}

/// Writes an answer to a whole request.
pub(crate) fn write_answer(now: Instant, answer: Answer) -> Event {
    let age = now.saturating_duration_since(answer.began_at);
    Event::WholeAnswer(answer.whole, answer.request, age)
}
