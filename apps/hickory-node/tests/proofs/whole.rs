//! A caller receives the whole answer to its own request, and in time, when
//! connections and engines fail under it.

use crate::support::{
    ACCOUNT, MODEL, OPERATOR, PATIENCE, Scene, Stream, eventually, expected, options, times,
};
use hickory_model::batch::Stall;
use hickory_standin::fault::Loss;
use hickory_standin::fleet;
use rustix::process::Signal;
use serde_json::json;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Streams of a few seconds, so that a fault finds them under way.
fn slow_options() -> fleet::Options {
    let mut options = options();
    options.engine.model.speed = 0.5;
    options
}

/// Opens a stream through the first node and reads a few tokens.
async fn begin(scene: &Scene, prompt: &str, tokens: u64) -> Stream {
    let mut stream = scene.complete(scene.nodes[0].callers, prompt, tokens).await.unwrap();
    for _ in 0..3 {
        assert!(stream.next().await);
    }
    stream
}

async fn assert_whole(scene: &Scene, prompt: &str, tokens: u64, mut stream: Stream) {
    stream.rest().await;
    assert_eq!(stream.problem, None);
    assert_eq!(stream.text, expected(prompt, tokens));
    assert!(stream.done);
    eventually("all memory is free", || async { (scene.kv_used() == 0).then_some(()) }).await;
}

/// All connections between node and engines break in the middle of a stream,
/// while the engines go on. The caller sees nothing of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_connection_to_the_engine_is_not_seen() {
    let scene = Scene::start(2, slow_options()).await;
    let stream = begin(&scene, "cut", 40).await;
    scene.standins.engines.iter().for_each(|engine| engine.faults().cut());
    assert_whole(&scene, "cut", 40, stream).await;
}

/// The connections break again and again, each time after a few tokens. The
/// stream moves on and costs no retry, so it is not given up on.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_cut_again_and_again_is_not_seen() {
    let scene = Scene::start(2, slow_options()).await;
    let mut stream = begin(&scene, "cut often", 60).await;
    for _ in 0..15 {
        assert!(stream.next().await && stream.next().await);
        scene.standins.engines.iter().for_each(|engine| engine.faults().cut());
    }
    assert_whole(&scene, "cut often", 60, stream).await;
}

/// All open connections to the engines go silent for good in the middle of a
/// stream, while new ones work. The stream is taken up over a new one.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_to_the_engine_is_replaced() {
    let scene = Scene::start(2, slow_options()).await;
    let stream = begin(&scene, "silent", 40).await;
    scene.standins.engines.iter().for_each(|engine| engine.faults().silence());
    assert_whole(&scene, "silent", 40, stream).await;
}

/// The engine dies in the middle of a stream. Another one goes on after the
/// last token that the caller has.
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_engine_is_replaced_in_mid_stream() {
    let scene = Scene::start(2, slow_options()).await;
    let stream = begin(&scene, "dead", 40).await;
    let holds = |engine: &&hickory_standin::engine::Handle| engine.service().kv_used().0 > 0;
    scene.standins.engines.iter().find(holds).expect("one holds it").faults().kill();
    assert_whole(&scene, "dead", 40, stream).await;
}

/// The engine freezes in the middle of a stream. The stream goes on elsewhere;
/// when the engine thaws, what it still held is cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_is_replaced_and_freed_when_it_thaws() {
    let scene = Scene::start(2, slow_options()).await;
    let mut stream = begin(&scene, "frozen", 40).await;
    let holds = |engine: &&hickory_standin::engine::Handle| engine.service().kv_used().0 > 0;
    let engine = scene.standins.engines.iter().find(holds).expect("one holds it");
    engine.faults().freeze();
    stream.rest().await;
    assert_eq!(stream.text, expected("frozen", 40));
    engine.faults().thaw();
    eventually("all memory is free", || async { (scene.kv_used() == 0).then_some(()) }).await;
}

/// The caller's node freezes in the middle of a stream. The caller gives up on
/// it and takes the stream up through another node; when the first one goes on
/// it finds its stream superseded and does the caller's stream no harm.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_does_not_hold_its_callers() {
    let scene = Scene::start(3, slow_options()).await;
    let stream = begin(&scene, "node", 60).await;
    scene.nodes[0].signal(Signal::STOP);
    let at = scene.nodes[1].callers;
    let mut rest = eventually("the stream is taken up", || async {
        let rest = scene.resume(at, &stream.request, &stream.event).await.ok()?;
        (rest.status == 200).then_some(rest)
    })
    .await;
    assert!(rest.next().await);
    scene.nodes[0].signal(Signal::CONT);
    rest.rest().await;
    assert_eq!(stream.text.clone() + &rest.text, expected("node", 60));
    drop(stream);
    eventually("all memory is free", || async { (scene.kv_used() == 0).then_some(()) }).await;
}

/// No engine moves on: the caller gets its final answer when the deadline
/// passes, not later, and the engines get their memory back.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_stalls_everywhere_ends_at_its_deadline() {
    // Streams may stand still for longer than the request has time: nothing
    // but its deadline ends it.
    let mut times = times();
    times["progress_ms"] = json!(120_000);
    let scene = Scene::start_with(2, options(), &times).await;
    for node in &scene.nodes {
        scene.ready(node, 5).await;
    }
    scene.standins.engines.iter().for_each(|engine| engine.faults().freeze());
    let at = scene.nodes[0].callers;
    let ask = async {
        let wait = Duration::from_secs(2);
        let mut stream = scene.complete_within(at, "never", 5, wait).await.unwrap();
        stream.rest().await;
        stream
    };
    let stream = tokio::time::timeout(PATIENCE, ask).await.expect("the final answer comes");
    let problem = stream.problem.expect("a refusal");
    assert_eq!(problem["ran"], json!("unknown"), "{problem}");
    scene.standins.engines.iter().for_each(|engine| engine.faults().thaw());
    eventually("all memory is free", || async { (scene.kv_used() == 0).then_some(()) }).await;
}

/// Many streams at once through all nodes, while engines' connections are cut
/// again and again: each caller gets its own answer, whole.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_not_crossed() {
    let mut options = options();
    options.engine.model.speed = 4.0;
    let scene = Scene::start(3, options).await;
    let ask = |i: usize| {
        let scene = &scene;
        async move {
            let prompt = format!("own prompt {i}");
            let at = scene.nodes[i % 3].callers;
            let mut stream = scene.complete(at, &prompt, 20).await.unwrap();
            stream.rest().await;
            assert_eq!(stream.problem, None);
            assert_eq!(stream.text, expected(&prompt, 20));
        }
    };
    let cuts = async {
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            scene.standins.engines.iter().for_each(|engine| engine.faults().cut());
        }
    };
    let (_, ()) = tokio::join!(futures::future::join_all((0..60).map(ask)), cuts);
    eventually("all memory is free", || async { (scene.kv_used() == 0).then_some(()) }).await;
}

/// The only engine that serves the model loses a request before it reads it, once
/// and again and again: the request is sent there until it is read.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_never_began_is_asked_again_where_no_other_is_left() {
    let mut options = options();
    options.engines = 1;
    let scene = Scene::start(2, options).await;
    for times in [1, 5] {
        scene.standins.engines[0].faults().lose(Loss::Call, "/v1/generate", times);
        let prompt = format!("lost {times} times");
        let stream = scene.complete(scene.nodes[0].callers, &prompt, 5).await.unwrap();
        assert_whole(&scene, &prompt, 5, stream).await;
    }
}

/// Two engines lose a request and then their load reports. Neither of them
/// died: the request isn't blamed for a death.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_load_report_is_no_death() {
    let mut options = options();
    options.engines = 2;
    let scene = Scene::start(2, options).await;
    for engine in &scene.standins.engines {
        engine.faults().lose(Loss::Call, "/v1/generate", 1);
        engine.faults().lose(Loss::Call, "/v1/report", 40);
    }
    let at = scene.nodes[0].callers;
    let mut stream = scene.complete(at, "no death", 5).await.unwrap();
    stream.rest().await;
    let reason = stream.problem.map(|problem| problem["reason"].clone());
    assert_ne!(reason, Some(json!("quarantined")));
    eventually("the same content is served", || async {
        let mut stream = scene.complete(at, "no death", 5).await.ok()?;
        stream.rest().await;
        (stream.text == expected("no death", 5)).then_some(())
    })
    .await;
}

/// The engine loses the cancel of a stream whose caller hung up: the owner
/// cancels again until the engine confirms it.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_cancel_is_sent_again() {
    let mut options = options();
    options.engine.model.speed = 0.1;
    let scene = Scene::start(2, options).await;
    scene.standins.engines.iter().for_each(|engine| engine.faults().lose_cancels(2));
    drop(begin(&scene, "hang up", 300).await);
    eventually("all memory is free", || async { (scene.kv_used() == 0).then_some(()) }).await;
}

/// Engines stop moving on, before the first token or in mid-stream, and answer
/// all else. The stream goes on elsewhere, and what stands still on the first
/// engine is cancelled there, although the first cancels are lost: it would
/// hold its memory until long after the caller has gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_engine_is_replaced_and_freed() {
    tokio::join!(stall_one_engine(0), stall_one_engine(10));
}

async fn stall_one_engine(after: u64) {
    let scene = Scene::start(2, slow_options()).await;
    scene.standins.engines.iter().for_each(|e| e.service().stall(Stall::After(after)));
    let time_left = Duration::from_secs(600);
    let at = scene.nodes[0].callers;
    let ask = async {
        let mut stream = scene.complete_within(at, "stalled", 30, time_left).await.unwrap();
        stream.rest().await;
        stream
    };
    let free_others = async {
        let holder = || async { scene.standins.engines.iter().position(holds) };
        let stalled = eventually("an engine holds the stream", holder).await;
        let engines = scene.standins.engines.iter().enumerate();
        engines.filter(|(i, _)| *i != stalled).for_each(|(_, e)| e.service().stall(Stall::None));
        scene.standins.engines[stalled].faults().lose_cancels(2);
    };
    let (stream, ()) = tokio::join!(ask, free_others);
    assert_whole(&scene, "stalled", 30, stream).await;
}

fn holds(engine: &hickory_standin::engine::Handle) -> bool {
    engine.service().kv_used().0 > 0
}

/// An engine resumes a stream from its first token on, not from where it was
/// asked to. The caller sees no token twice.
#[tokio::test(flavor = "multi_thread")]
async fn tokens_given_already_are_not_given_again() {
    let mut options = slow_options();
    options.engine.ignores_resume_position = true;
    let scene = Scene::start(2, options).await;
    let stream = begin(&scene, "replayed", 40).await;
    scene.standins.engines.iter().for_each(|engine| engine.faults().cut());
    assert_whole(&scene, "replayed", 40, stream).await;
}

/// An engine freezes: its owner misses its reports, and new work goes to the
/// others at once instead of waiting there. Once it thaws, it serves again.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_gets_no_new_work() {
    let scene = Scene::start(2, options()).await;
    let accepts = |wanted: bool| {
        let scene = &scene;
        move || async move {
            let targets = scene.get(scene.nodes[0].admin, "/v1/admin/targets", OPERATOR).await?;
            let engine = targets.as_array()?.iter().find(|t| t["target"] == "engine-0")?;
            (engine["accepting"] == json!(wanted)).then_some(())
        }
    };
    scene.standins.engines[0].faults().freeze();
    eventually("the frozen engine takes no work", accepts(false)).await;
    scene.standins.engines[0].faults().thaw();
    eventually("the engine takes work again", accepts(true)).await;
}

/// A caller asks for a long answer and reads none of it, with its connection
/// open. Its stream is given up on and the engine gets its memory back, long
/// before the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_never_reads_does_not_hold_its_stream() {
    let mut options = options();
    options.engine.model.speed = 20.0;
    let scene = Scene::start(2, options).await;
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut silent = socket.connect(scene.nodes[0].callers).await.unwrap();
    let body = json!({
        "model": MODEL, "prompt": "unread", "max_tokens": 100_000, "stream": true,
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ACCOUNT}\r\n\
         x-time-left-ms: 3600000\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    silent.write_all((head + &body).as_bytes()).await.unwrap();
    let held = || async { (scene.kv_used() > 0).then_some(()) };
    eventually("the stream runs", held).await;
    eventually("all memory is free", || async { (scene.kv_used() == 0).then_some(()) }).await;
    drop(silent);
}
