//! Calls to the administration API.

use crate::args::Fleet;
use crate::failure::{Failure, failure_of};
use hickory_admin::OPERATION_HEADER;
use hickory_admin::problem::Problem;
use oxhttp::model::header::AUTHORIZATION;
use oxhttp::model::request::Builder;
use oxhttp::model::{Body, Method, Request};
use serde::de::DeserializeOwned;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The variable that holds the operator's token.
const TOKEN_ENV_VARIABLE: &str = "HICKORY_TOKEN";

/// Statuses of success.
const SUCCESS_STATUSES: std::ops::Range<u16> = 200..300;

/// A client of several nodes.
pub(crate) struct Client {
    nodes: Vec<SocketAddr>,
    token: String,
    http: oxhttp::Client,
}

/// Why there is no answer from one node.
#[derive(Debug)]
pub(crate) enum NoAnswer {
    /// The call did not reach it.
    NotSent(String),
    /// It may have been served.
    Lost(String),
}

/// The answer of one node.
pub(crate) type Answer = Result<Result<String, Box<Problem>>, NoAnswer>;

impl Client {
    /// A client of the nodes that the arguments name.
    pub(crate) fn open(fleet: &Fleet) -> Result<Self, Failure> {
        if fleet.nodes.is_empty() {
            let detail = "name a node by --node or HICKORY_NODES".to_owned();
            return Err(Failure::Usage(detail));
        }
        let timeout = Duration::from_millis(fleet.timeout_ms);
        let http = oxhttp::Client::new().with_global_timeout(timeout);
        let token = read_token(fleet.token_file.as_deref())?;
        Ok(Self { nodes: fleet.nodes.clone(), token, http })
    }

    /// The nodes, in the order in which they are asked.
    pub(crate) fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    /// Reads a document from the first node that gives one.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let mut reasons = Vec::new();
        let mut unavailable = None;
        for node in &self.nodes {
            match self.call(*node, Method::GET, path) {
                Ok(Ok(text)) => return read_document(&text),
                Ok(Err(problem)) => match failure_of(*problem, path) {
                    // Another node may have a configuration, or the platform.
                    failure @ Failure::Unavailable(_) => unavailable = Some(failure),
                    failure => return Err(failure),
                },
                Err(NoAnswer::NotSent(reason) | NoAnswer::Lost(reason)) => {
                    reasons.push(format!("{node}: {reason}"));
                }
            }
        }
        Err(unavailable.unwrap_or(Failure::Unreachable(reasons)))
    }

    /// Calls one node.
    pub(crate) fn call(&self, node: SocketAddr, method: Method, path: &str) -> Answer {
        self.exchange(self.build(node, method, path), String::new())
    }

    /// Sends a document to one node, under the id of an operation.
    pub(crate) fn post(
        &self,
        node: SocketAddr,
        path: &str,
        document: &str,
        operation: &str,
    ) -> Answer {
        let request = self.build(node, Method::POST, path).header(OPERATION_HEADER, operation);
        self.exchange(request, document.to_owned())
    }

    fn build(&self, node: SocketAddr, method: Method, path: &str) -> Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
    }

    fn exchange(&self, request: Builder, body: String) -> Answer {
        let request =
            request.body(Body::from(body)).map_err(|error| NoAnswer::NotSent(error.to_string()))?;
        let response = self.http.request(request).map_err(classify_error)?;
        let status = response.status().as_u16();
        let text = response.into_body().to_string();
        let text = text.map_err(|error| NoAnswer::Lost(error.to_string()))?;
        if SUCCESS_STATUSES.contains(&status) {
            return Ok(Ok(text));
        }
        match serde_json::from_str(&text) {
            Ok(problem) => Ok(Err(Box::new(problem))),
            // An error of the HTTP library itself has no problem document.
            Err(_) => Err(NoAnswer::Lost(format!("status {status}"))),
        }
    }
}

/// Reads a document that a node sent.
pub(crate) fn read_document<T: DeserializeOwned>(text: &str) -> Result<T, Failure> {
    serde_json::from_str(text)
        .map_err(|error| Failure::Local(format!("the node's answer can't be read: {error}")))
}

/// Only errors that can't come after a connection stands count as not sent;
/// a doubt costs one read, a wrong guess an unnoticed change.
fn classify_error(error: io::Error) -> NoAnswer {
    match error.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::InvalidInput
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable => NoAnswer::NotSent(error.to_string()),
        ErrorKind::WouldBlock | ErrorKind::TimedOut => NoAnswer::Lost("timeout".to_owned()),
        _ => NoAnswer::Lost(error.to_string()),
    }
}

/// Reads the operator's token from the file, or from the environment.
pub(crate) fn read_token(file: Option<&Path>) -> Result<String, Failure> {
    let token = match file {
        Some(file) => std::fs::read_to_string(file)
            .map_err(|error| Failure::Local(format!("{}: {error}", file.display())))?,
        None => std::env::var(TOKEN_ENV_VARIABLE).unwrap_or_default(),
    };
    let token = token.trim().to_owned();
    if token.is_empty() {
        let detail = format!("give a token by --token-file or {TOKEN_ENV_VARIABLE}");
        return Err(Failure::Unauthorized(detail));
    }
    if !token.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(Failure::Unauthorized("the token holds characters that no token has".into()));
    }
    Ok(token)
}
