//! Commands against nodes that answer, fail, do not respond or race.

#[path = "../../../crates/admin/tests/fake/mod.rs"]
mod fake;
mod run;

use fake::{Fake, Fault, Platform, TOKEN};
use hickory_admin::{Handle, Server};
use run::run;
use socket2::{Domain, Socket, Type};
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

const FIRST: &str = include_str!("../../../crates/admin/tests/data/first.jsonc");

const ACCEPT: &[&str] = &["release", "accept", "note.jsonc"];

/// Another operator's note that does not change any zone.
const OTHER_SHARE: &str =
    r#"{ "against": 1, "changed": { "partners": { "caucao": { "share": 5 } } } }"#;
/// Another operator's note that takes the same zone out of service.
const SAME_ZONE: &str =
    r#"{ "against": 1, "changed": { "zones": { "nairobi-a": { "out": true } } } }"#;
/// Another operator's note that withdraws the zone.
const NO_ZONE: &str = r#"{ "against": 1, "withdrawn": { "zones": ["nairobi-a"] } }"#;

/// A node that is passed to the command line.
#[derive(Clone)]
enum Node {
    /// Answers, with these faults at its next accept calls.
    Up(Vec<Fault>),
    /// Refuses connections.
    Dead,
    /// Accepts connections and never answers.
    Mute,
}

/// Timeout in scenarios in which every node responds; it is never reached.
const LONG_TIMEOUT_MS: &str = "60000";
/// Timeout in scenarios with a node that does not respond. It is far longer than the
/// other nodes need to answer.
const SHORT_TIMEOUT_MS: &str = "2000";

struct Scenario {
    name: &'static str,
    nodes: Vec<Node>,
    timeout_ms: &'static str,
    args: &'static [&'static str],
}

fn one_node(name: &'static str, args: &'static [&'static str]) -> Scenario {
    with_nodes(name, vec![up([])], args)
}

fn with_nodes(name: &'static str, nodes: Vec<Node>, args: &'static [&'static str]) -> Scenario {
    Scenario { name, nodes, timeout_ms: LONG_TIMEOUT_MS, args }
}

fn with_silent_node(
    name: &'static str,
    nodes: Vec<Node>,
    args: &'static [&'static str],
) -> Scenario {
    Scenario { name, nodes, timeout_ms: SHORT_TIMEOUT_MS, args }
}

fn up(faults: impl IntoIterator<Item = Fault>) -> Node {
    Node::Up(faults.into_iter().collect())
}

/// A node of a running scenario, which keeps its address reserved.
enum RunningNode {
    Up(Arc<Fake>, Handle<Fake>),
    Dead(Socket),
    Mute(TcpListener),
}

impl RunningNode {
    fn open(platform: &Arc<Platform>, node: Node) -> Self {
        match node {
            Node::Up(faults) => {
                let fake = Fake::open(platform, faults);
                let address = "127.0.0.1:0".parse().unwrap();
                let handle = Server::spawn(address, Arc::clone(&fake)).unwrap();
                Self::Up(fake, handle)
            }
            Node::Dead => Self::Dead(bind_without_listening()),
            Node::Mute => Self::Mute(TcpListener::bind("127.0.0.1:0").unwrap()),
        }
    }

    fn address(&self) -> String {
        match self {
            Self::Up(_, handle) => handle.address().to_string(),
            Self::Dead(socket) => socket.local_addr().unwrap().as_socket().unwrap().to_string(),
            Self::Mute(listener) => listener.local_addr().unwrap().to_string(),
        }
    }

    fn received_notes(&self) -> usize {
        match self {
            Self::Up(fake, _) => fake.received_notes(),
            _ => 0,
        }
    }
}

/// Reserves an address that refuses connections as long as the socket is open.
fn bind_without_listening() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&address.into()).unwrap();
    socket
}

/// Runs one scenario on a platform of its own. Writes the command's output, the number
/// of notes that each node received, and the configuration in force to the report.
fn run_scenario(scenario: Scenario, report: &mut String) {
    let platform = Platform::open(FIRST);
    let nodes: Vec<RunningNode> =
        scenario.nodes.into_iter().map(|node| RunningNode::open(&platform, node)).collect();
    let addresses: Vec<String> = nodes.iter().map(RunningNode::address).collect();
    let mut args = Vec::from(scenario.args);
    args.extend(["--timeout-ms", scenario.timeout_ms]);
    addresses.iter().for_each(|address| args.extend(["--node", address]));
    let mut output = run(&args, &[("HICKORY_TOKEN", TOKEN)]);
    output.command = scenario.args.join(" ");
    let mut text = output.to_string();
    for (index, address) in addresses.iter().enumerate() {
        text = text.replace(address, &format!("NODE-{}", index + 1));
    }
    let received_notes: Vec<usize> = nodes.iter().map(RunningNode::received_notes).collect();
    let configuration = platform.configuration();
    let operations =
        configuration.operations.iter().map(|o| hide_random_ids(o)).collect::<Vec<_>>();
    writeln!(report, "## {}\n{}", scenario.name, hide_random_ids(&text)).unwrap();
    writeln!(
        report,
        "notes {received_notes:?}, version {}: {operations:?}\n",
        configuration.version
    )
    .unwrap();
    for node in &nodes {
        if let RunningNode::Up(fake, _) = node {
            fake.release();
        }
    }
}

/// Replaces generated operation ids, which are UUIDs.
fn hide_random_ids(text: &str) -> String {
    let is_random = |word: &str| word.len() == 36 && word.matches('-').count() == 4;
    let hide = |word: &str| if is_random(word) { "RANDOM".to_owned() } else { word.to_owned() };
    text.split('\n')
        .map(|line| line.split(' ').map(hide).collect::<Vec<_>>().join(" "))
        .collect::<Vec<_>>()
        .join("\n")
}

fn run_scenarios(scenarios: impl IntoIterator<Item = Scenario>) -> String {
    let mut report = String::new();
    scenarios.into_iter().for_each(|scenario| run_scenario(scenario, &mut report));
    report
}

#[test]
fn show_commands_print_tables_and_json() {
    let report = run_scenarios([
        one_node("nodes", &["nodes"]),
        one_node("nodes as JSON", &["--json", "nodes"]),
        one_node("targets", &["targets"]),
        one_node("owners", &["owners"]),
        one_node("owners as JSON", &["--json", "owners"]),
        one_node("configuration", &["release", "show"]),
        one_node("drain", &["drain"]),
        with_nodes("the first node is dead", vec![Node::Dead, up([])], &["owners"]),
        with_nodes("all nodes are dead", vec![Node::Dead, Node::Dead], &["owners"]),
        with_nodes("the node to drain is dead", vec![Node::Dead], &["drain"]),
    ]);
    insta::assert_snapshot!(report);
}

#[test]
fn notes_are_accepted_compared_and_refused() {
    let report = run_scenarios([
        one_node("accept", &["release", "accept", "note.jsonc"]),
        one_node("accept as JSON", &["--json", "release", "accept", "note.jsonc"]),
        one_node("diff", &["release", "diff", "note.jsonc"]),
        one_node("diff as JSON", &["--json", "release", "diff", "note.jsonc"]),
        one_node("diff of a stale note", &["release", "diff", "note_stale.jsonc"]),
        one_node("diff of an invalid note", &["release", "diff", "note_reference.jsonc"]),
        one_node("stale", &["release", "accept", "note_stale.jsonc"]),
        one_node("stale as JSON", &["--json", "release", "accept", "note_stale.jsonc"]),
        one_node("wrong by itself", &["release", "accept", "note_shape.jsonc"]),
        one_node("wrong against the configuration", &["release", "accept", "note_reference.jsonc"]),
        one_node("find", &["release", "find", "op-first"]),
        one_node("find in vain", &["release", "find", "op-never"]),
    ]);
    insta::assert_snapshot!(report);
}

// A note must be accepted exactly once, whichever answer is lost. If it were sent
// again without reading its operation back, it would conflict with its own version,
// or be accepted twice under a new id.
#[test]
fn a_note_whose_answer_is_lost_is_accepted_once() {
    let report = run_scenarios([
        with_nodes(
            "the platform's answer is lost after the write",
            vec![up([Fault::LostAfter])],
            ACCEPT,
        ),
        with_nodes("the write is lost", vec![up([Fault::LostBefore])], ACCEPT),
        with_nodes(
            "the write is lost, then the node",
            vec![up([Fault::LostBefore]), Node::Dead],
            ACCEPT,
        ),
        with_nodes(
            "lost on both nodes, written by the second",
            vec![up([Fault::LostBefore]), up([Fault::LostAfter])],
            ACCEPT,
        ),
        with_nodes(
            "the platform is down at one node",
            vec![up([Fault::Unavailable]), up([])],
            ACCEPT,
        ),
        with_nodes(
            "the platform is down",
            vec![up([Fault::Unavailable, Fault::Unavailable])],
            ACCEPT,
        ),
        with_nodes("all nodes are dead", vec![Node::Dead, Node::Dead], ACCEPT),
        with_nodes(
            "lost, and another note gets in",
            vec![up([Fault::LostBefore]), up([Fault::Race(OTHER_SHARE)])],
            ACCEPT,
        ),
        with_nodes(
            "lost, and takes effect while it is sent again",
            vec![up([Fault::LostBefore]), up([Fault::Overtaken])],
            ACCEPT,
        ),
    ]);
    insta::assert_snapshot!(report);
}

// One operator takes a zone out of service while another changes something else; the
// zone's note must be accepted after a retry. If the other operator changed the same
// zone, the retry would silently undo that decision, so the command must fail.
#[test]
fn a_zone_change_is_retried_only_if_others_have_not_changed_the_zone() {
    const OUT: &[&str] = &["zone", "out", "nairobi-a"];
    let report = run_scenarios([
        one_node("out", OUT),
        one_node("out as JSON", &["--json", "zone", "out", "nairobi-a"]),
        one_node("back while it is in service", &["zone", "back", "nairobi-a"]),
        one_node("unknown", &["zone", "out", "atlantis"]),
        with_nodes("another note gets in", vec![up([Fault::Race(OTHER_SHARE)])], OUT),
        with_nodes(
            "two others get in",
            vec![up([Fault::Race(OTHER_SHARE), Fault::Race(OTHER_SHARE)])],
            OUT,
        ),
        with_nodes("others never cease", vec![up(vec![Fault::Race(OTHER_SHARE); 20])], OUT),
        with_nodes("another gets in unseen", vec![up([Fault::RaceUnseen(OTHER_SHARE)])], OUT),
        with_nodes("another one takes it out", vec![up([Fault::Race(SAME_ZONE)])], OUT),
        with_nodes("another one withdraws it", vec![up([Fault::Race(NO_ZONE)])], OUT),
        with_nodes("the answer is lost", vec![up([Fault::LostAfter])], OUT),
        with_nodes("the platform is down", vec![up(vec![Fault::Unavailable; 2])], OUT),
    ]);
    insta::assert_snapshot!(report);
}

// A node accepts the connection and never answers, because it is frozen or a network
// device has dropped the connection's state. The command must time out and use the
// next node.
#[test]
fn a_node_that_never_answers_is_given_up_on() {
    let report = run_scenarios([
        with_silent_node("the first of two is mute", vec![Node::Mute, up([])], &["owners"]),
        with_silent_node(
            "the note is written, and no answer comes",
            vec![up([Fault::Silent])],
            ACCEPT,
        ),
        with_silent_node("the same, before two", vec![up([Fault::Silent]), up([])], ACCEPT),
        with_silent_node("the first is mute", vec![Node::Mute, up([])], ACCEPT),
    ]);
    insta::assert_snapshot!(report);
}

#[test]
fn a_note_sent_to_a_node_that_never_answers_may_have_been_accepted() {
    let report =
        run_scenarios([with_silent_node("the only node is mute", vec![Node::Mute], ACCEPT)]);
    insta::assert_snapshot!(report);
}
