//! Parses requests from callers, their headers, tokens and bodies, into typed requests.
//!
//! Each error becomes a [`Refusal`] with `ran: no` that names the faulty part of the request.
//! No function here panics or blocks.

use hickory_policy::cost::{Class, Cost};
use hickory_policy::refuse::{Ran, Reason, Refusal};
use hickory_release::configuration::{Configuration, Model};
use hickory_target::engine::Weights;
use hickory_unit::{id, size};
use http::HeaderMap;
use serde::Deserialize;
use std::time::{Duration, Instant};

/// Maximum size of a request body: a million tokens of prompt, with room for JSON escapes.
pub(crate) const MAX_BODY_SIZE: size::Bytes = size::Bytes(16 << 20);

/// Time limit of a request whose caller sets none.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(60);

/// Maximum time limit of a request; it also bounds a planned stop.
pub(crate) const MAX_TIME_LEFT: Duration = Duration::from_secs(3600);

/// Maximum number of tokens that a request may ask for.
const MAX_REQUESTED_TOKENS: u64 = 100_000;

/// Number of leading bytes of a prompt that determine its prefix affinity. A prefix of this
/// length is worth routing to a target that has it cached; a shorter one is cheap to prefill
/// again.
pub(crate) const AFFINITY_PREFIX_BYTES: usize = 1024;

/// Header with the time left for the answer in milliseconds.
pub(crate) const TIME_LEFT_HEADER: &str = "x-time-left-ms";

/// Header with the idempotency key.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// An authenticated caller.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) account: id::Account,
    pub(crate) partner: id::Partner,
}

/// A validated completion request.
#[derive(Clone, Debug)]
pub(crate) struct Completion {
    pub(crate) request: id::Request,
    pub(crate) caller: Caller,
    pub(crate) weights: Weights,
    pub(crate) prompt: String,
    pub(crate) cost: Cost,
    pub(crate) class: Class,
    pub(crate) streamed: bool,
    pub(crate) deadline: Instant,
    pub(crate) deadline_ms: u64,
    pub(crate) fingerprint: u64,
    pub(crate) prefix: u64,
}

/// The JSON body of a completion request.
#[derive(Debug, Deserialize)]
struct Body {
    model: id::Model,
    #[serde(default)]
    version: Option<id::Version>,
    #[serde(default)]
    adapter: Option<id::Adapter>,
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    class: ClassName,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ClassName {
    #[default]
    Interactive,
    Batch,
}

fn default_max_tokens() -> u64 {
    16
}

/// Returns a refusal of a request that never ran.
pub(crate) fn refuse(reason: Reason, detail: impl Into<String>) -> Refusal {
    Refusal { reason, ran: Ran::No, retry_after: None, detail: detail.into() }
}

/// Parses the bearer token.
pub(crate) fn parse_token(headers: &HeaderMap) -> Result<&str, Refusal> {
    headers
        .get(http::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim)
        .ok_or_else(|| refuse(Reason::Unauthenticated, "header authorization: no bearer token"))
}

/// Returns the account to which a token belongs.
pub(crate) fn find_caller(token: &str, configuration: &Configuration) -> Result<Caller, Refusal> {
    let (account, entry) = configuration
        .find_account(token)
        .ok_or_else(|| refuse(Reason::Unauthenticated, "the token belongs to no account"))?;
    Ok(Caller { account: account.clone(), partner: entry.partner.clone() })
}

/// Parses the time left for the answer.
pub(crate) fn parse_time_left(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(TIME_LEFT_HEADER) else { return Ok(DEFAULT_TIME_LEFT) };
    let bad =
        |what: &str| refuse(Reason::BadDeadline, format!("header {TIME_LEFT_HEADER}: {what}"));
    let text = value.to_str().map_err(|_| bad("not text"))?;
    let millis: u64 = text.trim().parse().map_err(|_| bad("not a number of milliseconds"))?;
    let time = Duration::from_millis(millis);
    if time.is_zero() || time > MAX_TIME_LEFT {
        return Err(bad(&format!("must be from 1 to {}", MAX_TIME_LEFT.as_millis())));
    }
    Ok(time)
}

/// Parses an idempotency key: a UUIDv7, whose timestamp shows its age.
pub(crate) fn parse_key(headers: &HeaderMap) -> Result<Option<uuid::Uuid>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    let bad = || refuse(Reason::BadKey, format!("header {IDEMPOTENCY_KEY_HEADER}: not a UUIDv7"));
    let text = value.to_str().map_err(|_| bad())?;
    let key = uuid::Uuid::try_parse(text.trim()).map_err(|_| bad())?;
    match key.get_version() {
        Some(uuid::Version::SortRand) => Ok(Some(key)),
        _ => Err(bad()),
    }
}

/// The caller and the deadline of a request.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) caller: Caller,
    pub(crate) deadline: Instant,
    pub(crate) deadline_ms: u64,
}

/// Parses a completion request and checks that the account may use the model.
pub(crate) fn parse_completion(
    head: Head,
    body: &[u8],
    configuration: &Configuration,
    is_served: impl Fn(&Weights) -> bool,
) -> Result<Completion, Refusal> {
    let body: Body = serde_json::from_slice(body)
        .map_err(|e| refuse(Reason::Malformed, format!("body: {e}")))?;
    if body.prompt.is_empty() {
        return Err(refuse(Reason::Malformed, "body: prompt: empty"));
    }
    if body.max_tokens == 0 || body.max_tokens > MAX_REQUESTED_TOKENS {
        let detail = format!("body: max_tokens: must be from 1 to {MAX_REQUESTED_TOKENS}");
        return Err(refuse(Reason::Malformed, detail));
    }
    let Head { caller, deadline, deadline_ms } = head;
    let weights = parse_weights(&body, &caller, configuration, is_served)?;
    let prefill = size::Tokens::from_bytes(size::Bytes(body.prompt.len() as u64));
    let prefix = &body.prompt.as_bytes()[..body.prompt.len().min(AFFINITY_PREFIX_BYTES)];
    Ok(Completion {
        request: id::Request(uuid::Uuid::now_v7()),
        fingerprint: hash_parts(&[caller.account.as_str().as_bytes(), body.prompt.as_bytes()]),
        prefix: hash_parts(&[weights.model.as_str().as_bytes(), prefix]),
        caller,
        weights,
        cost: Cost { prefill, decode: size::Tokens(body.max_tokens) },
        prompt: body.prompt,
        class: match body.class {
            ClassName::Interactive => Class::Interactive,
            ClassName::Batch => Class::Batch,
        },
        streamed: body.stream,
        deadline,
        deadline_ms,
    })
}

fn parse_weights(
    body: &Body,
    caller: &Caller,
    configuration: &Configuration,
    is_served: impl Fn(&Weights) -> bool,
) -> Result<Weights, Refusal> {
    let missing = |what: &str, name: &str| {
        refuse(Reason::NotFound, format!("body: {what}: no {what} {name:?}"))
    };
    let model = configuration
        .models
        .get(&body.model)
        .ok_or_else(|| missing("model", body.model.as_str()))?;
    let account = configuration.accounts.get(&caller.account);
    if !account.is_some_and(|account| account.models.contains(&body.model)) {
        let detail = format!("body: model: account {} may not use it", caller.account);
        return Err(refuse(Reason::Forbidden, detail));
    }
    let version = body.version.as_ref().unwrap_or_else(|| {
        choose_version(model, |version| is_served(&make_weights(body, version)))
    });
    if !model.versions.contains_key(version) {
        return Err(missing("version", version.as_str()));
    }
    if let Some(adapter) = &body.adapter
        && !model.adapters.contains_key(adapter)
    {
        return Err(missing("adapter", adapter.as_str()));
    }
    Ok(make_weights(body, version))
}

fn make_weights(body: &Body, version: &id::Version) -> Weights {
    Weights { model: body.model.clone(), version: version.clone(), adapter: body.adapter.clone() }
}

/// Returns the version for a request that names none: the current one, or another served
/// version while no engine serves the current one. A newly released version is still being
/// loaded, and callers needn't wait for that.
fn choose_version(model: &Model, is_served: impl Fn(&id::Version) -> bool) -> &id::Version {
    if is_served(&model.current) {
        return &model.current;
    }
    model.versions.keys().rev().find(|version| is_served(version)).unwrap_or(&model.current)
}

/// Hashes byte strings. Each is preceded by its length, so that different splits of the same
/// bytes have different hashes.
pub(crate) fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
