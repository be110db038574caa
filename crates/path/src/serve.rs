//! One request of a caller: route, account, body, then the run.

use crate::attempt::Message;
use crate::config::{Account, Configuration, Route};
use crate::core::{Active, Core};
use crate::demand::Demand;
use crate::dialect::Dialect;
use crate::drain::NAMED;
use crate::refusal::{Refusal, answer_refusal};
use crate::reply::Reply;
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
const START_LOOK: Duration = Duration::from_millis(10);

/// When to come back to a node that has no configuration and can't reach the
/// store. Outages last seconds, and callers come back only once or twice.
const NOT_READY_RETRY: Duration = Duration::from_secs(2);

/// How long a request waits for a configuration that the node does not have yet:
/// callers take a request that is not read within a second for lost.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(800);

/// The part of its time that a request waits for a configuration.
const CONFIGURATION_WAIT_PART: u32 = 4;

/// Between two looks whether it has come.
const BEHIND_LOOK: Duration = Duration::from_millis(25);

/// When to come back to a node that is behind, or to another one.
const BEHIND_RETRY: Duration = Duration::from_millis(500);

/// When to come back to another node than one that is stopping.
const DRAINING_RETRY: Duration = Duration::from_millis(20);

/// A request that is to be run.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Arc<Account>>,
    pub(crate) demand: Demand,
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
    let active = Active::begin(&core);
    let arrived = core.now();
    let attempt = D::read_attempt(request.headers());
    let answered = match read_job(&core, arrived, request).await {
        Ok(job) => {
            let prompt = job.demand.prompt.map_or(Tokens(0), |prompt| prompt.tokens);
            let answered = run::run(&core, job, active).await;
            answered.map_err(|refusal| refusal.with_prompt(prompt))
        }
        Err(refusal) => Err(refusal),
    };
    answered.unwrap_or_else(|refusal| answer_refusal(&core, &attempt, arrived, &refusal))
}

async fn read_job<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    arrived: Instant,
    request: Request<Incoming>,
) -> Result<Job, Refusal> {
    let (parts, body) = request.into_parts();
    let demand = D::read_demand(&parts)
        .map_err(|finding| Refusal::new(Reason::BadHeader, finding.to_string()));
    let patience = configuration_patience(demand.as_ref().ok());
    let configuration = wait_configuration(core, arrived, patience).await?;
    let demand = demand?;
    let entitled = wait_entitled(core, arrived, configuration, parts.uri.path(), &demand).await?;
    let Entitled { configuration, route, account } = entitled;
    // A stream that begins this late would be cut by the stop; its caller is
    // better served by another node, and asks for one after this answer.
    if route.kind.is_stream() && core.draining_for().is_some_and(|time| time > NAMED) {
        let refusal = Refusal::new(Reason::Draining, "this node is stopping");
        return Err(refusal.after(DRAINING_RETRY));
    }
    let body = read_body(body, configuration.limits.max_body).await;
    let body = body.map_err(|refusal| defer(core, refusal))?;
    let time = demand.time_left.map_or(route.timeout, |time| time.min(route.timeout));
    let message = Message { method: parts.method, uri: parts.uri, headers: parts.headers, body };
    let deadline = arrived + time;
    Ok(Job { configuration, route, account, demand, message, arrived, deadline })
}

/// What entitles a request to be run.
struct Entitled {
    configuration: Arc<Configuration>,
    route: Arc<Route>,
    account: Option<Arc<Account>>,
}

/// Finds the route and the account of a request.
///
/// A node that knows itself behind waits a little for the newer configuration:
/// by the old one it would refuse for good what operators have just allowed,
/// and callers don't come back after that.
async fn wait_entitled<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    arrived: Instant,
    mut configuration: Arc<Configuration>,
    path: &str,
    demand: &Demand,
) -> Result<Entitled, Refusal> {
    let patience = configuration_patience(Some(demand));
    loop {
        let refusal = match find_entitled(&configuration, path, demand) {
            Ok(entitled) => return Ok(entitled),
            Err(refusal) => refusal,
        };
        let is_behind = core.lag().is_some();
        let newest = core.view().configuration.clone().unwrap_or_else(|| configuration.clone());
        if !Arc::ptr_eq(&newest, &configuration) {
            configuration = newest;
            continue;
        }
        let waited = core.now().saturating_duration_since(arrived);
        if !is_behind || waited > patience {
            return Err(defer(core, refusal));
        }
        tokio::time::sleep(BEHIND_LOOK).await;
    }
}

fn find_entitled(
    configuration: &Arc<Configuration>,
    path: &str,
    demand: &Demand,
) -> Result<Entitled, Refusal> {
    let route = configuration.find_route(&demand.host, path).cloned();
    let route = route.ok_or_else(|| Refusal::new(Reason::NotFound, "no such route"))?;
    let account = find_account(configuration, &route, demand)?;
    Ok(Entitled { configuration: configuration.clone(), route, account })
}

/// A refusal by the configuration, which is not for good where a newer one is
/// known to be in force.
fn defer<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>, refusal: Refusal) -> Refusal {
    let by_configuration =
        matches!(refusal.reason, Reason::NotFound | Reason::Unauthenticated | Reason::TooLarge);
    if by_configuration && core.lag().is_some() {
        return Refusal::new(Reason::Behind, refusal.detail).after(BEHIND_RETRY);
    }
    refusal
}

/// How long a request waits for a configuration.
fn configuration_patience(demand: Option<&Demand>) -> Duration {
    let time = demand.and_then(|demand| demand.time_left);
    time.map_or(CONFIGURATION_WAIT, |time| CONFIGURATION_WAIT.min(time / CONFIGURATION_WAIT_PART))
}

/// The configuration in force; the first one is waited for a little.
async fn wait_configuration<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    arrived: Instant,
    patience: Duration,
) -> Result<Arc<Configuration>, Refusal> {
    loop {
        if let Some(configuration) = core.view().configuration.clone() {
            return Ok(configuration);
        }
        let waited = core.now().saturating_duration_since(arrived);
        if core.is_store_away() || waited > patience {
            let refusal = Refusal::new(Reason::NotReady, "no configuration yet");
            return Err(refusal.after(NOT_READY_RETRY));
        }
        tokio::time::sleep(START_LOOK).await;
    }
}

/// The account of the caller's key. A public route needs none, and takes the
/// caller's where it is known.
fn find_account(
    configuration: &Configuration,
    route: &Route,
    demand: &Demand,
) -> Result<Option<Arc<Account>>, Refusal> {
    let known = demand.key.as_deref().and_then(|key| configuration.find_account(key));
    if known.is_none() && configuration.accounts.is_some() && !route.is_public {
        return Err(Refusal::new(Reason::Unauthenticated, "no such key"));
    }
    Ok(known.cloned())
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
