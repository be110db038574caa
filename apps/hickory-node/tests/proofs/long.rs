//! Prompts greater than one engine's memory.

use crate::support::{Scene, eventually, expected, options};
use hickory_standin::fleet;
use hickory_unit::size;
use serde_json::json;
use std::time::Duration;

/// Engines that hold 4,000 tokens each.
fn small_engines() -> fleet::Options {
    let mut options = options();
    options.engines = 4;
    options.engine.model.kv_capacity = size::Tokens(4_000);
    options.engine.model.prefill_rate = 4_000;
    options.engine.model.speed = 4.0;
    options
}

/// A prompt of `tokens` tokens that no other has.
fn long_prompt(tokens: usize, salt: &str) -> String {
    let words = (0..).map(|i| format!("{salt} word {i} "));
    let mut prompt = String::new();
    for word in words {
        if prompt.len() >= tokens * 4 {
            break;
        }
        prompt.push_str(&word);
    }
    prompt.truncate(tokens * 4);
    prompt
}

impl Scene {
    /// KV caches kept on all engines beside streams.
    fn handles(&self) -> usize {
        let engines = self.standins.engines.iter();
        engines.map(|engine| engine.service().with_engine(|e| e.handle_count())).sum()
    }

    async fn assert_free(&self) {
        eventually("all memory is free", || async {
            (self.kv_used() == 0 && self.handles() == 0).then_some(())
        })
        .await;
    }
}

/// A prompt of more than twice an engine's memory is answered whole by several
/// engines, short requests beside it too, and nothing stays on any engine.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_greater_than_two_engines_is_answered() {
    let scene = Scene::start(2, small_engines()).await;
    let prompt = long_prompt(9_000, "archive");
    let long = async {
        let mut stream = scene.complete(scene.nodes[0].callers, &prompt, 10).await.unwrap();
        stream.rest().await;
        assert_eq!(stream.problem, None);
        assert_eq!(stream.text, expected(&prompt, 10));
    };
    let short = async {
        for i in 0..20 {
            let prompt = format!("short {i}");
            let mut stream = scene.complete(scene.nodes[1].callers, &prompt, 5).await.unwrap();
            stream.rest().await;
            assert_eq!(stream.text, expected(&prompt, 5));
        }
    };
    let ((), ()) = tokio::join!(long, short);
    scene.assert_free().await;
}

/// Two such prompts come at once and can't run side by side: neither holds
/// what the other needs while it waits, so both are answered in turn.
#[tokio::test(flavor = "multi_thread")]
async fn two_long_prompts_at_once_do_not_block_each_other() {
    let scene = Scene::start(2, small_engines()).await;
    let ask = |i: usize| {
        let scene = &scene;
        async move {
            let prompt = long_prompt(9_000, &format!("archive {i}"));
            let mut stream = scene.complete(scene.nodes[i].callers, &prompt, 5).await.unwrap();
            stream.rest().await;
            assert_eq!(stream.problem, None);
            assert_eq!(stream.text, expected(&prompt, 5));
        }
    };
    let ((), ()) = tokio::join!(ask(0), ask(1));
    scene.assert_free().await;
}

/// A prompt that all engines together can't hold is refused at once as not
/// run, with no time to come back, since coming back is no use.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_greater_than_the_fleet_is_refused_at_once() {
    let scene = Scene::start(1, small_engines()).await;
    let prompt = long_prompt(40_000, "too long");
    let mut stream = scene.complete(scene.nodes[0].callers, &prompt, 5).await.unwrap();
    stream.rest().await;
    let problem = stream.problem.expect("a refusal");
    assert_eq!(problem["reason"], json!("too-long"), "{problem}");
    assert_eq!(problem["ran"], json!("no"), "{problem}");
    assert_eq!(problem.get("retry_after_ms"), None);
}

/// The node is killed while the parts of a long prompt are being prefilled.
/// The owners find streams and kept KV caches whose node is gone and release
/// them, long before the deadline that stands in them.
#[tokio::test(flavor = "multi_thread")]
async fn a_half_done_placement_leaves_no_memory_behind() {
    let mut options = small_engines();
    options.engine.model.speed = 1.0;
    let mut scene = Scene::start(2, options).await;
    let prompt = long_prompt(9_000, "half done");
    let at = scene.nodes[0].callers;
    {
        let ask = scene.complete_within(at, &prompt, 5, Duration::from_secs(600));
        let kept = eventually("a part is kept", || async { (scene.handles() > 0).then_some(()) });
        tokio::select! {
            _ = ask => panic!("answered before a part was kept"),
            () = kept => {}
        }
    }
    scene.nodes[0].kill();
    scene.assert_free().await;
}
