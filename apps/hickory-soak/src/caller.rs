//! Simulated callers, which reuse most of their connections for further requests.

use crate::check::{Kind, Record, Request};
use crate::draw;
use crate::run::{Faults, Run};
use hickory_adapter_standin::caller::{
    Draft, Response, connect_with_small_buffer, read_slowly, read_with_timeout,
};
use hickory_adapter_standin::configuration::{ADDED_ROUTE, MOVED_ROUTE};
use hickory_adapter_standin::pace::Pace;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time in which most callers must have their final answer.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time beyond the deadline for which callers wait for an answer.
const LATE_ANSWER_TIME: Duration = Duration::from_secs(2);

/// The part with which all prompts begin.
pub(crate) const FIRST_PART: &str = "5c1e07a2";

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two reads of a caller that reads slowly. A read returns a few kilobytes.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(8);

/// How a caller uses its connections and what it sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Style {
    /// Sends quick requests, and gives up its connection if it is asked to.
    Brief,
    /// Keeps a connection to each host until it is closed, and sends requests of unlike length.
    Loyal,
    /// Like `Loyal`, but prefers hosts that are being stopped.
    Late,
    /// Like `Loyal`, but reads large answers slowly.
    Slow,
}

impl Style {
    fn of(number: usize, faults: Faults) -> Self {
        match (number % 4, faults) {
            (0, _) | (1, Faults::All) => Self::Brief,
            (1, Faults::Planned) => Self::Loyal,
            (2, _) => Self::Late,
            _ => Self::Slow,
        }
    }
}

/// Sends requests until the run ends.
pub(crate) async fn send_requests(run: Arc<Run>, number: usize) {
    let mut random = StdRng::seed_from_u64(run.seed ^ (number as u64) << 32);
    let style = Style::of(number, run.faults);
    let mut kept: HashMap<usize, TcpStream> = HashMap::new();
    let mut count = 0_u32;
    while !run.has_ended.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
        let host = choose_host(&run, &mut random, style, &kept);
        let mut stream = match kept.remove(&host) {
            Some(stream) => stream,
            None => match connect(run.hosts[host].settings.callers, style).await {
                Some(stream) => stream,
                None => continue,
            },
        };
        count += 1;
        let attempt = format!("a{number}-{count}");
        let (kind, pace) = match style {
            Style::Brief => (draw::brief_kind(&mut random, &run), None),
            Style::Loyal | Style::Late | Style::Slow => {
                draw::unlike_kind(&mut random, &run, host, style == Style::Slow)
            }
        };
        let request = Request {
            attempt,
            kind,
            pace,
            deadline: draw::deadline(&mut random, kind, pace),
            is_read_slowly: style == Style::Slow,
            host,
            incarnation: run.hosts[host].incarnation(),
            sent_at: Instant::now(),
        };
        let text = format_request(&request, number, count);
        let pause = if request.is_read_slowly { SLOW_READ_INTERVAL } else { Duration::ZERO };
        let timeout = request.deadline + LATE_ANSWER_TIME;
        let answer = match stream.write_all(text.as_bytes()).await {
            Ok(()) => read_slowly(&mut stream, timeout, pause).await,
            Err(_) => Response::default(),
        };
        let closes = style == Style::Brief && answer.header("connection") == Some("close");
        if answer.is_complete && !closes && (style != Style::Brief || random.random_bool(0.8)) {
            kept.insert(host, stream);
        }
        run.record(Record { request, answer, ended_at: Instant::now() });
    }
}

fn choose_host(
    run: &Run,
    random: &mut StdRng,
    style: Style,
    kept: &HashMap<usize, TcpStream>,
) -> usize {
    let any = random.random_range(0..run.hosts.len());
    match style {
        Style::Brief => kept.keys().next().copied().unwrap_or(any),
        Style::Late => {
            let hosts = 0..run.hosts.len();
            let stopping: Vec<usize> = hosts.filter(|i| run.hosts[*i].is_stopping()).collect();
            stopping.choose(random).copied().unwrap_or(any)
        }
        Style::Loyal | Style::Slow => any,
    }
}

async fn connect(address: SocketAddr, style: Style) -> Option<TcpStream> {
    let connection = async {
        match style {
            Style::Slow => connect_with_small_buffer(address).await,
            Style::Brief | Style::Loyal | Style::Late => TcpStream::connect(address).await,
        }
    };
    tokio::time::timeout(CONNECT_TIMEOUT, connection).await.ok()?.ok()
}

fn format_request(request: &Request, caller: usize, count: u32) -> String {
    let (method, route) = match request.kind {
        Kind::Read | Kind::Large => ("GET", "read".to_owned()),
        Kind::Once => ("POST", "pay".to_owned()),
        Kind::Stream => ("POST", "say".to_owned()),
        Kind::LongStream => ("POST", "long".to_owned()),
        Kind::OnceStream => ("POST", "once".to_owned()),
        Kind::Moved => ("GET", MOVED_ROUTE.to_owned()),
        Kind::Added => ("GET", ADDED_ROUTE.to_owned()),
        Kind::Version(version) => ("GET", format!("v{version}")),
    };
    let is_stream = request.kind.is_stream();
    let path = match request.pace {
        Some(pace) => format!("/{route}/{pace}"),
        None => format!("/{route}/1"),
    };
    let parts = format!("{FIRST_PART}:800,{caller:x}:300,{count:x}:260");
    let draft = Draft {
        attempt: &request.attempt,
        method,
        path: &path,
        key: if caller % 5 == 3 { "key-2" } else { "key-1" },
        deadline: request.deadline,
        output_tokens: request.pace.filter(|_| is_stream).map_or(80, |pace| output_tokens(&pace)),
        parts: &parts,
    };
    draft.to_string()
}

/// Returns the output tokens that the engines of the stand-ins would write in the time of a stream.
fn output_tokens(pace: &Pace) -> u64 {
    const TOKENS_PER_MS: f64 = 1.0;
    let pause = match pace {
        Pace::PausedEvents { pause, .. } => *pause,
        Pace::Delay(_) | Pace::Body(_) | Pace::Events { .. } => Duration::ZERO,
    };
    ((pace.duration() - pause).as_secs_f64() * 1_000.0 * TOKENS_PER_MS) as u64
}

/// Sends a request on a connection of its own, and ignores the answer.
pub(crate) async fn send_once(address: SocketAddr, request: String) {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(mut stream)) = connected else { return };
    if stream.write_all(request.as_bytes()).await.is_ok() {
        read_with_timeout(&mut stream, ANSWER_TIMEOUT).await;
    }
}
