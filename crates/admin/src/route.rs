//! Routing of requests to their handlers.

use crate::control::{Control, Failure};
use crate::problem::{self, Code, Problem};
use crate::{OPERATION_HEADER, view};
use hickory_document::rule::check_name;
use hickory_release::note::{self, Draft, Note};
use hickory_unit::finding::{self, Finding};
use hickory_unit::id;
use oxhttp::model::header::{
    ALLOW, AUTHORIZATION, CONTENT_TYPE, ETAG, HeaderName, IF_MATCH, WWW_AUTHENTICATE,
};
use oxhttp::model::{Body, Method, Request, Response, StatusCode};
use serde::Serialize;
use std::io::Read;

/// Maximum size of a request body. A larger note could hardly be applied, because the platform
/// limits the configuration that it creates to one mebibyte.
const MAX_BODY_BYTES: u64 = 1 << 20;

/// The media type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// The endpoints of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route<'a> {
    Accept,
    Operation(&'a str),
    Configuration,
    Nodes,
    Targets,
    Owners,
    Drain,
    Metrics,
    Health,
}

impl<'a> Route<'a> {
    fn parse(path: &'a str) -> Option<Self> {
        Some(match path {
            "/v1/admin/releases" => Self::Accept,
            "/v1/admin/configuration" => Self::Configuration,
            "/v1/admin/nodes" => Self::Nodes,
            "/v1/admin/targets" => Self::Targets,
            "/v1/admin/owners" => Self::Owners,
            "/v1/admin/drain" => Self::Drain,
            "/metrics" => Self::Metrics,
            "/health" => Self::Health,
            _ => Self::Operation(path.strip_prefix("/v1/admin/releases/")?),
        })
    }

    fn method(self) -> Method {
        match self {
            Self::Accept | Self::Drain => Method::POST,
            _ => Method::GET,
        }
    }

    fn is_public(self) -> bool {
        matches!(self, Self::Metrics | Self::Health)
    }
}

/// Handles a request.
pub(crate) fn respond<C: Control>(control: &C, request: &mut Request<Body>) -> Response<Body> {
    match handle_request(control, request) {
        Ok(response) => response,
        Err(problem) => render_problem(&problem),
    }
}

fn handle_request<C: Control>(
    control: &C,
    request: &mut Request<Body>,
) -> Result<Response<Body>, Box<Problem>> {
    let path = request.uri().path().to_owned();
    let route = Route::parse(&path);
    // Without a valid token, existing and missing paths must not be distinguishable.
    if !route.is_some_and(Route::is_public) && !is_authorized(control, request) {
        return Err(make_problem(Code::Unauthorized, "an operator's token is needed"));
    }
    let route = route.ok_or_else(|| make_problem(Code::NotFound, "no such path"))?;
    if *request.method() != route.method() {
        return Err(make_problem(Code::BadMethod, format!("use {}", route.method())));
    }
    match route {
        Route::Accept => accept(control, request),
        Route::Operation(operation) => find_operation(control, operation),
        Route::Configuration => show_configuration(control),
        Route::Nodes => Ok(render_json(200, &control.nodes())),
        Route::Targets => Ok(render_json(200, &control.targets())),
        Route::Owners => Ok(render_json(200, &control.owners())),
        Route::Drain => {
            control.drain();
            log::info!("planned stop ordered by an operator");
            Ok(render_json(202, &control.health()))
        }
        Route::Metrics => Ok(render(200, METRICS_TYPE, control.metrics())),
        Route::Health => {
            let health = control.health();
            Ok(render_json(if health.ready { 200 } else { 503 }, &health))
        }
    }
}

fn is_authorized<C: Control>(control: &C, request: &Request<Body>) -> bool {
    read_header(request, AUTHORIZATION)
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .is_some_and(|(_, token)| control.is_operator(token.trim()))
}

fn accept<C: Control>(
    control: &C,
    request: &mut Request<Body>,
) -> Result<Response<Body>, Box<Problem>> {
    let expected = read_if_match(request)?;
    let text = read_body(request)?;
    let Draft { mut note, locations } = note::parse_draft(&text).map_err(make_invalid_problem)?;
    if let Some(expected) = expected {
        check_if_match(expected, &note)?;
    }
    if note.operation.is_empty() {
        note.operation = read_operation(request)?;
    }
    let operation = note.operation.clone();
    match control.accept(&note) {
        Ok(accepted) => {
            let repeated = accepted.repeated;
            let version = accepted.version;
            log::info!(operation, version:%, repeated; "release note accepted");
            let mut response = render_json(200, &view::Accepted { version, operation, repeated });
            set_etag(&mut response, version);
            Ok(response)
        }
        Err(failure) => {
            let mut problem = describe_failure(failure, operation);
            locations.locate(&mut problem.findings);
            log::warn!(
                operation:? = problem.operation,
                code:% = problem.code;
                "release note not accepted"
            );
            Err(problem)
        }
    }
}

fn describe_failure(failure: Failure, operation: String) -> Box<Problem> {
    let mut problem = match failure {
        Failure::Conflict(present) => {
            let mut problem = make_problem(
                Code::Conflict,
                format!("the present version is {present}; write against it"),
            );
            problem.present = Some(present);
            problem
        }
        Failure::Invalid(findings) => make_invalid_problem(findings),
        Failure::Unavailable(detail) => make_problem(Code::Unavailable, detail),
        Failure::Unknown(detail) => make_problem(Code::Unknown, detail),
    };
    problem.operation = Some(operation);
    problem
}

fn find_operation<C: Control>(
    control: &C,
    operation: &str,
) -> Result<Response<Body>, Box<Problem>> {
    let found = control
        .find_operation(operation)
        .map_err(|failure| describe_failure(failure, operation.to_owned()))?;
    let version = found.ok_or_else(|| make_problem(Code::NotFound, "no such operation is kept"))?;
    let operation = operation.to_owned();
    Ok(render_json(200, &view::Accepted { version, operation, repeated: true }))
}

fn show_configuration<C: Control>(control: &C) -> Result<Response<Body>, Box<Problem>> {
    let configuration = control
        .configuration()
        .ok_or_else(|| make_problem(Code::NotReady, "no configuration yet"))?;
    let mut response = render_json(200, &*configuration);
    set_etag(&mut response, configuration.version);
    Ok(response)
}

/// Parses the version in the `If-Match` header, if present.
fn read_if_match(request: &Request<Body>) -> Result<Option<id::Release>, Box<Problem>> {
    let Some(value) = request.headers().get(IF_MATCH) else {
        return Ok(None);
    };
    let version = value.to_str().ok().and_then(|text| text.trim().trim_matches('"').parse().ok());
    version
        .map(Some)
        .ok_or_else(|| make_problem(Code::BadHeader, "If-Match is no version in quotes"))
}

/// Returns the operation id from the header, or a new one if the header is absent. A note with a
/// generated id takes effect, but a client that loses the answer can't look it up.
fn read_operation(request: &Request<Body>) -> Result<String, Box<Problem>> {
    let Some(value) = request.headers().get(OPERATION_HEADER) else {
        return Ok(uuid::Uuid::now_v7().to_string());
    };
    let operation = value.to_str().unwrap_or_default().to_owned();
    let mut findings = Vec::new();
    check_name(OPERATION_HEADER, &operation, &mut findings);
    match findings.pop() {
        None => Ok(operation),
        Some(finding) => {
            Err(make_problem(Code::BadHeader, format!("{}: {}", finding.field, finding.message)))
        }
    }
}

fn check_if_match(expected: id::Release, note: &Note) -> Result<(), Box<Problem>> {
    if expected == note.against {
        return Ok(());
    }
    let detail = format!("If-Match says {expected}, the note is against {}", note.against);
    Err(make_problem(Code::BadHeader, detail))
}

fn read_body(request: &mut Request<Body>) -> Result<String, Box<Problem>> {
    let mut text = Vec::new();
    request
        .body_mut()
        .take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut text)
        .map_err(|error| make_problem(Code::Incomplete, format!("the body broke off: {error}")))?;
    if text.len() as u64 > MAX_BODY_BYTES {
        return Err(make_problem(
            Code::TooLarge,
            format!("the body is over {MAX_BODY_BYTES} bytes"),
        ));
    }
    String::from_utf8(text).map_err(|_| make_problem(Code::Invalid, "the body is not UTF-8"))
}

fn read_header(request: &Request<Body>, name: HeaderName) -> Option<&str> {
    request.headers().get(name)?.to_str().ok()
}

fn make_problem(code: Code, detail: impl Into<String>) -> Box<Problem> {
    Box::new(Problem::new(code, detail))
}

fn make_invalid_problem(findings: Vec<Finding>) -> Box<Problem> {
    let mut problem = make_problem(Code::Invalid, finding::count_text(&findings));
    problem.findings = findings;
    problem
}

/// Converts a problem to a response.
pub(crate) fn render_problem(problem: &Problem) -> Response<Body> {
    let text = serde_json::to_string(problem).unwrap_or_default();
    let mut response = render(problem.status, problem::MEDIA_TYPE, text);
    let extra_header = match problem.code {
        Code::Unauthorized => Some((WWW_AUTHENTICATE, "Bearer")),
        Code::BadMethod => Some((ALLOW, problem.detail.trim_start_matches("use "))),
        _ => None,
    };
    if let Some((name, value)) = extra_header
        && let Ok(value) = value.parse()
    {
        response.headers_mut().insert(name, value);
    }
    response
}

fn render_json<T: Serialize>(status: u16, document: &T) -> Response<Body> {
    match serde_json::to_string(document) {
        Ok(text) => render(status, "application/json", text),
        Err(error) => render(500, "text/plain", error.to_string()),
    }
}

fn render(status: u16, media_type: &'static str, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert(CONTENT_TYPE, media_type.parse().expect("a constant"));
    response
}

/// Sets the `ETag` header to the version.
fn set_etag(response: &mut Response<Body>, version: id::Release) {
    if let Ok(value) = format!("\"{version}\"").parse() {
        response.headers_mut().insert(ETAG, value);
    }
}
