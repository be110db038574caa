//! A zone that operators have taken out, and a target that is leaving, get no
//! new work after a few seconds; a note in force never reverts.

use crate::passage::Passage;
use crate::support::{MODEL, OPERATOR, Scene, eventually, expected, options};
use hickory_store::host::Standing;
use serde_json::{Value, json};
use std::time::Duration;

/// How long after the change new work may still arrive: the note or the list
/// reaches the owner, and permits that are out run off.
const BOUND: Duration = Duration::from_secs(3);

fn zone_note(against: u64, out: bool) -> Value {
    json!({
        "against": against,
        "operation": uuid::Uuid::now_v7().to_string(),
        "changed": { "zones": { "a": { "out": out } } },
    })
}

impl Scene {
    /// Prompt tokens that the engines have taken in since they started.
    fn begun(&self, engines: &[usize]) -> u64 {
        let engines = engines.iter().map(|i| &self.standins.engines[*i]);
        let counts = engines.map(|engine| engine.service().with_engine(|e| e.counts()));
        counts.map(|counts| counts.cache_hits + counts.cache_misses).sum()
    }

    async fn load(&self, rounds: usize) {
        for round in 0..rounds {
            let asks = self.nodes.iter().enumerate().map(|(i, node)| async move {
                let prompt = format!("round {round} node {i}");
                let mut stream = self.complete(node.callers, &prompt, 3).await.unwrap();
                stream.rest().await;
                assert_eq!(stream.problem, None);
                assert_eq!(stream.text, expected(&prompt, 3));
            });
            futures::future::join_all(asks).await;
        }
    }
}

/// A zone is taken out under load and comes back. No request fails; once the
/// bound has passed, no work arrives in the zone; after its return work does.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_taken_out_gets_no_new_work() {
    let scene = Scene::start(3, options()).await;
    scene.load(5).await;
    let note = zone_note(1, true);
    let ((), ()) = tokio::join!(scene.accept(&note), scene.load(5));
    tokio::time::sleep(BOUND).await;
    let before = scene.begun(&[0]);
    scene.load(10).await;
    assert_eq!(scene.begun(&[0]), before);
    scene.accept(&zone_note(2, false)).await;
    eventually("the zone gets work again", || async {
        scene.load(1).await;
        (scene.begun(&[0]) > before).then_some(())
    })
    .await;
}

/// The key-value service goes down just after a zone was taken out through one
/// node: the others learn it from their peers, and no work arrives in the zone
/// once the bound has passed.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_taken_out_although_the_platform_goes_down() {
    let scene = Scene::start(3, options()).await;
    let (status, _) = scene.post_note(&scene.nodes[0], &zone_note(1, true)).await;
    assert_eq!(status, 200);
    scene.standins.store.faults().kill();
    tokio::time::sleep(BOUND).await;
    let before = scene.begun(&[0]);
    scene.load(10).await;
    assert_eq!(scene.begun(&[0]), before);
}

/// The platform lists an engine as leaving: no work arrives there once the
/// bound has passed, and no request fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_work() {
    let scene = Scene::start(3, options()).await;
    scene.load(3).await;
    scene.standins.hosts.service().set_standing(&"engine-1".into(), Standing::Leaving);
    let ((), ()) = tokio::join!(tokio::time::sleep(BOUND), scene.load(5));
    let before = scene.begun(&[1]);
    scene.load(10).await;
    assert_eq!(scene.begun(&[1]), before);
}

/// Two operators change the same version through two nodes at once: one note
/// is accepted, the other is told the present version; no node ever shows a
/// lower version than it showed before.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_one_wins_and_nothing_reverts() {
    let scene = Scene::start(3, options()).await;
    for version in 1..=5 {
        let (a, b) = (zone_note(version, true), zone_note(version, false));
        let (a, b) = tokio::join!(
            scene.post_note(&scene.nodes[0], &a),
            scene.post_note(&scene.nodes[1], &b)
        );
        let mut statuses = [a.0, b.0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
        for node in &scene.nodes {
            eventually("the note is in force", || async {
                let health = scene.get(node.admin, "/health", OPERATOR).await?;
                let shown = health["version"].as_u64()?;
                assert!(shown >= version, "{shown} after {version}");
                (shown == version + 1).then_some(())
            })
            .await;
        }
    }
}

/// A note withdraws a model while a stream of it runs: the stream is whole, a
/// new request is refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_model_ends_its_running_streams_first() {
    let mut options = options();
    options.engine.model.speed = 0.5;
    let scene = Scene::start(2, options).await;
    let at = scene.nodes[0].callers;
    let mut stream = scene.complete(at, "withdrawn", 40).await.unwrap();
    assert!(stream.next().await);
    let shop = json!({
        "partner": "mawe", "models": [], "services": ["orders"],
        "token_digest": hickory_release::configuration::digest_token(crate::support::ACCOUNT),
    });
    let note = json!({
        "against": 1,
        "operation": uuid::Uuid::now_v7().to_string(),
        "changed": { "accounts": { "shop": shop } },
        "withdrawn": { "models": [MODEL] },
    });
    scene.accept(&note).await;
    let mut refused = scene.complete(at, "too late", 3).await.unwrap();
    refused.rest().await;
    assert_eq!(refused.status, 404);
    assert_eq!(refused.problem.expect("a refusal")["ran"], json!("no"));
    stream.rest().await;
    assert_eq!(stream.text, expected("withdrawn", 40));
}

impl Scene {
    /// Asks through one node, which may refuse what it can't place: whole
    /// answers or true refusals.
    async fn load_or_refuse(&self, node: usize, count: usize) {
        for i in 0..count {
            let (at, prompt) = (self.nodes[node].callers, format!("perhaps {i}"));
            let mut stream = self.complete(at, &prompt, 3).await.unwrap();
            stream.rest().await;
            let refused = stream.problem.as_ref().is_some_and(|p| p["ran"] == json!("no"));
            assert!(refused || stream.text == expected(&prompt, 3), "{:?}", stream.problem);
        }
    }
}

/// A node loses its path to the platform, and a zone is taken out: at once, or
/// when the node's lease has lapsed. It owns the zone's engine and would go on
/// to grant by the configuration that it has. Once the bound has passed, it
/// sends no new work there, and neither do the others.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_cut_off_from_the_platform_sends_nothing_to_a_zone_taken_out() {
    let lapses = [Duration::ZERO, Duration::from_millis(2_000)];
    futures::future::join_all(lapses.map(take_out_beside_a_cut_off_node)).await;
}

async fn take_out_beside_a_cut_off_node(lapse: Duration) {
    let (scene, paths) = Scene::start_apart(3, options()).await;
    let cut_off = scene.owner("engine-0").await;
    let others = [(cut_off + 1) % 3, (cut_off + 2) % 3];
    paths[cut_off].set(Passage::Silent);
    tokio::time::sleep(lapse).await;
    let (status, answer) = scene.post_note(&scene.nodes[others[0]], &zone_note(1, true)).await;
    assert_eq!(status, 200, "{answer}");
    tokio::time::sleep(BOUND).await;
    let before = scene.begun(&[0]);
    for node in 0..3 {
        scene.load_or_refuse(node, 10).await;
    }
    // Its own word says so as well: it has the note from its peers.
    eventually("the owner takes no work for the zone", || async {
        let at = scene.nodes[others[0]].admin;
        let targets = scene.get(at, "/v1/admin/targets", OPERATOR).await?;
        let engine = targets.as_array()?.iter().find(|t| t["target"] == "engine-0")?;
        (engine["accepting"] == json!(false)).then_some(())
    })
    .await;
    for node in 0..3 {
        scene.load_or_refuse(node, 10).await;
    }
    assert_eq!(scene.begun(&[0]), before);
}

/// The owner of a zone's engine is killed as the zone is taken out. Its
/// successor takes the engine over and grants nothing there; as soon as the
/// dead node's other targets have their next owners, no request fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_taken_out_while_its_owner_dies() {
    let mut scene = Scene::start(3, options()).await;
    let owner = scene.owner("engine-0").await;
    let (dead, mut left) = (owner, vec![0, 1, 2]);
    left.retain(|node| *node != dead);
    let note = zone_note(1, true);
    scene.nodes[dead].kill();
    let (status, answer) = scene.post_note(&scene.nodes[left[0]], &note).await;
    assert_eq!(status, 200, "{answer}");
    tokio::time::sleep(BOUND).await;
    let before = scene.begun(&[0]);
    for node in left {
        scene.ready(&scene.nodes[node], 3).await;
        let at = scene.nodes[node].callers;
        for i in 0..10 {
            let prompt = format!("node {node} ask {i}");
            let mut stream = scene.complete(at, &prompt, 3).await.unwrap();
            stream.rest().await;
            assert_eq!(stream.problem, None);
            assert_eq!(stream.text, expected(&prompt, 3));
        }
    }
    assert_eq!(scene.begun(&[0]), before);
}

/// One node is cut off from the platform until its lease has lapsed; its peers
/// still reach it, so they don't take its targets over. Its targets go on to
/// get work from the other nodes.
#[tokio::test(flavor = "multi_thread")]
async fn targets_of_an_owner_cut_off_from_the_platform_get_work() {
    let (scene, paths) = Scene::start_apart(3, options()).await;
    let owners = scene.get(scene.nodes[0].admin, "/v1/admin/owners", OPERATOR).await.unwrap();
    let owner = |target: &str| {
        let rows = owners["owners"].as_array().unwrap();
        rows.iter().find(|row| row["target"] == target).unwrap()["node"].clone()
    };
    // The cut goes to whichever node owns the first engine.
    let cut = owner("engine-0").as_str().unwrap()["node-".len()..].parse::<usize>().unwrap();
    paths[cut].set(Passage::Silent);
    let other = &scene.nodes[(cut + 1) % 3];
    let name = format!("node-{cut}");
    eventually("its lease has lapsed", || async {
        let nodes = scene.get(other.admin, "/v1/admin/nodes", OPERATOR).await?;
        nodes.as_array()?.iter().all(|node| node["node"] != name.as_str()).then_some(())
    })
    .await;
    let before = scene.begun(&[0]);
    eventually("its target gets work from another node", || async {
        // Enough work that the other targets alone would be slower.
        let asks = (0..24).map(|i| {
            let (scene, at) = (&scene, other.callers);
            async move {
                let prompt = format!("beside a cut {i} ").repeat(500);
                let mut stream = scene.complete(at, &prompt, 3).await.unwrap();
                stream.rest().await;
                assert_eq!(stream.problem, None);
            }
        });
        futures::future::join_all(asks).await;
        (scene.begun(&[0]) > before).then_some(())
    })
    .await;
}
