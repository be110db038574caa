//! A run counts each request once and measures latency from the intended send time.

mod fake;

use fake::{Node, STREAM, end, entry, refusal, respond, token};
use hickory_load::mix::{Arrival, Class, Length, Options, Part};
use hickory_load::outcome::{End, Kind, Outcome, Sample};
use hickory_load::report::Report;
use hickory_load::run::{self, Credential};
use hickory_model::answer::Answer;
use hickory_unit::id;
use std::time::Duration;

/// Service time of the scripted node, which processes one request at a time.
const SERVICE_TIME: Duration = Duration::from_millis(40);

fn credentials() -> Vec<Credential> {
    vec![Credential { account: "shop".into(), token: "secret".into() }]
}

fn burst(size: u32) -> Options {
    let mut part = Part::new(Length::Short, Class::Interactive, f64::from(size));
    part.max_tokens = 2;
    part.arrival = Arrival::Bursts(size);
    Options { parts: vec![part], resends: 0, ..Options::empty(11, Duration::from_secs(2)) }
}

/// Starts a node that processes requests sequentially. It refuses the first one and
/// answers the others correctly for their prompts.
fn slow_node() -> Node {
    Node::spawn(|seen, number| {
        if seen.line == "GET /v1/entry" {
            return entry(seen.header("host").expect("host").parse().expect("address"), &[]);
        }
        std::thread::sleep(SERVICE_TIME);
        if number == 0 {
            return refusal(429, "overloaded", "no", None);
        }
        let (_, rest) = seen.body.split_once("\"prompt\":\"").expect("prompt");
        let answer = Answer::for_prompt(rest.split_once('"').expect("prompt").0);
        let tokens: String = (0..2).map(|seq| token(seq, &answer.token(seq))).collect();
        respond(200, STREAM, &(tokens + &end(2)))
    })
}

/// Eight requests are sent at once to a node that processes them sequentially. The
/// latency of the last one must include its time in the queue; measured from the
/// start of processing, it would look as fast as the first.
#[test]
fn latency_counts_from_the_intended_send_time() {
    let options = burst(8);
    let node = slow_node();
    let samples = run::collect_samples(&options, vec![node.address], credentials()).expect("run");
    let burst: Vec<_> =
        samples.iter().filter(|sample| sample.send_at == samples[0].send_at).collect();
    assert!(burst.len() >= 8);
    let slowest = burst.iter().map(|sample| sample.outcome.latency).max().expect("samples");
    assert!(slowest >= SERVICE_TIME * 8, "{slowest:?}");
}

#[test]
fn each_request_is_counted_once() {
    let options = burst(4);
    let node = slow_node();
    let report = run::run(options, vec![node.address], credentials()).expect("run");
    let sent = node.requests().len() as u64;
    assert_eq!(report.sent, sent);
    assert!(node.entry_queries() >= 1);
    assert_eq!(report.ends.values().sum::<u64>(), sent);
    assert_eq!((report.count_ended("refused"), report.count_ended("whole")), (1, sent - 1));
    assert_eq!(report.refusals["overloaded"].not_run, 1);
    assert_eq!(report.lost(), 0);
    let short = report.for_length(Length::Short).expect("short");
    assert_eq!((short.sent, short.first_token.count()), (sent, sent - 1));
    let shop = &report.accounts[&id::Account::from("shop")];
    assert_eq!((shop.whole, shop.answer_tokens), (sent - 1, 2 * (sent - 1)));
}

fn sample(at_ms: u64, length: Length, first_token_ms: u64) -> Sample {
    let first_token = Some(Duration::from_millis(first_token_ms));
    let outcome = Outcome {
        end: End::Whole,
        first_token,
        gaps: Vec::new(),
        latency: Duration::from_millis(first_token_ms),
        tokens: 1,
        refusals: Vec::new(),
        resumes: 0,
        resends: 0,
    };
    let send_at = Duration::from_millis(at_ms);
    Sample {
        send_at,
        kind: Kind::Completion(length),
        class: Class::Interactive,
        account: 0,
        outcome,
    }
}

#[test]
fn slowdown_compares_short_requests_before_and_beside_long_ones() {
    let mut long = Part::new(Length::Long, Class::Batch, 1.0);
    long.from = Duration::from_secs(1);
    let parts = vec![Part::new(Length::Short, Class::Interactive, 1.0), long];
    let options = Options { parts, ..Options::empty(1, Duration::from_secs(2)) };
    let samples = [
        sample(100, Length::Short, 20),
        sample(1_100, Length::Short, 50),
        sample(1_200, Length::Long, 900),
    ];
    let slowdown = Report::from_samples(&options, &[], &samples).slowdown.expect("both phases");
    assert!((slowdown.p95 - 2.5).abs() < 0.01, "{slowdown:?}");
    assert!(Report::from_samples(&options, &[], &samples[..1]).slowdown.is_none());
}
