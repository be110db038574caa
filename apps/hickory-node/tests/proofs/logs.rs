//! What the log tells of a request that met a failure, and where lines go.

use crate::process::{Node, build_settings, send_settings, spawn_process, wait_exit};
use crate::support::{Cluster, OPERATOR, WAIT_TIMEOUT, eventually, expected_text, options, times};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::process::ChildStdout;
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// What a pipe is taken to be full with: the kernel's usual size, less the page
/// that a line doesn't fit in.
const FULL_PIPE_BYTES: u64 = (64 - 4) << 10;

/// Requests whose lines neither a pipe nor the daemon's queue can hold.
const FLOOD_REQUESTS: usize = 1_500;

/// Reads lines by a thread of its own, since a pipe can't be waited for.
fn read_lines(output: BufReader<ChildStdout>) -> mpsc::Receiver<String> {
    let (sender, lines) = mpsc::channel();
    std::thread::spawn(move || {
        for line in output.lines() {
            let Ok(line) = line else { return };
            let _ = sender.send(line);
        }
    });
    lines
}

/// The lines of a node, all of which must be JSON.
struct Lines {
    source: mpsc::Receiver<String>,
    seen: Vec<Value>,
}

impl Lines {
    fn read(output: BufReader<ChildStdout>) -> Self {
        Self { source: read_lines(output), seen: Vec::new() }
    }

    /// Waits for a line whose message ends with `end`, in whatever order with
    /// others.
    async fn find(&mut self, end: &str) -> Value {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let parse = |line: String| serde_json::from_str(&line).expect("a line is JSON");
            self.seen.extend(self.source.try_iter().map(parse));
            let ends = |line: &&Value| line["message"].as_str().is_some_and(|m| m.ends_with(end));
            if let Some(line) = self.seen.iter().find(ends) {
                return line.clone();
            }
            assert!(Instant::now() < until, "{end:?} never came, but {:?}", self.seen);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Cluster {
    /// Asks for what can't be answered in time, which the log has a line about.
    async fn send_expired_request(&self, node: &Node) {
        let answer = self.complete_within(node.callers, "late", 100, Duration::from_millis(1));
        answer.await.expect("the node answers").read_to_end().await;
    }

    async fn assert_serves(&self, node: &Node) {
        let mut stream = self.complete(node.callers, "still served", 5).await.expect("an answer");
        stream.read_to_end().await;
        assert_eq!(stream.text, expected_text("still served", 5), "{:?}", stream.problem);
    }
}

/// The operators' collector reads standard output of every daemon, and had no
/// line of a node: they went to standard error. They must come on standard
/// output, behind the line that tells who started the node that it is ready,
/// up to the last one before the process ends.
#[tokio::test(flavor = "multi_thread")]
async fn log_lines_follow_the_addresses_on_standard_output() {
    let cluster = Cluster::start(1, options()).await;
    let (mut node, output) =
        Node::start_logging_to_stdout("node-out", "b", &cluster.standins, "info");
    let mut lines = Lines::read(output);
    let line = lines.find(&format!("serving callers on {}", node.callers)).await;
    assert_eq!(line["level"], "INFO");
    lines.find("configuration in force").await;
    node.signal(Signal::TERM);
    assert!(node.wait_for_exit().await.success());
    lines.find("planned stop done").await;
}

/// Who started a node reads its first line and then nothing more, while many
/// requests are refused and logged: the pipe fills. Were a line waited for, the
/// threads that serve would stand still with it. Callers must be answered as
/// before, a planned stop must end the process, and who reads on must find how
/// many lines are missing.
#[tokio::test(flavor = "multi_thread")]
async fn an_unread_pipe_does_not_block_callers() {
    let cluster = Cluster::start(1, options()).await;
    let (mut unread, output) =
        Node::start_logging_to_stdout("node-full", "b", &cluster.standins, "debug");
    let (late, late_output) =
        Node::start_logging_to_stdout("node-late", "c", &cluster.standins, "debug");
    for (node, output) in [(&unread, &output), (&late, &late_output)] {
        cluster.wait_until_ready(node, options().engines + options().replicas).await;
        for _ in 0..FLOOD_REQUESTS {
            cluster.send_expired_request(node).await;
        }
        let waits = rustix::io::ioctl_fionread(output.get_ref()).expect("a pipe tells its size");
        assert!(waits >= FULL_PIPE_BYTES, "the pipe is not full: {waits} bytes");
        cluster.assert_serves(node).await;
    }
    let lines = read_lines(late_output);
    let dropped = eventually("a line about dropped ones", || async {
        cluster.send_expired_request(&late).await;
        let messages = lines.try_iter().filter_map(|line| {
            let line: Value = serde_json::from_str(&line).expect("a line is JSON");
            Some(line["message"].as_str()?.to_owned())
        });
        messages.into_iter().find_map(|message| {
            message.strip_suffix(" log lines were dropped")?.parse::<u64>().ok()
        })
    });
    assert!(dropped.await > 0);
    unread.signal(Signal::TERM);
    assert!(unread.wait_for_exit().await.success());
    drop(output);
}

/// Who started a node closes the pipe, behind its first line or before it. No
/// one is left to tell anything, and the node has callers: it must serve and
/// stop as if it were read.
#[tokio::test(flavor = "multi_thread")]
async fn a_closed_pipe_does_not_end_the_node() {
    let cluster = Cluster::start(1, options()).await;
    let (mut node, output) =
        Node::start_logging_to_stdout("node-shut", "b", &cluster.standins, "debug");
    drop(output);
    cluster.wait_until_ready(&node, options().engines + options().replicas).await;
    for _ in 0..20 {
        cluster.send_expired_request(&node).await;
    }
    cluster.assert_serves(&node).await;
    node.signal(Signal::TERM);
    assert!(node.wait_for_exit().await.success());

    let mut child = spawn_process();
    drop(child.stdout.take());
    let platform = cluster.standins.platform();
    let logs = json!({ "level": "debug" });
    send_settings(&mut child, &build_settings("node-mute", "c", platform, &times(), &logs));
    let registered = eventually("the node is registered", || async {
        let nodes = cluster.get(cluster.nodes[0].admin, "/v1/admin/nodes", OPERATOR).await?;
        let mut nodes = nodes.as_array()?.iter();
        nodes.any(|node| node["node"] == "node-mute").then_some(())
    });
    registered.await;
    // A node that ends for want of a reader does so by itself, soon after.
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(child.try_wait().expect("the node can be waited for"), None, "it runs");
    kill_process(Pid::from_child(&child), Signal::TERM).expect("the node can be signalled");
    let status = tokio::time::timeout(WAIT_TIMEOUT, wait_exit(&mut child)).await;
    assert!(status.expect("the node ends").success());
}

/// The engine dies in the middle of a stream and another one goes on. The
/// caller sees nothing of it; the operator finds one line that names the
/// request, the attempt, the account, the target and its zone.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_attempt_is_logged_with_its_context() {
    let mut options = options();
    options.engine.model.speed = 0.5;
    let cluster = Cluster::start(1, options).await;
    let mut stream = cluster.complete(cluster.nodes[0].callers, "logged", 30).await.unwrap();
    assert!(stream.next().await);
    let holds = |engine: &&hickory_standin::engine::Handle| engine.service().kv_used().0 > 0;
    let engine = cluster.standins.engines.iter().position(|e| holds(&e)).expect("one holds it");
    cluster.standins.engines[engine].faults().kill();
    stream.read_to_end().await;
    assert_eq!(stream.text, expected_text("logged", 30));

    let line = eventually("a line about the attempt", || async {
        let text = std::fs::read_to_string(&cluster.nodes[0].log).ok()?;
        let mut lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.find(|line| line["message"].as_str().is_some_and(|m| m.starts_with("attempt failed")))
    })
    .await;
    assert_eq!(line["level"], "WARN");
    let about = &line["attributes"];
    assert_eq!(about["request"], stream.request.as_str());
    assert_eq!(about["attempt"], "0");
    assert_eq!(about["target"], format!("engine-{engine}"));
    assert_eq!(about["zone"], ["a", "b", "c"][engine % 3]);
    assert!(about["account"].is_string(), "{line}");
}
