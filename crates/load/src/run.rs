//! Sends a workload in an open loop.
//!
//! Each request is sent at its planned time, whether earlier ones have been
//! answered or not, and its latency is measured from that time. An overloaded fleet
//! therefore can't reduce the load and make its latencies look better.

use crate::caller::{Call, Caller, Completion};
pub use crate::credential::Credential;
use crate::direct::Direct;
use crate::mix::{self, Class, Options, Request, Work};
use crate::outcome::{End, Failure, Kind, Outcome, Sample};
use crate::report::Report;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use uuid::Uuid;

/// Time before the intended send time at which the body of a request is built, so
/// that building a body of four megabytes doesn't count as latency.
const BODY_LEAD: Duration = Duration::from_millis(200);

/// Sends the workload to the fleet of the nodes at `entries` and returns the report of
/// the callers.
///
/// Blocks until every request has ended. May be called from inside or outside of
/// an async runtime.
pub fn run(
    options: Options,
    entries: Vec<SocketAddr>,
    credentials: Vec<Credential>,
) -> std::io::Result<Report> {
    let accounts: Vec<_> =
        credentials.iter().map(|credential| credential.account.clone()).collect();
    let samples = collect_samples(&options, entries, credentials)?;
    Ok(Report::from_samples(&options, &accounts, &samples))
}

/// Does the same as [`run()`], but returns the individual samples.
pub fn collect_samples(
    options: &Options,
    entries: Vec<SocketAddr>,
    credentials: Vec<Credential>,
) -> std::io::Result<Vec<Sample>> {
    let options = options.clone();
    // A separate thread, since a runtime can't be started inside another one.
    let driver = std::thread::spawn(move || -> std::io::Result<Vec<Sample>> {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        let route = Route::nodes(options.callers, &entries);
        Ok(runtime.block_on(send_workload(options, route, credentials)))
    });
    driver.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
}

/// The route of requests to the engines.
#[derive(Clone, Debug)]
pub enum Route {
    /// Through the nodes, by callers that each cache an entry address.
    Nodes(Vec<Arc<Caller>>),
    /// Directly to the engines, as a baseline. Supports only completions.
    Direct(Arc<Direct>),
}

impl Route {
    /// Creates a route through the fleet of the nodes at `entries`.
    pub fn nodes(callers: u32, entries: &[SocketAddr]) -> Self {
        let open = |index: u32| Arc::new(Caller::open(entries.to_vec(), index as usize));
        Self::Nodes((0..callers.max(1)).map(open).collect())
    }
}

/// Does the same as [`collect_samples`], on the current async runtime.
pub async fn send_workload(
    options: Options,
    route: Route,
    credentials: Vec<Credential>,
) -> Vec<Sample> {
    let plan = mix::plan_requests(&options, credentials.len());
    let options = Arc::new(options);
    let credentials = Arc::new(credentials);
    let start = Instant::now() + BODY_LEAD;
    let mut sent = JoinSet::new();
    let mut samples = Vec::with_capacity(plan.len());
    for request in plan {
        sleep_until(start + request.send_at - BODY_LEAD).await;
        while let Some(sample) = sent.try_join_next() {
            samples.extend(sample.ok());
        }
        let (options, credentials, route) = (options.clone(), credentials.clone(), route.clone());
        sent.spawn(
            async move { send_request(&options, request, &route, &credentials, start).await },
        );
    }
    samples.extend(sent.join_all().await);
    samples.sort_by_key(|sample| sample.send_at);
    samples
}

async fn send_request(
    options: &Options,
    request: Request,
    route: &Route,
    credentials: &[Credential],
    start: Instant,
) -> Sample {
    let token = credentials.get(request.account).map_or("", |credential| &credential.token);
    let intended = start + request.send_at;
    let (kind, class, outcome) = match request.work {
        Work::Completion { part, salt, hang_up } => {
            let prompt = mix::make_prompt(salt, part.length.tokens());
            let mut completion =
                Completion::for_prompt(token, &options.model, &prompt, part.max_tokens, part.class);
            completion.deadline = part.deadline;
            completion.hang_up = hang_up;
            completion.resends = options.resends;
            sleep_until(intended).await;
            let outcome = match route {
                Route::Nodes(callers) => {
                    pick_caller(callers, request).complete(&completion, intended).await
                }
                Route::Direct(direct) => direct.complete(&completion, prompt, intended).await,
            };
            (Kind::Completion(part.length), part.class, outcome)
        }
        Work::Call(index) => {
            sleep_until(intended).await;
            let outcome = match route {
                Route::Nodes(callers) => {
                    send_call(options, index, token, pick_caller(callers, request), intended).await
                }
                Route::Direct(_) => unsupported_call(),
            };
            (Kind::Call, Class::Interactive, outcome)
        }
    };
    Sample { send_at: request.send_at, kind, class, account: request.account, outcome }
}

fn pick_caller(callers: &[Arc<Caller>], request: Request) -> &Caller {
    &callers[request.caller as usize % callers.len()]
}

/// Returns the outcome of a call of a plain service on a baseline route, which
/// doesn't support calls.
fn unsupported_call() -> Outcome {
    Outcome::open(End::Failed(Failure::Unreachable))
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
