//! Tests of a complete stand-in fleet over sockets.

use futures::StreamExt;
use hickory_model::answer::Answer;
use hickory_standin::fleet::{Fleet, Options};
use hickory_store::host::List;
use hickory_store::http::Platform;
use hickory_store::store::{Expect, Store, Write};
use hickory_store::weight::Weights as _;
use hickory_target::engine::{Engines, Event, Generate, Priority, Weights};
use hickory_target::http::Targets;
use hickory_target::service::{Call, Services};
use hickory_unit::{id, size};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

fn generate(prompt: &str, max_tokens: u64) -> Generate {
    Generate {
        stream: id::Stream {
            request: id::Request(uuid::Uuid::now_v7()),
            attempt: 0,
            sender: "node-a".into(),
            deadline_ms: u64::MAX,
        },
        weights: Weights { model: "m".into(), version: "1".into(), adapter: None },
        prompt: prompt.into(),
        max_tokens: size::Tokens(max_tokens),
        priority: Priority(1),
        import: None,
        prefill_only: None,
        from: 0,
    }
}

fn options() -> Options {
    let mut options = Options::default();
    options.engine.model.speed = 100.0;
    options.engine.loaded = vec![generate("", 0).weights];
    options
}

#[tokio::test]
async fn platform_answers() {
    let fleet = Fleet::spawn(options()).unwrap();
    let platform = Platform::open(fleet.platform(), TIMEOUT);
    let write =
        Write { key: "k".into(), value: Some("v".into()), expect: Expect::Absent, lease: None };
    let revision = platform.write(write).await.unwrap();
    let entry = platform.get("k").await.unwrap().unwrap();
    assert_eq!((entry.value.as_str(), entry.revision), ("v", revision));
    assert_eq!(platform.get("none").await, Ok(None));
    assert_eq!(platform.hosts().await.unwrap().len(), 5);
    assert_eq!(platform.limit().await.unwrap().loads, 2);
}

#[tokio::test]
async fn engine_streams_the_answer() {
    let fleet = Fleet::spawn(options()).unwrap();
    let targets = Targets::open(TIMEOUT);
    let generate = generate("which primer for lime plaster?", 20);
    let at = fleet.engines[0].address();
    let mut tokens = targets.generate(at, &generate).await.unwrap();
    let mut text = String::new();
    loop {
        match tokens.next().await.unwrap().unwrap() {
            Event::Token { text: token, .. } => text.push_str(&token),
            Event::End { count } => {
                assert_eq!(count, 20);
                break;
            }
            Event::Failed { reason } => panic!("{reason}"),
        }
    }
    assert_eq!(text, Answer::for_prompt(&generate.prompt).text(20));
}

#[tokio::test]
async fn service_counts_runs_by_key() {
    let fleet = Fleet::spawn(options()).unwrap();
    let targets = Targets::open(TIMEOUT);
    let call = Call {
        path: "/order".into(),
        key: Some("key-1".into()),
        body: "two tins".into(),
        timeout: TIMEOUT,
    };
    let reply = targets.call(fleet.replicas[0].address(), call).await.unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(fleet.replicas[1].service().runs().count("key-1"), 1);
}
