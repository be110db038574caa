//! Sends a workload in an open loop.
//!
//! A request is sent when the plan says so, whether earlier ones are answered
//! or not, and its times count from that moment: a fleet that falls behind
//! can't slow its own measurement down.

use crate::caller::{Call, Caller, Completion};
use crate::mix::{self, Class, Options, Request, Work};
use crate::outcome::{Kind, Outcome, Sample};
use crate::report::Report;
use hickory_unit::id;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use uuid::Uuid;

/// How long before its time the body of a request is made, so that making a
/// body of four megabytes doesn't count as waiting.
const BODY_LEAD: Duration = Duration::from_millis(200);

/// An account with its token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credential {
    /// The account.
    pub account: id::Account,
    /// The token.
    pub token: String,
}

/// Sends the workload to the fleet that any of `entries` belongs to, and sums
/// up what the callers saw.
///
/// Blocks until every request has ended; may be called with or without an
/// executor around.
pub fn run(
    options: Options,
    entries: Vec<SocketAddr>,
    tokens: Vec<Credential>,
) -> std::io::Result<Report> {
    let accounts: Vec<_> = tokens.iter().map(|token| token.account.clone()).collect();
    let samples = collect(&options, entries, tokens)?;
    Ok(Report::of(&options, &accounts, &samples))
}

/// As [`run()`], but gives every single outcome.
pub fn collect(
    options: &Options,
    entries: Vec<SocketAddr>,
    tokens: Vec<Credential>,
) -> std::io::Result<Vec<Sample>> {
    let options = options.clone();
    // A thread of its own: a runtime can't be entered from within another.
    let driver = std::thread::spawn(move || -> std::io::Result<Vec<Sample>> {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        Ok(runtime.block_on(drive(options, entries, tokens)))
    });
    driver.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}

/// As [`collect`], on the current executor.
pub async fn drive(
    options: Options,
    entries: Vec<SocketAddr>,
    tokens: Vec<Credential>,
) -> Vec<Sample> {
    let plan = mix::plan_requests(&options, tokens.len());
    let options = Arc::new(options);
    let tokens = Arc::new(tokens);
    let callers: Vec<_> = (0..options.callers.max(1) as usize)
        .map(|index| Arc::new(Caller::open(entries.clone(), index)))
        .collect();
    let start = Instant::now() + BODY_LEAD;
    let mut sent = JoinSet::new();
    let mut samples = Vec::with_capacity(plan.len());
    for request in plan {
        sleep_until(start + request.at - BODY_LEAD).await;
        while let Some(sample) = sent.try_join_next() {
            samples.extend(sample.ok());
        }
        let caller = callers[request.caller as usize % callers.len()].clone();
        let (options, tokens) = (options.clone(), tokens.clone());
        sent.spawn(async move { send_request(&options, request, &caller, &tokens, start).await });
    }
    samples.extend(sent.join_all().await);
    samples.sort_by_key(|sample| sample.at);
    samples
}

async fn send_request(
    options: &Options,
    request: Request,
    caller: &Caller,
    tokens: &[Credential],
    start: Instant,
) -> Sample {
    let token = tokens.get(request.account).map_or("", |token| &token.token);
    let intended = start + request.at;
    let (kind, class, outcome) = match request.work {
        Work::Completion { part, salt, hang_up } => {
            let prompt = mix::write_prompt(salt, part.length.tokens());
            let mut ask =
                Completion::of_prompt(token, &options.model, &prompt, part.max_tokens, part.class);
            drop(prompt);
            ask.deadline = part.deadline;
            ask.hang_up = hang_up;
            ask.resends = options.resends;
            sleep_until(intended).await;
            (Kind::Completion(part.length), part.class, caller.complete(&ask, intended).await)
        }
        Work::Call(index) => {
            sleep_until(intended).await;
            (
                Kind::Call,
                Class::Interactive,
                send_call(options, index, token, caller, intended).await,
            )
        }
    };
    Sample { at: request.at, kind, class, account: request.account, outcome }
}

async fn send_call(
    options: &Options,
    index: usize,
    token: &str,
    caller: &Caller,
    intended: Instant,
) -> Outcome {
    let calls = &options.calls[index];
    let call = Call {
        token: token.into(),
        path: format!("/{}{}", calls.service, calls.path),
        body: format!("{{\"line\":{}}}", StdRng::from_os_rng().random::<u32>()),
        key: calls.once.then(|| Uuid::now_v7().to_string()),
        deadline: calls.deadline,
        resends: options.resends,
    };
    caller.call(&call, intended).await
}

async fn sleep_until(at: Instant) {
    tokio::time::sleep_until(at.into()).await;
}
