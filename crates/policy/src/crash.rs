//! What follows from a connection that failed while a target held a request.
//!
//! Load pattern: paths between nodes and targets are cut one after the other, with resets, under
//! requests that many callers repeat, while other targets crash under requests that they run. Both
//! break connections, and new ones are refused. The table of all cases and their consequences is in
//! `docs/design/crash-evidence.md`.

/// How a connection to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The target's host closed it, so the path worked until then.
    Closed,
    /// It was reset, or timed out. The path may be at fault.
    Broken,
    /// The relay that forwarded it fell silent. Nothing is known of the target.
    RelaySilent,
}

/// What new connections to the target meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// This node's own are accepted.
    Accepted,
    /// A peer's are accepted, and this node's own aren't.
    AcceptedByPeer,
    /// This node's own and those of a peer that reaches other targets are refused.
    Refused,
    /// This node's own and those of a peer are refused, and neither reaches other targets.
    RefusedLikeOthers,
    /// This node's own fail, and no peer can tell.
    Unconfirmed,
    /// No answer came in time.
    Unanswered,
}

/// What the target's entry says of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It still names the process that held the request.
    Same,
    /// It names the process, which is about to end.
    Leaving,
    /// Another process has taken its place.
    Replaced,
}

/// How far the answer had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Nothing of it had arrived, so that the target may never have received the request.
    Sent,
    /// It had begun.
    Begun,
    /// It had been written for longer than most engines take to crash under a part of a prompt.
    Written,
}

/// What is known when a connection has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How the connection ended.
    pub ending: Ending,
    /// What new connections meet.
    pub reach: Reach,
    /// What the entry says.
    pub entry: Entry,
    /// How far the answer had come.
    pub progress: Progress,
}

/// Why the connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The process ended under the request.
    Crash,
    /// The process ended as it had announced.
    Leave,
    /// The process ended, or the paths of all nodes to it are cut.
    CrashOrPath,
    /// A path is cut.
    Path,
    /// The target failed the request and runs on, or is silent.
    Target,
}

/// How much a crash counts against the requests that were lost with the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Certainty {
    /// It may have had another cause.
    Possible,
    /// The target ended, and its requests are the most likely cause.
    Likely,
}

/// What follows from a failed connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Why it failed.
    pub cause: Cause,
    /// How much it counts against the whole request as a crash; `None` if it doesn't.
    pub against_request: Option<Certainty>,
    /// Whether it counts as a crash against the parts of the prompt as well.
    pub is_against_parts: bool,
    /// Whether the target is reported as refusing connections.
    pub is_refusing: bool,
    /// Whether the send counts against the route's limit of targets in any case. Otherwise the first
    /// such send of a request doesn't.
    pub is_counted: bool,
}

/// Decides what follows from a failed connection.
pub fn judge(finding: Finding) -> Verdict {
    let cause = find_cause(finding);
    let against_request = match cause {
        Cause::Crash if finding.progress < Progress::Written => Some(Certainty::Likely),
        // Long streams meet crashes that they don't cause more often than short ones.
        Cause::Crash | Cause::CrashOrPath => Some(Certainty::Possible),
        Cause::Leave | Cause::Path | Cause::Target => None,
    };
    let has_ended = matches!(cause, Cause::Crash | Cause::Leave | Cause::CrashOrPath);
    Verdict {
        cause,
        against_request,
        is_against_parts: against_request.is_some() && finding.progress < Progress::Written,
        is_refusing: has_ended && finding.reach == Reach::Refused,
        is_counted: !has_ended || cause != Cause::Leave && finding.progress > Progress::Sent,
    }
}

fn find_cause(finding: Finding) -> Cause {
    match (finding.entry, finding.reach, finding.ending) {
        (_, _, Ending::RelaySilent) => Cause::Path,
        (Entry::Replaced, ..) => Cause::Crash,
        (Entry::Leaving, Reach::Refused | Reach::RefusedLikeOthers, _) => Cause::Leave,
        (_, Reach::Refused, Ending::Closed) => Cause::Crash,
        (_, Reach::Refused, Ending::Broken) => Cause::CrashOrPath,
        (_, Reach::RefusedLikeOthers, Ending::Closed) => Cause::CrashOrPath,
        (_, Reach::RefusedLikeOthers, Ending::Broken) => Cause::Path,
        // No cut path closes a connection, and while a small service is down no node can tell.
        (Entry::Same, Reach::Unconfirmed, Ending::Closed) => Cause::CrashOrPath,
        (_, Reach::AcceptedByPeer | Reach::Unconfirmed, _) => Cause::Path,
        (_, Reach::Accepted | Reach::Unanswered, _) => Cause::Target,
    }
}
