//! The calls of an engine to other stand-ins: KV cache exports of other engines, and weights.

use bytes::Bytes;
use hickory_model::handle::Export;
use hickory_target::engine::Handle;
use hickory_unit::size;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for the export of a KV cache by another engine.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// The HTTP client of an engine.
#[derive(Debug)]
pub(crate) struct Peers {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Peers {
    pub(crate) fn open() -> Self {
        // Each call opens a new connection, so that a connection silenced by another stand-in's
        // faults is not reused.
        let builder = &mut Client::builder(TokioExecutor::new());
        Self { client: builder.pool_max_idle_per_host(0).build_http() }
    }

    /// Requests the description of a KV cache from the engine at `at`. Returns `None` if the
    /// engine does not hold it or does not answer.
    pub(crate) async fn export(&self, at: SocketAddr, handle: &Handle) -> Option<Export> {
        let body = serde_json::to_vec(handle).ok()?;
        let exchange = self.call("POST", format!("http://{at}/v1/export"), body);
        let answer = tokio::time::timeout(EXPORT_TIMEOUT, exchange).await.ok()??;
        serde_json::from_slice(&answer).ok()
    }

    /// Reads weights; returns `false` if the weight store is busy or unreachable.
    pub(crate) async fn read_weights(&self, at: SocketAddr, bytes: size::Bytes) -> bool {
        let uri = format!("http://{at}/read?bytes={bytes}");
        self.call("GET", uri, Vec::new()).await.is_some()
    }

    async fn call(&self, method: &str, uri: String, body: Vec<u8>) -> Option<Bytes> {
        let request = http::Request::builder().method(method).uri(uri);
        let request = request.body(Full::new(Bytes::from(body))).ok()?;
        let response = self.client.request(request).await.ok()?;
        let ok = response.status().is_success();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        ok.then_some(body)
    }
}
