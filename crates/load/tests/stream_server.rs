//! Which HTTP server sends a streamed token before the next one is generated.

use bytes::Bytes;
use crossbeam::channel::{Receiver, Sender, unbounded};
use hickory_load::stream_server::{self, Server, Source};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Made(u32),
    Seen,
    TimedOut,
}

/// Generates the second token only after the reader has received the first, or after
/// a timeout.
struct AcknowledgedSource {
    made: u32,
    steps: Sender<Step>,
    seen: Receiver<()>,
    timeout: Duration,
}

impl Source for AcknowledgedSource {
    fn next_token(&mut self) -> Option<Bytes> {
        if self.made == 1 && self.seen.recv_timeout(self.timeout).is_err() {
            self.steps.send(Step::TimedOut).ok()?;
        }
        if self.made == 2 {
            return None;
        }
        self.steps.send(Step::Made(self.made)).ok()?;
        self.made += 1;
        Some(Bytes::from_static(b"data: token\n\n"))
    }
}

fn record_steps(server: Server, timeout: Duration) -> Vec<Step> {
    let (steps, recorded) = unbounded();
    let (ack, seen) = unbounded();
    let source = AcknowledgedSource { made: 0, steps: steps.clone(), seen, timeout };
    let address = stream_server::spawn_server(server, source).expect("server");
    let mut first = true;
    stream_server::read_answer(address, |answer| {
        if first && !stream_server::split_body(answer).is_empty() {
            first = false;
            steps.send(Step::Seen).expect("step");
            // The source may have timed out and ended already.
            ack.send(()).ok();
        }
    })
    .expect("answer");
    drop(steps);
    recorded.try_iter().collect()
}

/// With oxhttp the caller receives nothing of a streamed answer until its end. The
/// server collects chunks of at least 1,024 bytes in a 16 KiB buffer that it flushes
/// only at the end, so the source times out waiting for the first token to be
/// received. The timeout only limits the test; a longer one has the same result.
#[test]
fn oxhttp_delays_the_first_token_until_the_answer_ends() {
    let steps = record_steps(Server::Oxhttp, Duration::from_millis(500));
    assert_eq!(steps, [Step::Made(0), Step::TimedOut, Step::Made(1), Step::Seen]);
}

/// With hyper the caller receives the first token while the answer is still being
/// generated, so the source is acknowledged before its timeout.
#[test]
fn hyper_sends_each_token_immediately() {
    let steps = record_steps(Server::Hyper, Duration::from_secs(15));
    assert_eq!(steps, [Step::Made(0), Step::Seen, Step::Made(1)]);
}
