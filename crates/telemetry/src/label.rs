//! The label values of the metrics, as enums.
//!
//! The set of values is fixed at compile time. Every series is therefore
//! exported from the start with the value zero, and a caller's input can't
//! create a series.

use hickory_unit::size;

macro_rules! labels {
    ($(
        $(#[$doc:meta])* $name:ident { $($(#[$value_doc:meta])* $value:ident = $text:literal,)* }
    )*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
        pub enum $name {
            $($(#[$value_doc])* #[display($text)] $value,)*
        }

        impl $name {
            /// All values, in the order of their discriminants.
            pub const ALL: &[Self] = &[$(Self::$value),*];
        }
    )*};
}

labels! {
    /// A prompt length class: the nearest power of ten on a logarithmic scale.
    Length {
        /// Up to 3,162 tokens.
        Thousand = "1k",
        /// Up to 31,622 tokens.
        TenThousand = "10k",
        /// Up to 316,227 tokens.
        HundredThousand = "100k",
        /// More than 316,227 tokens.
        Million = "1m",
    }

    /// The kind of a caller's request.
    Work {
        /// A completion.
        Completion = "completion",
        /// The resumption of an interrupted stream.
        Resume = "resume",
        /// A call to a service replica.
        Service = "service",
    }

    /// The node that chose the targets of a request.
    Decider {
        /// The owner of the target group.
        Owner = "owner",
        /// The owner's successor, because the owner did not respond.
        Successor = "successor",
        /// The node that received the request, because neither the owner nor
        /// the successor responded.
        Requester = "alone",
    }

    /// A call to the platform.
    Call {
        /// Reads one key.
        Get = "get",
        /// Lists the keys under a prefix.
        List = "list",
        /// Writes a key by compare-and-swap.
        Write = "write",
        /// Watches a prefix for changes.
        Watch = "watch",
        /// Creates a lease.
        Grant = "grant",
        /// Renews a lease.
        Renew = "renew",
        /// Revokes a lease.
        Revoke = "revoke",
        /// Reads the host list.
        Hosts = "hosts",
        /// Reads the load limit of the weight store.
        Limit = "limit",
    }

    /// The result of a call to the platform.
    Outcome {
        /// The call succeeded.
        Done = "done",
        /// The condition of a compare-and-swap did not hold.
        Conflict = "conflict",
        /// The call failed and had no effect.
        NotDone = "not_done",
        /// No response arrived; the call may have taken effect.
        Unknown = "unknown",
        /// The lease had expired.
        LeaseLapsed = "lease_lapsed",
    }

    /// A change of a target's ownership at this node.
    Ownership {
        /// This node became the owner.
        Gained = "gained",
        /// This node released the ownership.
        Released = "released",
        /// Another node took the ownership over.
        Lost = "lost",
    }

    /// The owner's answer to a permit request.
    Permit {
        /// The requester may send at once.
        Granted = "granted",
        /// The request was queued.
        Queued = "queued",
        /// The requester may not send.
        Refused = "refused",
    }

    /// A resource on a target that was released because it no longer had a caller.
    Orphan {
        /// A stream.
        Stream = "stream",
        /// An imported or exported KV cache.
        Cache = "cache",
        /// A pinned prefix.
        Prefix = "prefix",
    }

    /// The result of claiming a call that must run at most once.
    Claim {
        /// The claim was written; the call may be sent.
        Claimed = "won",
        /// The call was already claimed.
        AlreadyClaimed = "held",
        /// The claim could not be written; the call never runs under this key.
        NotDone = "not_done",
        /// It is unknown whether the call already ran under this key.
        Unknown = "unknown",
    }

    /// The result of an order to an engine.
    Order {
        /// The engine confirmed the order.
        Confirmed = "confirmed",
        /// The engine rejected the fencing epoch.
        Fenced = "fenced",
        /// The order failed or got no response.
        Failed = "failed",
    }

    /// The result of a document transfer between nodes.
    Fetch {
        /// A document was sent to a peer.
        Sent = "given",
        /// A peer's request was rejected because the link was busy.
        Rejected = "turned_away",
        /// A document was received from a peer.
        Received = "taken",
        /// The requested peer was busy.
        Busy = "busy",
        /// The requested peer did not respond, or the transfer broke off.
        Failed = "failed",
    }

    /// The content of a datagram.
    Datagram {
        /// Probes of nodes and changes of the membership table.
        Membership = "membership",
        /// Records of nodes for a node that lacks them.
        Members = "members",
        /// Placement requests and their answers.
        Placement = "placement",
        /// What runs on targets.
        Allocation = "allocation",
        /// The revision of the sender's items.
        Revision = "revision",
        /// Findings about targets and requests.
        Finding = "finding",
    }

    /// The result of asking a peer for a connection to a target.
    Relay {
        /// The peer connected to the target.
        Connected = "connected",
        /// The target refuses connections from the peer too.
        Refused = "refused",
        /// The peer couldn't connect, or couldn't be reached.
        Unavailable = "unavailable",
        /// The peer connected and fell silent later.
        Silent = "silent",
    }

    /// The direction of a document transfer.
    TransferDirection {
        /// To a peer.
        Sent = "given",
        /// From a peer.
        Received = "taken",
    }

    /// Who sent something that this node can't use.
    Sender {
        /// A target, in its answer.
        Target = "target",
        /// A peer, in a datagram.
        Peer = "peer",
        /// The store, in an item.
        Store = "store",
    }

    /// The direction of tokens.
    TokenDirection {
        /// Prompt tokens received.
        Prompt = "prompt",
        /// Answer tokens relayed to callers.
        Answer = "answer",
    }
}

impl Length {
    /// Returns the length class of a prompt.
    pub fn of(prompt: size::Tokens) -> Self {
        match prompt.0 {
            0..=3_162 => Self::Thousand,
            3_163..=31_622 => Self::TenThousand,
            31_623..=316_227 => Self::HundredThousand,
            _ => Self::Million,
        }
    }
}
