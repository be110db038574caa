//! One request of a caller: route, account, body, then the run.

use crate::attempt::Message;
use crate::config::{Account, Configuration, Route};
use crate::core::{ActiveRequest, Core};
use crate::dialect::Dialect;
use crate::drain::CACHED_ADDRESS_LIFETIME;
use crate::refusal::{Refusal, answer_refusal};
use crate::reply::Reply;
use crate::request::RequestHead;
use crate::run;
use bytes::Bytes;
use hickory_policy::refuse::Reason;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::size::{self, Tokens};
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Between two looks whether the first configuration is there.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// When to come back to a node that has no configuration and can't reach the
/// store. Outages last seconds, and callers come back only once or twice.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// How long a request waits for a configuration that the node does not have yet:
/// callers take a request that is not read within a second for lost.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(800);

/// The part of its time that a request waits for a configuration.
const CONFIGURATION_WAIT_DIVISOR: u32 = 4;

/// Between two looks whether it has come.
const NEWER_CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// When to come back to a node that is behind, or to another one.
const BEHIND_RETRY_AFTER: Duration = Duration::from_millis(500);

/// When to come back to another node than one that is stopping.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// A request that is to be run.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) head: RequestHead,
    pub(crate) message: Message,
    pub(crate) arrived: Instant,
    /// When the caller or the route gives up.
    pub(crate) deadline: Instant,
}

/// Answers a caller.
pub(crate) async fn serve<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    request: Request<Incoming>,
) -> Response<Reply> {
    let active = ActiveRequest::begin(&core);
    let arrived = core.now();
    let attempt = D::parse_attempt(request.headers());
    let outcome = match read_job(&core, arrived, request).await {
        Ok(job) => {
            let prompt = job.head.prompt.map_or(Tokens(0), |prompt| prompt.tokens);
            let outcome = run::run(&core, job, active).await;
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
) -> Result<Job, Refusal> {
    let (parts, body) = request.into_parts();
    let head = D::parse_request_head(&parts)
        .map_err(|finding| Refusal::new(Reason::BadHeader, finding.to_string()));
    let max_wait = max_configuration_wait(head.as_ref().ok());
    let configuration = wait_configuration(core, arrived, max_wait).await?;
    let head = head?;
    let authorized = wait_authorized(core, arrived, configuration, parts.uri.path(), &head).await?;
    let Authorized { configuration, route, account } = authorized;
    // A stream that begins this late would be cut by the stop; its caller is
    // better served by another node, and asks for one after this answer.
    if route.kind.is_stream()
        && core.draining_time().is_some_and(|time| time > CACHED_ADDRESS_LIFETIME)
    {
        let refusal = Refusal::new(Reason::Draining, "this node is stopping");
        return Err(refusal.with_retry_after(DRAINING_RETRY_AFTER));
    }
    let body = read_body(body, configuration.limits.body).await;
    let body = body.map_err(|refusal| defer_if_behind(core, refusal))?;
    let time = head.time_left.map_or(route.timeout, |time| time.min(route.timeout));
    let message = Message { method: parts.method, uri: parts.uri, headers: parts.headers, body };
    let deadline = arrived + time;
    Ok(Job { configuration, route, account, head, message, arrived, deadline })
}

/// What entitles a request to be run.
struct Authorized {
    configuration: Arc<Configuration>,
    route: Arc<Route>,
    account: Option<Arc<Account>>,
}

/// Finds the route and the account of a request.
///
/// A node that knows itself behind waits a little for the newer configuration:
/// by the old one it would refuse for good what operators have just allowed,
/// and callers don't come back after that.
async fn wait_authorized<D: Dialect, S: Store, C: Clock>(
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

/// A refusal by the configuration, which is not for good where a newer one is
/// account to be in force.
fn defer_if_behind<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    refusal: Refusal,
) -> Refusal {
    let by_configuration =
        matches!(refusal.reason, Reason::NotFound | Reason::Unauthenticated | Reason::TooLarge);
    if by_configuration && core.lag().is_some() {
        return Refusal::new(Reason::Behind, refusal.detail).with_retry_after(BEHIND_RETRY_AFTER);
    }
    refusal
}

/// How long a request waits for a configuration.
fn max_configuration_wait(head: Option<&RequestHead>) -> Duration {
    let time = head.and_then(|head| head.time_left);
    time.map_or(MAX_CONFIGURATION_WAIT, |time| {
        MAX_CONFIGURATION_WAIT.min(time / CONFIGURATION_WAIT_DIVISOR)
    })
}

/// The configuration in force; the first one is waited for a little.
async fn wait_configuration<D: Dialect, S: Store, C: Clock>(
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

/// The account of the caller's key. A public route needs none, and takes the
/// caller's where it is account.
fn find_account(
    configuration: &Configuration,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<Account>>, Refusal> {
    let account = head.key.as_deref().and_then(|key| configuration.find_account(key));
    if account.is_none() && configuration.accounts.is_some() && !route.public {
        return Err(Refusal::new(Reason::Unauthenticated, "no such key"));
    }
    Ok(account.cloned())
}

async fn read_body(body: Incoming, limit: size::Bytes) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::new(Reason::TooLarge, format!("body: more than {limit} bytes"));
    if body.size_hint().lower() > limit.0 {
        return Err(too_large());
    }
    match Limited::new(body, limit.0 as usize).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(too_large()),
        Err(error) => Err(Refusal::new(Reason::Malformed, format!("body: {error}"))),
    }
}
