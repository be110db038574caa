//! Simulated callers, which reuse most of their connections for further requests.

use crate::check::{Kind, Record, Request};
use crate::run::Run;
use hickory_adapter_standin::caller::{
    Response, read_with_timeout, request_with_attempt_id, request_with_parts,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time in which a caller must have its final answer.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The part with which all prompts begin.
pub(crate) const FIRST_PART: &str = "5c1e07a2";

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends requests until the run ends.
pub(crate) async fn send_requests(run: Arc<Run>, number: usize) {
    let mut random = StdRng::seed_from_u64(run.seed ^ (number as u64) << 32);
    let mut idle_connection: Option<(usize, TcpStream)> = None;
    let mut count = 0_u32;
    while !run.has_ended.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
        let (host, mut stream) = match idle_connection.take() {
            Some(idle_connection) => idle_connection,
            None => {
                let host = random.random_range(0..run.hosts.len());
                let address = run.hosts[host].settings.callers;
                match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                    Ok(Ok(stream)) => (host, stream),
                    _ => continue,
                }
            }
        };
        count += 1;
        let attempt = format!("a{number}-{count}");
        let kind = pick_kind(&mut random, &run);
        let request = Request {
            attempt: attempt.clone(),
            kind,
            host,
            incarnation: run.hosts[host].incarnation(),
            sent_at: Instant::now(),
        };
        let (method, path) = match kind {
            Kind::Read => ("GET", "/read/1".to_owned()),
            Kind::Once => ("POST", "/pay/1".to_owned()),
            Kind::Stream => ("POST", "/say/1".to_owned()),
            Kind::Version(version) => ("GET", format!("/v{version}/1")),
        };
        let text = match kind {
            Kind::Stream => {
                let parts = format!("{FIRST_PART}:800,{number:x}:300,{count:x}:260");
                request_with_parts(&attempt, &path, &parts, &attempt)
            }
            _ => request_with_attempt_id(&attempt, method, &path, "body"),
        };
        let answer = match stream.write_all(text.as_bytes()).await {
            Ok(()) => read_with_timeout(&mut stream, ANSWER_TIMEOUT + Duration::from_secs(2)).await,
            Err(_) => Response::default(),
        };
        let closes = answer.header("connection") == Some("close");
        if answer.is_complete && !closes && random.random_bool(0.8) {
            idle_connection = Some((host, stream));
        }
        run.record(Record { request, answer, ended_at: Instant::now() });
    }
}

/// Sends a request on a connection of its own, and ignores the answer.
pub(crate) async fn send_once(address: SocketAddr, request: String) {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(mut stream)) = connected else { return };
    if stream.write_all(request.as_bytes()).await.is_ok() {
        read_with_timeout(&mut stream, ANSWER_TIMEOUT).await;
    }
}

fn pick_kind(random: &mut StdRng, run: &Run) -> Kind {
    match random.random_range(0..10) {
        0..=3 => Kind::Read,
        4..=5 => Kind::Once,
        6..=7 => Kind::Stream,
        _ => Kind::Version(random.random_range(1..=run.version.load(Ordering::Relaxed))),
    }
}
