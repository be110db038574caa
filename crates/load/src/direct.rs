//! The baseline policies, which send requests to the engines directly, without
//! the serving layer.
//!
//! Each engine has its own first-in, first-out queue. The baselines differ in how
//! they choose an engine: round robin, or the least loaded one by its last
//! report, which may be out of date.

use crate::caller::Completion;
use crate::content::Check;
use crate::fleet::{self, Policy};
use crate::outcome::{End, Failure, LATE_TOLERANCE, Outcome, Refused};
use futures::StreamExt;
use hickory_policy::refuse::{Ran, Reason};
use hickory_target::Error;
use hickory_target::engine::{Engines, Event, Generate, Priority, Report, Weights};
use hickory_target::http::Targets;
use hickory_unit::clock::{Clock, System};
use hickory_unit::{id, size};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Poll interval for the engines' reports, the same as a node's default.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of calls to an engine other than streams.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client that sends requests directly to the engines.
#[derive(Debug)]
pub struct Direct {
    policy: Policy,
    engines: Vec<SocketAddr>,
    targets: Targets,
    next: AtomicUsize,
    /// The load of each engine by its last report: prompt tokens left to prefill,
    /// then KV cache in use.
    loads: Mutex<Vec<(u64, u64)>>,
}

impl Direct {
    /// Creates a baseline client of `engines`. The least-loaded policy polls their
    /// reports until the client is dropped.
    pub fn spawn(policy: Policy, engines: Vec<SocketAddr>) -> Arc<Self> {
        let loads = Mutex::new(vec![(0, 0); engines.len()]);
        let targets = Targets::open(CALL_TIMEOUT);
        let direct = Arc::new(Self { policy, engines, targets, next: AtomicUsize::new(0), loads });
        if policy == Policy::LeastLoaded {
            tokio::spawn(poll_reports(Arc::downgrade(&direct)));
        }
        direct
    }

    /// Requests a completion from an engine. Latencies are measured from `intended`.
    pub async fn complete(
        &self,
        completion: &Completion,
        prompt: String,
        intended: Instant,
    ) -> Outcome {
        let mut outcome = Outcome::open(End::Unanswered);
        let engine = self.choose_engine();
        let generate = self.make_generate_request(completion, prompt);
        let limit = tokio::time::Instant::from_std(intended + completion.deadline);
        let read = self.read_answer(engine, &generate, completion, intended, &mut outcome);
        let end = tokio::time::timeout_at(limit, read).await;
        outcome.end = end.unwrap_or_else(|_| deadline_passed());
        if outcome.end != End::Whole {
            // The engine must not spend time on a request that has no caller any more.
            self.targets.cancel(engine, &generate.stream).await.ok();
        }
        outcome.latency = intended.elapsed();
        if outcome.end == End::Whole && outcome.latency > completion.deadline + LATE_TOLERANCE {
            outcome.end = End::Late;
        }
        outcome
    }

    fn choose_engine(&self) -> SocketAddr {
        let next = self.next.fetch_add(1, Ordering::Relaxed) % self.engines.len();
        let index = match self.policy {
            Policy::Fair | Policy::Fifo => next,
            Policy::LeastLoaded => self.least_loaded_engine(next),
        };
        self.engines[index]
    }

    /// Returns the index of the least loaded engine. Ties are broken round robin.
    fn least_loaded_engine(&self, next: usize) -> usize {
        let loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let order = (0..loads.len()).map(|step| (next + step) % loads.len());
        order.min_by_key(|index| loads[*index]).unwrap_or(next)
    }

    /// Updates the loads from the reports. An engine that didn't answer keeps its
    /// previous load.
    fn update_loads(&self, reports: &[Result<Report, Error>]) {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        for (load, report) in loads.iter_mut().zip(reports) {
            *load = report.as_ref().map_or(*load, measure_load);
        }
    }

    fn make_generate_request(&self, completion: &Completion, prompt: String) -> Generate {
        let deadline_ms = System.wall_ms() + completion.deadline.as_millis() as u64;
        let request = id::Request(Uuid::now_v7());
        Generate {
            stream: id::Stream { request, attempt: 0, sender: "direct".into(), deadline_ms },
            weights: Weights { model: fleet::MODEL.into(), version: "1".into(), adapter: None },
            prompt,
            max_tokens: size::Tokens(completion.max_tokens),
            priority: Priority(1),
            import: None,
            prefill_only: None,
            from: 0,
        }
    }

    async fn read_answer(
        &self,
        engine: SocketAddr,
        generate: &Generate,
        completion: &Completion,
        intended: Instant,
        outcome: &mut Outcome,
    ) -> End {
        let mut check = Check::open(completion.max_tokens, |seq| completion.answer.token(seq));
        let mut tokens = match self.targets.generate(engine, generate).await {
            Ok(tokens) => tokens,
            Err(error) => return protocol_failure(&error),
        };
        let mut last: Option<Instant> = None;
        loop {
            let checked = match tokens.next().await {
                Some(Ok(Event::Token { text, .. })) => check.token(&text),
                Some(Ok(Event::End { count })) => {
                    return check.end(Some(count)).map_or_else(End::Wrong, |()| End::Whole);
                }
                Some(Ok(Event::Failed { reason })) => return protocol_failure(&reason),
                Some(Err(error)) => return protocol_failure(&error),
                None => return End::Failed(Failure::Broken),
            };
            if let Err(fault) = checked {
                return End::Wrong(fault);
            }
            let now = Instant::now();
            match last.replace(now) {
                Some(last) => outcome.gaps.push(now - last),
                None => outcome.first_token = Some(now - intended),
            }
            outcome.tokens = check.received();
        }
    }
}

fn deadline_passed() -> End {
    let refused = Refused { reason: Reason::Deadline, ran: Ran::Unknown, retry_after: None };
    End::Failed(Failure::Reported(refused))
}

fn protocol_failure(error: &impl std::fmt::Display) -> End {
    End::Failed(Failure::Protocol(compact_str::format_compact!("{error}")))
}

async fn poll_reports(direct: std::sync::Weak<Direct>) {
    while let Some(direct) = direct.upgrade() {
        let reads = direct.engines.iter().map(|engine| direct.targets.report(*engine));
        let reports = futures::future::join_all(reads).await;
        direct.update_loads(&reports);
        drop(direct);
        tokio::time::sleep(REPORT_POLL_INTERVAL).await;
    }
}

fn measure_load(report: &Report) -> (u64, u64) {
    let prefill = report.streams.iter().map(|held| held.prefill_left.0).sum();
    (prefill, report.kv_used.0)
}
