//! Calls of plain services.

use crate::caller::{self, Attempt, Call, Caller, Progress};
use crate::content::Fault;
use crate::http;
use crate::outcome::{End, Failure};
use bytes::Bytes;
use serde::Deserialize;

/// The answer of a stand-in service, which echoes the request.
#[derive(Debug, Deserialize)]
struct Echo {
    key: Option<String>,
    body: String,
}

impl Caller {
    /// Makes one attempt at a call. All attempts send the same idempotency key.
    pub(crate) async fn try_call(&self, call: &Call, progress: &mut Progress) -> Attempt {
        let Some(address) = self.finder.find_address(&self.http).await else {
            return Attempt::Unreachable;
        };
        let path = format!("/v1/services{}", call.path);
        let mut headers = caller::request_headers(&call.token, progress.time_left());
        headers.extend(call.key.iter().map(|key| ("idempotency-key", key.clone())));
        let body = Bytes::from(call.body.clone());
        let response = match self.http.send(address, "POST", &path, &headers, body).await {
            Ok(response) => response,
            Err(error) => return self.handle_error(address, error).await,
        };
        if response.status() != 200 {
            return self.handle_refusal(address, response, progress).await;
        }
        match http::read_body(response.into_body()).await {
            Ok(answer) => Attempt::End(check_echo(call, &answer)),
            Err(_) => Attempt::Broken,
        }
    }
}

fn check_echo(call: &Call, answer: &[u8]) -> End {
    match serde_json::from_slice::<Echo>(answer) {
        Ok(echo) if echo.body == call.body && echo.key == call.key => End::Whole,
        Ok(_) => End::Wrong(Fault::Foreign { expected: 0 }),
        Err(_) => End::Failed(Failure::Protocol("malformed service answer".into())),
    }
}
