//! The command line against real nodes, with stand-ins of the platform.
//!
//! The contract tests of the administration API use an in-memory implementation; these
//! tests show that the node's own implementation keeps the same contract.

mod run;

use hickory_node::Node;
use hickory_release::configuration::digest_token;
use hickory_standin::fleet::{Fleet, Options};
use oxhttp::model::Request;
use run::{Output, run};
use std::time::{Duration, Instant};

const TOKEN: &str = "operator-token";
const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// Timeout of conditions that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Two nodes in zones `a` and `b`, with stand-ins.
struct RealNodes {
    standins: Fleet,
    nodes: Vec<Node>,
    #[allow(dead_code)]
    runtime: tokio::runtime::Runtime,
}

impl RealNodes {
    fn open() -> Self {
        let options = Options { engines: 2, replicas: 1, ..Options::default() };
        let standins = Fleet::spawn(options).unwrap();
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let spawn = |zone| runtime.block_on(Node::spawn(write_settings(&standins, zone))).unwrap();
        let nodes = ["a", "b"].map(spawn).into();
        Self { standins, nodes, runtime }
    }

    /// Runs a command with the addresses of the given nodes, in order.
    fn run(&self, nodes: &[usize], command: &[&str]) -> Output {
        let addresses: Vec<String> =
            nodes.iter().map(|index| self.nodes[*index].admin_address().to_string()).collect();
        let mut args = Vec::from(command);
        addresses.iter().for_each(|address| args.extend(["--node", address]));
        run(&args, &[("HICKORY_TOKEN", TOKEN)])
    }

    /// Runs a command repeatedly until its output contains `text`.
    fn wait(&self, nodes: &[usize], command: &[&str], text: &str) -> Output {
        let start = Instant::now();
        loop {
            let output = self.run(nodes, command);
            if output.stdout.contains(text) {
                return output;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "never {text:?}: {output}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

fn write_settings(standins: &Fleet, zone: &str) -> hickory_settings::Settings {
    let platform = standins.platform();
    let text = format!(
        r#"{{ "node": "entry-{zone}", "zone": "{zone}", "callers": "127.0.0.1:0",
             "admin": "127.0.0.1:0", "peers": "127.0.0.1:0", "fleet_key": "{KEY}",
             "platform": {{ "store": "{}", "hosts": "{}", "weights": "{}" }},
             "first_operator": "{}", "times": {{ "entry_keep_ms": 200 }} }}"#,
        platform.store,
        platform.hosts,
        platform.weights,
        digest_token(TOKEN)
    );
    hickory_settings::parse_settings(&text).unwrap()
}

fn read_metric(node: &Node, series: &str) -> f64 {
    let request = Request::builder().uri(format!("http://{}/metrics", node.admin_address()));
    let response = oxhttp::Client::new().request(request.body(()).unwrap()).unwrap();
    let text = response.into_body().to_string().unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(series));
    line.unwrap_or_else(|| panic!("no {series} in {text}")).trim().parse().unwrap()
}

#[test]
fn commands_work_on_real_nodes() {
    let real = RealNodes::open();
    let first = ["release", "accept", "first.jsonc"];

    // Before the first note only the token in the settings is valid.
    assert_eq!(
        run(
            &["nodes", "--node", &real.nodes[0].admin_address().to_string()],
            &[("HICKORY_TOKEN", "other")]
        )
        .code,
        Some(6)
    );
    assert_eq!(real.run(&[0], &["release", "show"]).code, Some(8));

    let accepted = real.run(&[0, 1], &first);
    assert_eq!(accepted.code, Some(0), "{accepted}");
    assert!(accepted.stdout.contains("op-first is accepted as version 1"), "{accepted}");
    real.wait(&[1], &["release", "show"], "version 1");
    let again = real.run(&[1], &first);
    assert!(again.stdout.contains("accepted before, as version 1"), "{again}");

    let stale = real.run(&[1], &["release", "accept", "note_stale.jsonc"]);
    assert_eq!(stale.code, Some(3), "{stale}");
    let invalid = real.run(&[1], &["release", "accept", "note_reference.jsonc"]);
    assert_eq!(invalid.code, Some(4), "{invalid}");
    assert!(invalid.stderr.contains("note_reference.jsonc:6: withdrawn.models.dream"), "{invalid}");

    let out = real.run(&[1, 0], &["zone", "out", "a"]);
    assert!(out.stdout.contains("zone a is out of service in version 2"), "{out}");
    real.wait(&[0], &["release", "show"], "version 2");
    let back = real.run(&[0], &["zone", "back", "a"]);
    assert!(back.stdout.contains("zone a is in service in version 3"), "{back}");
    // The version of the first note is still found after later notes.
    let found = real.run(&[0], &["release", "find", "op-first"]);
    assert!(found.stdout.contains("as version 1"), "{found}");

    real.wait(&[0], &["owners"], "engine-1");
    real.wait(&[0], &["targets"], "engine-0");
    real.wait(&[1], &["nodes"], "entry-a");
    // The metrics, which need no token, must agree.
    for node in &real.nodes {
        assert!(read_metric(node, "hickory_configuration_version") >= 2.0);
        assert!(
            read_metric(node, "hickory_platform_calls_total{call=\"hosts\",result=\"done\"}") > 0.0
        );
    }
    let owned = || real.nodes.iter().map(|n| read_metric(n, "hickory_targets_owned")).sum::<f64>();
    let start = Instant::now();
    while owned() != 3.0 {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{} targets are owned", owned());
    }
    let drain = real.run(&[0], &["drain"]);
    assert!(drain.stdout.contains("node entry-a is draining"), "{drain}");
    real.runtime.block_on(real.nodes[0].wait_closed());
}

// A note sent while the platform is down must fail at once. If the platform loses the
// answer of the write, the note must still be accepted, exactly once.
#[test]
fn the_platform_fails_while_a_note_is_sent() {
    let real = RealNodes::open();
    real.standins.store.faults().kill();
    let down = real.run(&[0], &["release", "accept", "first.jsonc"]);
    assert!([Some(7), Some(8)].contains(&down.code), "{down}");
    real.standins.store.faults().restart();
    let start = Instant::now();
    while real.run(&[0, 1], &["release", "accept", "first.jsonc"]).code != Some(0) {
        assert!(start.elapsed() < WAIT_TIMEOUT);
    }
    real.wait(&[0, 1], &["release", "show"], "version 1");

    let loss = hickory_standin::fault::Loss::Answer;
    real.standins.store.faults().lose(loss, "/kv/write", 1);
    let lost = real.run(&[0, 1], &["release", "accept", "note.jsonc"]);
    assert_eq!(lost.code, Some(0), "{lost}");
    let shown = real.wait(&[0, 1], &["--json", "release", "show"], "op-share");
    assert_eq!(shown.stdout.matches("op-share").count(), 1, "{shown}");
    assert!(shown.stdout.contains(r#""version": 2"#), "{shown}");
}

// Two operators repeatedly change different zones at the same time through different
// nodes. One of them loses the race for the version each time, or asks a node that
// does not have the other's note yet. Both changes must come into force, each as one
// version.
#[test]
fn zone_changes_of_racing_operators_both_succeed() {
    let real = RealNodes::open();
    assert_eq!(real.run(&[0, 1], &["release", "accept", "first.jsonc"]).code, Some(0));
    real.wait(&[1], &["release", "show"], "version 1");
    for round in 0..6 {
        let change = if round % 2 == 0 { "out" } else { "back" };
        std::thread::scope(|scope| {
            let both = [("a", 0), ("b", 1)].map(|(zone, node)| {
                let real = &real;
                scope.spawn(move || real.run(&[node, 1 - node], &["zone", change, zone]))
            });
            for output in both.map(|thread| thread.join().unwrap()) {
                assert_eq!(output.code, Some(0), "{output}");
            }
        });
        let version = format!("version {}\n", 3 + 2 * round);
        for node in [0, 1] {
            real.wait(&[node], &["release", "show"], &version);
        }
    }
}
