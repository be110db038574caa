//! The content of datagrams between nodes, and its encoding.
//!
//! A datagram is followed by its extensions: events that older versions don't know. Older versions
//! ignore these bytes, and a version that doesn't know one of the events skips it. If the datagram
//! holds replies, the incarnation of the node that they are for follows.

use crate::capacity::StatedLoad;
use crate::crash_event::{PartCrash, PartQuarantine};
use crate::health::StatedCold;
use crate::leave::StatedLeave;
use crate::ledger::{Allocation, AllocationId};
use crate::placement::{Answer, Origin, PlannedStart, Request};
use crate::rate_limit::StatedRate;
use crate::trial::{TrialAnswer, TrialRequest};
use crate::view::Tag;
use hickory_policy::gossip::Message;
use hickory_policy::part::Part;
use hickory_store::store::Revision;
use hickory_telemetry::label::Datagram as Content;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum datagram size, which passes all links without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// One event of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Event {
    /// A message of the membership protocol.
    Member(Message),
    /// A placement request.
    Request(AllocationId, Request),
    /// The answer to a placement request.
    Answer(AllocationId, Answer),
    /// A request was placed, or is still running.
    Placed(AllocationId, Allocation),
    /// A request's first token arrived.
    FirstToken(AllocationId),
    /// A request ended, or its placement request was withdrawn.
    Ended(AllocationId),
    /// A target served or failed a request.
    Outcome { target: Tag, served: bool },
    /// A target refused the connection.
    Down(Tag),
    /// A target refused to prefill a part of a prompt for another target.
    PrefillRefused(Tag),
    /// A request was running when a target died. Sent by older versions only.
    PoisonSuspect { fingerprint: u64, deaths: u32 },
    /// A node has the operators' data up to this revision.
    OperatorRevision { node: id::Node, revision: Revision },
    /// A target stated its request rate. An extension.
    RateLimit(StatedRate),
    /// A target stated that it leaves, or doesn't any more. An extension.
    Leaving(StatedLeave),
    /// A target asks the receiver for rest, in an answer that the receiver relayed. An extension.
    Rest(Tag, #[serde(deserialize_with = "hickory_unit::bounded::time")] Duration),
    /// An engine crashed under a prompt. An extension, sent by older versions only.
    PartCrash(PartCrash),
    /// Answers on these parts of prompts were written, which began this long ago. An extension.
    PartsSound(Vec<Part>, #[serde(deserialize_with = "hickory_unit::bounded::time")] Duration),
    /// Parts are about to be quarantined unless they are known to be sound. An extension.
    PartProposal(PartQuarantine),
    /// Prompts that contain these parts are refused. An extension.
    PartQuarantine(PartQuarantine),
    /// A target stated that it is cold, or isn't any more. An extension.
    Cold(StatedCold),
    /// A target crashed under a request, whose whole is identified. An extension.
    Crash(PartCrash, Part),
    /// Where a placement request comes from. An extension.
    Origin(AllocationId, Origin),
    /// The planned start of a queued prompt. An extension.
    Planned(AllocationId, PlannedStart),
    /// A target reported its load. An extension.
    Load(StatedLoad),
    /// A target may have crashed under a request, whose whole is identified. An extension.
    PossibleCrash(PartCrash, Part),
    /// One target ran the whole answer to a request: the request, a hash of the attempt's id, and the time
    /// since the answer began. An extension.
    WholeAnswer(Part, u64, #[serde(deserialize_with = "hickory_unit::bounded::time")] Duration),
    /// The sender asks to try a suspect request. An extension.
    TrialRequest(TrialRequest),
    /// The answer to it: the request, and whether the attempt is resumed. An extension.
    TrialAnswer(Part, bool, TrialAnswer),
    /// The trial of an attempt has ended: the request, and a hash of the attempt's id. An extension.
    TrialEnded(Part, u64),
    /// A suspect request was answered by one target as a whole, which began this long ago. An extension.
    TrialPassed(Part, #[serde(deserialize_with = "hickory_unit::bounded::time")] Duration),
}

impl Event {
    /// Returns whether the event is an extension, which older versions don't know.
    fn is_extension(&self) -> bool {
        matches!(
            self,
            Self::RateLimit(_)
                | Self::Leaving(_)
                | Self::Rest(..)
                | Self::PartCrash(_)
                | Self::PartsSound(..)
                | Self::PartProposal(_)
                | Self::PartQuarantine(_)
                | Self::Cold(_)
                | Self::Crash(..)
                | Self::Origin(..)
                | Self::Planned(..)
                | Self::Load(_)
                | Self::PossibleCrash(..)
                | Self::WholeAnswer(..)
                | Self::TrialRequest(..)
                | Self::TrialAnswer(..)
                | Self::TrialEnded(..)
                | Self::TrialPassed(..)
        )
    }

    /// Returns the content under which a datagram with this first event is counted.
    pub(crate) fn content(&self) -> Content {
        match self {
            Self::Member(Message::Members(_)) => Content::Members,
            Self::Member(_) => Content::Membership,
            Self::Request(..) | Self::Answer(..) | Self::Origin(..) | Self::Planned(..) => {
                Content::Placement
            }
            Self::Placed(..) | Self::FirstToken(_) | Self::Ended(_) => Content::Allocation,
            Self::OperatorRevision { .. } => Content::Revision,
            Self::Outcome { .. }
            | Self::Down(_)
            | Self::PrefillRefused(_)
            | Self::PoisonSuspect { .. }
            | Self::RateLimit(_)
            | Self::Leaving(_)
            | Self::Rest(..)
            | Self::PartCrash(_)
            | Self::PartsSound(..)
            | Self::PartProposal(_)
            | Self::PartQuarantine(_)
            | Self::Cold(_)
            | Self::Crash(..)
            | Self::Load(_)
            | Self::PossibleCrash(..)
            | Self::WholeAnswer(..)
            | Self::TrialRequest(..)
            | Self::TrialAnswer(..)
            | Self::TrialEnded(..)
            | Self::TrialPassed(..) => Content::Finding,
        }
    }
}

/// An event and its destination; without an event, only the sender's revisions are sent.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) to: SocketAddr,
    /// The only incarnation that may handle the event; any if `None`.
    pub(crate) recipient: Option<id::Incarnation>,
    pub(crate) event: Option<Event>,
}

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Datagram {
    pub(crate) node: id::Node,
    pub(crate) incarnation: id::Incarnation,
    /// The newest revision of the operators' data that the node has.
    pub(crate) operator_revision: Revision,
    /// The newest revision of the targets' entries that the node has.
    pub(crate) targets_revision: Revision,
    pub(crate) events: Vec<Event>,
    /// Whether the sender's version knows extensions.
    #[serde(skip)]
    pub(crate) has_extensions: bool,
    /// The only incarnation of the receiver that may handle the events; any if `None`. Older
    /// versions state none.
    #[serde(skip)]
    pub(crate) recipient: Option<id::Incarnation>,
}

/// Decodes a datagram and its extensions.
pub(crate) fn decode(bytes: &[u8]) -> Result<Datagram, postcard::Error> {
    let (mut datagram, rest) = postcard::take_from_bytes::<Datagram>(bytes)?;
    if !rest.is_empty() {
        let (extensions, rest) = postcard::take_from_bytes::<Vec<Vec<u8>>>(rest)?;
        datagram.events.extend(extensions.iter().filter_map(|bytes| decode_extension(bytes)));
        datagram.has_extensions = true;
        if !rest.is_empty() {
            datagram.recipient = Some(postcard::from_bytes(rest)?);
        }
    }
    Ok(datagram)
}

fn decode_extension(bytes: &[u8]) -> Option<Event> {
    let event = postcard::from_bytes(bytes);
    event.inspect_err(|error| log::debug!("unknown extension of a datagram: {error}")).ok()
}

fn encode_extensions(events: &[Event]) -> Result<Vec<u8>, postcard::Error> {
    let extensions: Vec<Vec<u8>> =
        events.iter().map(postcard::to_stdvec).collect::<Result<_, _>>()?;
    postcard::to_stdvec(&extensions)
}

/// Encodes as many of a datagram's events as fit, and returns the other events.
pub(crate) fn encode(mut datagram: Datagram) -> Result<(Vec<u8>, Vec<Event>), postcard::Error> {
    let (mut extensions, events): (Vec<Event>, Vec<Event>) =
        datagram.events.into_iter().partition(Event::is_extension);
    datagram.events = events;
    let mut left = Vec::new();
    loop {
        let mut bytes = postcard::to_stdvec(&datagram)?;
        bytes.extend(encode_extensions(&extensions)?);
        if let Some(recipient) = &datagram.recipient {
            bytes.extend(postcard::to_stdvec(recipient)?);
        }
        if bytes.len() <= MAX_DATAGRAM_BYTES || datagram.events.len() + extensions.len() <= 1 {
            return Ok((bytes, left));
        }
        let longer = match extensions.len() > datagram.events.len() {
            true => &mut extensions,
            false => &mut datagram.events,
        };
        let mut rest = longer.split_off(longer.len() / 2);
        rest.append(&mut left);
        left = rest;
    }
}
