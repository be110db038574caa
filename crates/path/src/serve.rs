//! Serves one request of a caller: finds its route and account, reads the body and runs it.

use crate::attempt::Message;
use crate::body;
use crate::config::{Account, Configuration, Route};
use crate::core::{ActiveRequest, Core};
use crate::dialect::Dialect;
use crate::drain;
use crate::holding::Holder;
use crate::refusal::{Refusal, answer_refusal};
use crate::reply::Reply;
use crate::request::RequestHead;
use crate::run;
use bytes::Bytes;
use hickory_policy::refuse::{Ran, Reason};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::size::{self, Tokens};
use http::{Request, Response};
use hyper::body::Incoming;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The poll interval while waiting for the first configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The retry delay if the node has no configuration and can't reach the store. Outages last
/// seconds, and callers retry only once or twice.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The maximum time that a request waits for a configuration that the node doesn't have yet.
/// Callers assume that a request is lost if it isn't read within a second.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(800);

/// A request waits for a configuration for at most its remaining time divided by this number.
const CONFIGURATION_WAIT_DIVISOR: u32 = 4;

/// The poll interval while waiting for a newer configuration.
const NEWER_CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The retry delay if the node's configuration is outdated.
const BEHIND_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request that is ready to run.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) head: RequestHead,
    pub(crate) message: Message,
    pub(crate) arrived: Instant,
    /// When the caller's or the route's time limit ends.
    pub(crate) deadline: Instant,
    /// The connection of the caller, for which the bytes of the request and its answer are held.
    pub(crate) holder: Holder,
}

/// Serves a request of a caller.
pub(crate) async fn serve<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    request: Request<Incoming>,
) -> Response<Reply> {
    let active = ActiveRequest::begin(&core);
    let arrived = core.now();
    let attempt = D::parse_attempt(request.headers());
    let holder = request.extensions().get().cloned();
    let holder: Holder = holder.unwrap_or_else(|| Holder::open(&core.holdings));
    // Futures are pinned here, as each function that takes one by value doubles its size.
    let read = pin!(read_job(&core, arrived, request, &holder));
    let read = holder.run(Ran::No, read);
    let outcome = match drain::run_until_interrupted(&core, Ran::No, read).await {
        Ok(job) => {
            let prompt = job.head.prompt.map_or(Tokens(0), |prompt| prompt.tokens);
            let run = pin!(run::run(&core, job, active));
            let run = holder.run(Ran::Unknown, run);
            let outcome = drain::run_until_interrupted(&core, Ran::Unknown, run).await;
            outcome.map_err(|refusal| refusal.with_prompt(prompt))
        }
        Err(refusal) => Err(refusal),
    };
    outcome.unwrap_or_else(|refusal| answer_refusal(&core, &attempt, arrived, &refusal))
}

async fn read_job<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    arrived: Instant,
    request: Request<Incoming>,
    holder: &Holder,
) -> Result<Job, Refusal> {
    let (parts, body) = request.into_parts();
    let head = D::parse_request_head(&parts)
        .map_err(|finding| Refusal::new(Reason::BadHeader, finding.to_string()));
    let max_wait = max_configuration_wait(head.as_ref().ok());
    let configuration = wait_for_configuration(core, arrived, max_wait).await?;
    let head = head?;
    let authorized =
        wait_for_authorization(core, arrived, configuration, parts.uri.path(), &head).await?;
    let Authorized { configuration, route, account } = authorized;
    let body = read_body(body, configuration.limits.max_body, holder).await;
    let body = body.map_err(|refusal| defer_if_behind(core, refusal))?;
    let time = head.time_left.map_or(route.timeout, |time| time.min(route.timeout));
    let message = Message { method: parts.method, uri: parts.uri, headers: parts.headers, body };
    let (deadline, holder) = (arrived + time, holder.clone());
    let job = Job { configuration, route, account, head, message, arrived, deadline, holder };
    drain::check_time(core, &job)?;
    Ok(job)
}

/// A request's route and account under a configuration.
struct Authorized {
    configuration: Arc<Configuration>,
    route: Arc<Route>,
    account: Option<Arc<Account>>,
}

/// Finds the route and the account of a request.
///
/// A node that knows that its configuration is outdated waits a short time for the newer one.
/// Otherwise it would permanently refuse what operators have just allowed, and callers don't retry
/// after such a refusal.
async fn wait_for_authorization<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    arrived: Instant,
    mut configuration: Arc<Configuration>,
    path: &str,
    head: &RequestHead,
) -> Result<Authorized, Refusal> {
    let max_wait = max_configuration_wait(Some(head));
    loop {
        let refusal = match authorize(&configuration, path, head) {
            Ok(authorized) => return Ok(authorized),
            Err(refusal) => refusal,
        };
        let is_behind = core.lag().is_some();
        let newest = core.view().configuration.clone().unwrap_or_else(|| configuration.clone());
        if !Arc::ptr_eq(&newest, &configuration) {
            configuration = newest;
            continue;
        }
        let waited = core.now().saturating_duration_since(arrived);
        if !is_behind || waited > max_wait {
            return Err(defer_if_behind(core, refusal));
        }
        tokio::time::sleep(NEWER_CONFIGURATION_POLL_INTERVAL).await;
    }
}

fn authorize(
    configuration: &Arc<Configuration>,
    path: &str,
    head: &RequestHead,
) -> Result<Authorized, Refusal> {
    let route = configuration.find_route(&head.host, path).cloned();
    let route = route.ok_or_else(|| Refusal::new(Reason::NotFound, "no such route"))?;
    let account = find_account(configuration, &route, head)?;
    Ok(Authorized { configuration: configuration.clone(), route, account })
}

/// Makes a refusal that results from the configuration retryable if a newer configuration is known
/// to be in force.
fn defer_if_behind<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    refusal: Refusal,
) -> Refusal {
    let is_configuration_refusal =
        matches!(refusal.reason, Reason::NotFound | Reason::Unauthenticated | Reason::TooLarge);
    if is_configuration_refusal && core.lag().is_some() {
        return Refusal::new(Reason::Behind, refusal.detail).with_retry_after(BEHIND_RETRY_AFTER);
    }
    refusal
}

/// Returns the maximum time that a request waits for a configuration.
fn max_configuration_wait(head: Option<&RequestHead>) -> Duration {
    let time = head.and_then(|head| head.time_left);
    time.map_or(MAX_CONFIGURATION_WAIT, |time| {
        MAX_CONFIGURATION_WAIT.min(time / CONFIGURATION_WAIT_DIVISOR)
    })
}

/// Returns the configuration in force; waits a short time for the first one.
async fn wait_for_configuration<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    arrived: Instant,
    max_wait: Duration,
) -> Result<Arc<Configuration>, Refusal> {
    loop {
        if let Some(configuration) = core.view().configuration.clone() {
            return Ok(configuration);
        }
        let waited = core.now().saturating_duration_since(arrived);
        if core.is_store_unreachable() || waited > max_wait {
            let refusal = Refusal::new(Reason::NotReady, "no configuration yet");
            return Err(refusal.with_retry_after(NOT_READY_RETRY_AFTER));
        }
        tokio::time::sleep(CONFIGURATION_POLL_INTERVAL).await;
    }
}

/// Finds the account of the caller's key. A public route needs no key, but uses the caller's
/// account if it is known.
fn find_account(
    configuration: &Configuration,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<Account>>, Refusal> {
    let account = head.key.as_deref().and_then(|key| configuration.find_account(key));
    if account.is_none() && configuration.accounts.is_some() && !route.is_public {
        return Err(Refusal::new(Reason::Unauthenticated, "no such key"));
    }
    Ok(account.cloned())
}

async fn read_body(
    mut body: Incoming,
    limit: size::Bytes,
    holder: &Holder,
) -> Result<Bytes, Refusal> {
    let blocks = body::read(&mut body, limit, holder).await;
    blocks.map(|blocks| blocks.join(holder)).map_err(|error| match error {
        body::Error::TooLong => {
            Refusal::new(Reason::TooLarge, format!("body: more than {limit} bytes"))
        }
        body::Error::Broken(error) => Refusal::new(Reason::Malformed, format!("body: {error}")),
    })
}
