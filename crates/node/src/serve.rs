//! The HTTP interface for callers.
//!
//! It uses hyper because oxhttp buffers a stream's tokens until its buffer is full or the
//! answer ends (see docs/DESIGN.md).

use crate::call::{self, Call};
use crate::complete::{self, Piece};
use crate::core::{Core, Stage};
use crate::entry::answer_entry;
use crate::event_id::{self, Position};
use crate::parse::{
    Caller, Head, MAX_BODY_SIZE, find_caller, parse_completion, parse_key, parse_time_left,
    parse_token, refuse,
};
use crate::reply::{self, Body, Encoder};
use crate::resume;
use bytes::Bytes;
use compact_str::CompactString;
use hickory_policy::refuse::{Reason, Refusal};
use hickory_release::configuration::{Configuration, Service};
use hickory_target::engine::Weights;
use hickory_unit::clock::Clock;
use hickory_unit::{id, size};
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Timeout for reading a request's headers: an idle connection would otherwise be held
/// indefinitely.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for reading a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which sent data may remain unacknowledged before the kernel closes the connection.
/// It detects connections that a middlebox has dropped from its tables.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum wait for a newer configuration that a peer has, limited to a quarter of the
/// request's time left. Fetching a large configuration takes about a second.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_millis(800);

/// Retry delay for a caller that was refused because this node's configuration is out of date.
const BEHIND_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Maximum number of events buffered for a slow caller.
const MAX_BUFFERED_EVENTS: usize = 64;

/// Accepts connections from callers until the node is closed.
pub(crate) async fn serve(core: Arc<Core>, listener: TcpListener) {
    let mut stage = core.stage.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(serve_connection(core.clone(), stream));
                }
                // Most likely out of file descriptors: wait for some to be closed.
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            },
            () = wait_closed(&mut stage) => return,
        }
    }
}

async fn wait_closed(stage: &mut watch::Receiver<Stage>) {
    let _ = stage.wait_for(|stage| *stage >= Stage::Closed).await;
}

async fn serve_connection(core: Arc<Core>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let mut stage = core.stage.subscribe();
    let _open = core.connections.subscribe();
    let service = hyper::service::service_fn(move |request| answer(core.clone(), request));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_closed(&mut stage) => {}
    }
    // Finish the current answer and read no further request.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer(core: Arc<Core>, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let _unanswered = core.unanswered.subscribe();
    let mut response = match route(&core, request).await {
        Ok(response) => response,
        Err(refusal) => {
            core.metrics.count_refusal(refusal.reason, refusal.ran);
            reply::answer_refusal(&refusal)
        }
    };
    if core.stage() != Stage::Serving {
        // Closing the connection makes the caller ask again which node to use.
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn route(core: &Arc<Core>, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
    let path = request.uri().path().to_owned();
    let mut segments = path.trim_start_matches('/').splitn(4, '/');
    let parts =
        (segments.next(), segments.next(), segments.next(), segments.next().unwrap_or_default());
    match parts {
        (Some("v1"), Some("entry"), None, _) => {
            require_method(&request, &Method::GET)?;
            let entry = answer_entry(core);
            let entry = entry.ok_or_else(|| refuse(Reason::Draining, "no node takes callers"))?;
            Ok(reply::answer_json(&entry))
        }
        (Some("v1"), Some("completions"), None, _) => {
            require_method(&request, &Method::POST)?;
            answer_completion(core, request).await
        }
        (Some("v1"), Some("requests"), Some(name), "") => {
            require_method(&request, &Method::GET)?;
            answer_resume(core, &request, name).await
        }
        (Some("v1"), Some("services"), Some(name), rest) => {
            require_method(&request, &Method::POST)?;
            let (name, rest) = (id::Service::from(name), format!("/{rest}"));
            answer_call(core, request, name, rest).await
        }
        _ => Err(refuse(Reason::NotFound, format!("path: no {path}"))),
    }
}

fn require_method<B>(request: &Request<B>, method: &Method) -> Result<(), Refusal> {
    match request.method() == method {
        true => Ok(()),
        false => Err(refuse(Reason::BadMethod, format!("method: this path takes {method}"))),
    }
}

fn refuse_not_ready() -> Refusal {
    Refusal {
        retry_after: Some(Duration::from_secs(1)),
        ..refuse(Reason::NotReady, "this node has no configuration yet")
    }
}

/// Looks up what a request may use in the current configuration.
///
/// If a peer has a newer configuration, waits briefly for it: the old one may refuse what operators
/// have just allowed, and callers don't retry such a refusal.
async fn resolve_entitlement<T>(
    core: &Core,
    time_left: Duration,
    find: impl Fn(&Configuration) -> Result<T, Refusal>,
) -> Result<T, Refusal> {
    let end = core.now() + MAX_CONFIGURATION_WAIT.min(time_left / 4);
    let mut changes = core.configuration_manager.subscribe();
    loop {
        // Read before the configuration: one that arrives in between must not be mistaken for
        // the outdated one.
        let is_behind = core.is_behind();
        let configuration = changes.borrow_and_update().clone().ok_or_else(refuse_not_ready)?;
        let refusal = match find(&configuration) {
            Err(refusal) if is_behind && depends_on_configuration(refusal.reason) => refusal,
            found => return found,
        };
        let wait = end.saturating_duration_since(core.now());
        if !matches!(tokio::time::timeout(wait, changes.changed()).await, Ok(Ok(()))) {
            let behind = refuse(Reason::Behind, refusal.detail);
            return Err(Refusal { retry_after: Some(BEHIND_RETRY_AFTER), ..behind });
        }
    }
}

fn depends_on_configuration(reason: Reason) -> bool {
    matches!(reason, Reason::Unauthenticated | Reason::Forbidden | Reason::NotFound)
}

/// Reads the bearer token. Without a configuration, every request is refused as not ready.
fn read_token<'a>(core: &Core, headers: &'a HeaderMap) -> Result<&'a str, Refusal> {
    core.configuration().ok_or_else(refuse_not_ready)?;
    parse_token(headers)
}

async fn read_body(body: Incoming) -> Result<Bytes, Refusal> {
    let too_large = || refuse(Reason::TooLarge, format!("body: more than {MAX_BODY_SIZE} bytes"));
    if body_size_hint(&body) > MAX_BODY_SIZE.0 {
        return Err(too_large());
    }
    let read = Limited::new(body, MAX_BODY_SIZE.0 as usize).collect();
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(e)) => Err(refuse(Reason::Malformed, format!("body: {e}"))),
        Err(_) => Err(refuse(Reason::Malformed, "body: did not come in time")),
    }
}

fn body_size_hint(body: &Incoming) -> u64 {
    hyper::body::Body::size_hint(body).lower()
}

/// Reads the caller and the deadline. The deadline counts from the arrival of the headers, so
/// that the time for reading the body counts against the caller's time.
fn open_request(
    core: &Core,
    arrived: Instant,
    token: &str,
    headers: &HeaderMap,
    configuration: &Configuration,
) -> Result<Head, Refusal> {
    let caller = find_caller(token, configuration)?;
    let deadline = arrived + parse_time_left(headers)?;
    let time_left = deadline.saturating_duration_since(core.now());
    let deadline_ms = core.clock.wall_ms() + time_left.as_millis() as u64;
    Ok(Head { caller, deadline, deadline_ms })
}

async fn answer_completion(
    core: &Arc<Core>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refusal> {
    let arrived = core.now();
    let (parts, body) = request.into_parts();
    let token = read_token(core, &parts.headers)?;
    let time_left = parse_time_left(&parts.headers).unwrap_or_default();
    let head = resolve_entitlement(core, time_left, |configuration| {
        open_request(core, arrived, token, &parts.headers, configuration)
    });
    let head = head.await?;
    let body = read_body(body).await?;
    let is_served = |weights: &Weights| core.view.count_ready(weights) > 0;
    let time_left = head.deadline.saturating_duration_since(core.now());
    let completion = resolve_entitlement(core, time_left, |configuration| {
        parse_completion(head.clone(), &body, configuration, is_served)
    });
    let completion = completion.await?;
    let encoder = Encoder {
        request: completion.request,
        account: completion.caller.account.clone(),
        model: CompactString::from(completion.weights.model.as_str()),
        prompt: completion.cost.prefill,
        fleet_key: core.fleet_key.clone(),
    };
    let streamed = completion.streamed;
    let pieces = complete::spawn(core, completion);
    match streamed {
        true => answer_streamed(core, encoder, pieces).await,
        false => answer_whole(encoder, pieces).await,
    }
}

async fn answer_resume(
    core: &Arc<Core>,
    request: &Request<Incoming>,
    name: &str,
) -> Result<Response<Body>, Refusal> {
    let token = read_token(core, request.headers())?;
    let time_left = parse_time_left(request.headers()).unwrap_or_default();
    let find = |configuration: &Configuration| find_caller(token, configuration);
    let caller = resolve_entitlement(core, time_left, find).await?;
    let position = parse_position(core, request, &caller.account, name)?;
    let encoder = Encoder {
        request: position.stream.request,
        account: caller.account,
        model: CompactString::default(),
        prompt: size::Tokens(0),
        fleet_key: core.fleet_key.clone(),
    };
    answer_streamed(core, encoder, resume::spawn(core, position)).await
}

fn parse_position(
    core: &Core,
    request: &Request<Incoming>,
    account: &id::Account,
    name: &str,
) -> Result<Position, Refusal> {
    let bad = || refuse(Reason::BadHeader, "header last-event-id: not an id of this stream");
    let event_id = request.headers().get("last-event-id").ok_or_else(bad)?;
    let event_id = event_id.to_str().map_err(|_| bad())?;
    let position = event_id::decode_event_id(&core.fleet_key, account, event_id).ok_or_else(bad)?;
    if position.stream.request.to_string() != name {
        return Err(bad());
    }
    Ok(position)
}

/// Answers with an event stream. The status is sent with the first piece, so that a refusal
/// before it has its own status.
async fn answer_streamed(
    core: &Arc<Core>,
    encoder: Encoder,
    mut pieces: mpsc::Receiver<Piece>,
) -> Result<Response<Body>, Refusal> {
    let first = match pieces.recv().await {
        Some(Piece::Refused(refusal)) => return Err(refusal),
        Some(piece) => piece,
        None => return Err(refuse(Reason::TargetFailed, "ended without an answer")),
    };
    let (events, body) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let request = encoder.request;
    tokio::spawn(write_events(core.clone(), encoder, first, pieces, events));
    let mut response = reply::answer_events(body);
    if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
        response.headers_mut().insert("x-request-id", value);
    }
    Ok(response)
}

async fn write_events(
    core: Arc<Core>,
    encoder: Encoder,
    first: Piece,
    mut pieces: mpsc::Receiver<Piece>,
    events: mpsc::Sender<Bytes>,
) {
    let mut next = Some(first);
    while let Some(piece) = next {
        let (event, last) = match &piece {
            Piece::Token(position, text) => (encoder.encode_token(position, text), false),
            Piece::End(count) => (encoder.encode_end(*count), true),
            Piece::Refused(refusal) => {
                core.metrics.count_refusal(refusal.reason, refusal.ran);
                (encoder.encode_failure(refusal), true)
            }
        };
        if events.send(event).await.is_err() || last {
            return;
        }
        next = tokio::select! {
            piece = pieces.recv() => piece,
            () = events.closed() => None,
        };
    }
}

async fn answer_whole(
    encoder: Encoder,
    mut pieces: mpsc::Receiver<Piece>,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    while let Some(piece) = pieces.recv().await {
        match piece {
            Piece::Token(_, token) => text.push_str(&token),
            Piece::End(count) => return Ok(encoder.answer_whole(&text, count)),
            Piece::Refused(refusal) => return Err(refusal),
        }
    }
    Err(refuse(Reason::TargetFailed, "ended without an answer"))
}

fn find_service<'a>(
    caller: &Caller,
    service: &id::Service,
    configuration: &'a Configuration,
) -> Result<&'a Service, Refusal> {
    let entry = configuration
        .services
        .get(service)
        .ok_or_else(|| refuse(Reason::NotFound, format!("path: no service {service}")))?;
    let account = configuration.accounts.get(&caller.account);
    if !account.is_some_and(|account| account.services.contains(service)) {
        let detail = format!("path: account {} may not call {service}", caller.account);
        return Err(refuse(Reason::Forbidden, detail));
    }
    Ok(entry)
}

async fn answer_call(
    core: &Arc<Core>,
    request: Request<Incoming>,
    service: id::Service,
    path: String,
) -> Result<Response<Body>, Refusal> {
    let arrived = core.now();
    let (parts, body) = request.into_parts();
    let token = read_token(core, &parts.headers)?;
    let time_left = parse_time_left(&parts.headers).unwrap_or_default();
    let opened = resolve_entitlement(core, time_left, |configuration| {
        let head = open_request(core, arrived, token, &parts.headers, configuration)?;
        let key = parse_key(&parts.headers)?;
        let entry = find_service(&head.caller, &service, configuration)?;
        Ok((head, key, entry.once.contains(&path)))
    });
    let (head, key, at_most_once) = opened.await?;
    let call = Call {
        at_most_once,
        body: read_body(body).await?,
        caller: head.caller,
        service,
        path,
        key,
        deadline: head.deadline,
        deadline_ms: head.deadline_ms,
    };
    let reply = call::run(core, call).await?;
    let mut response = Response::new(Body::Whole(Some(reply.body)));
    *response.status_mut() =
        http::StatusCode::from_u16(reply.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    Ok(response)
}
