//! The label values of the metrics, as types.
//!
//! Each value is known when the process starts, so that each series shows
//! from the beginning, at zero, and none can be made by a caller's input.

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
    /// The length of a prompt, to the nearest power of ten.
    Length {
        /// Up to 3,162 tokens.
        Thousand = "1k",
        /// Up to 31,622 tokens.
        TenThousand = "10k",
        /// Up to 316,227 tokens.
        HundredThousand = "100k",
        /// More.
        Million = "1m",
    }

    /// What a caller asks for.
    Work {
        /// A completion.
        Completion = "completion",
        /// A stream taken up again.
        Resume = "resume",
        /// A call of a plain service.
        Service = "service",
    }

    /// Who chose the targets of a request.
    Decider {
        /// The owner of their group.
        Owner = "owner",
        /// The owner's successor, as the owner was silent.
        Successor = "successor",
        /// The request's own node, as both were silent.
        Requester = "alone",
    }

    /// A call to the platform.
    Call {
        /// Read of a key.
        Get = "get",
        /// Read of a prefix.
        List = "list",
        /// Compare-and-swap.
        Write = "write",
        /// Watch.
        Watch = "watch",
        /// A lease is opened.
        Grant = "grant",
        /// A lease is renewed.
        Renew = "renew",
        /// A lease is ended.
        Revoke = "revoke",
        /// Read of the host list.
        Hosts = "hosts",
        /// Read of the weight store's limit.
        Limit = "limit",
    }

    /// How a call to the platform ended.
    Outcome {
        /// It was done.
        Done = "done",
        /// The condition did not hold.
        Conflict = "conflict",
        /// It certainly had no effect.
        NotDone = "not_done",
        /// No answer came; it may have had an effect.
        Unknown = "unknown",
        /// The lease had lapsed.
        LeaseLapsed = "lease_lapsed",
    }

    /// How the ownership of a target changed at this node.
    Ownership {
        /// This node became the owner.
        Gained = "gained",
        /// This node handed it over.
        Released = "released",
        /// Another node took it.
        Lost = "lost",
    }

    /// The answer to an ask for a permit, at the owner.
    Permit {
        /// It may send.
        Granted = "granted",
        /// It waits in the queue first.
        Queued = "queued",
        /// It may not send.
        Refused = "refused",
    }

    /// What a sweep found without a caller, and released.
    Orphan {
        /// A stream.
        Stream = "stream",
        /// An imported or exported KV cache.
        Cache = "cache",
        /// A pinned prefix.
        Prefix = "prefix",
    }

    /// How a claim for a call that must run at most once ended.
    Claim {
        /// It was written; the call may be sent.
        Won = "won",
        /// The same call was claimed before.
        Held = "held",
        /// It could not be written; the call never runs under this key.
        NotDone = "not_done",
        /// Nobody can tell whether the call ran under this key before.
        Unknown = "unknown",
    }

    /// An order to an engine.
    Order {
        /// It was confirmed.
        Confirmed = "confirmed",
        /// The engine refused the fencing number.
        Fenced = "fenced",
        /// It failed or got no answer.
        Failed = "failed",
    }

    /// What came of documents that nodes ask each other for.
    Fetch {
        /// Given to a peer.
        Sent = "given",
        /// A peer was turned away, since the link was busy.
        Rejected = "turned_away",
        /// Taken from a peer.
        Received = "taken",
        /// A peer that was asked was busy.
        Busy = "busy",
        /// A peer gave no answer, or broke off.
        Failed = "failed",
    }

    /// The way of a document's bytes.
    TransferDirection {
        /// To a peer.
        Sent = "given",
        /// From a peer.
        Received = "taken",
    }

    /// The way of a token.
    TokenDirection {
        /// Prompt tokens received.
        Prompt = "prompt",
        /// Tokens of answers relayed.
        Answer = "answer",
    }
}

impl Length {
    /// The class of a prompt.
    pub fn of(prompt: size::Tokens) -> Self {
        match prompt.0 {
            0..=3_162 => Self::Thousand,
            3_163..=31_622 => Self::TenThousand,
            31_623..=316_227 => Self::HundredThousand,
            _ => Self::Million,
        }
    }
}
