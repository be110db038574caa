//! Prompts that exceed the memory of one engine.

use crate::support::{Cluster, eventually, expected_text, options};
use hickory_standin::fleet;
use hickory_unit::size;
use serde_json::json;
use std::time::Duration;

/// Returns options for engines that hold 4,000 tokens each.
fn small_engines() -> fleet::Options {
    let mut options = options();
    options.engines = 4;
    options.engine.model.kv_capacity = size::Tokens(4_000);
    options.engine.model.prefill_rate = 4_000;
    options.engine.model.speed = 4.0;
    options
}

/// Returns a prompt of `tokens` tokens that is unique for each `salt`.
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

impl Cluster {
    /// Counts the KV caches that engines keep outside of streams.
    fn count_handles(&self) -> usize {
        let engines = self.standins.engines.iter();
        engines.map(|engine| engine.service().with_engine(|e| e.handle_count())).sum()
    }

    async fn assert_memory_is_free(&self) {
        eventually("all memory is free", || async {
            (self.kv_used() == 0 && self.count_handles() == 0).then_some(())
        })
        .await;
    }
}

/// A prompt larger than the memory of two engines is answered by several engines,
/// while short requests run too. Afterwards no engine holds memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_larger_than_two_engines_is_answered() {
    let cluster = Cluster::start(2, small_engines()).await;
    let prompt = long_prompt(9_000, "archive");
    let long = async {
        let mut stream = cluster.complete(cluster.nodes[0].callers, &prompt, 10).await.unwrap();
        stream.read_to_end().await;
        assert_eq!(stream.problem, None);
        assert_eq!(stream.text, expected_text(&prompt, 10));
    };
    let short = async {
        for i in 0..20 {
            let prompt = format!("short {i}");
            let mut stream = cluster.complete(cluster.nodes[1].callers, &prompt, 5).await.unwrap();
            stream.read_to_end().await;
            assert_eq!(stream.text, expected_text(&prompt, 5));
        }
    };
    let ((), ()) = tokio::join!(long, short);
    cluster.assert_memory_is_free().await;
}

/// Two such prompts arrive at once and can't run at the same time. Neither holds
/// memory that the other needs while it waits, so there is no deadlock and both are
/// answered in turn.
#[tokio::test(flavor = "multi_thread")]
async fn two_long_prompts_at_once_do_not_block_each_other() {
    let cluster = Cluster::start(2, small_engines()).await;
    let ask = |i: usize| {
        let cluster = &cluster;
        async move {
            let prompt = long_prompt(9_000, &format!("archive {i}"));
            let mut stream = cluster.complete(cluster.nodes[i].callers, &prompt, 5).await.unwrap();
            stream.read_to_end().await;
            assert_eq!(stream.problem, None);
            assert_eq!(stream.text, expected_text(&prompt, 5));
        }
    };
    let ((), ()) = tokio::join!(ask(0), ask(1));
    cluster.assert_memory_is_free().await;
}

/// A prompt that exceeds the memory of all engines together is refused at once as
/// not run, without a retry interval, since a retry can't succeed.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_larger_than_the_fleet_is_refused_at_once() {
    let cluster = Cluster::start(1, small_engines()).await;
    let prompt = long_prompt(40_000, "too long");
    let mut stream = cluster.complete(cluster.nodes[0].callers, &prompt, 5).await.unwrap();
    stream.read_to_end().await;
    let problem = stream.problem.expect("a refusal");
    assert_eq!(problem["reason"], json!("too-long"), "{problem}");
    assert_eq!(problem["ran"], json!("no"), "{problem}");
    assert_eq!(problem.get("retry_after_ms"), None);
}

/// The node is killed while the parts of a long prompt are prefilled. The owners
/// find the streams and KV caches whose node is gone and release them, long before
/// their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_placement_leaks_no_memory() {
    let mut options = small_engines();
    options.engine.model.speed = 1.0;
    let mut cluster = Cluster::start(2, options).await;
    let prompt = long_prompt(9_000, "half done");
    let at = cluster.nodes[0].callers;
    {
        let ask = cluster.complete_within(at, &prompt, 5, Duration::from_secs(600));
        let kept = eventually("an engine keeps the KV cache of a part", || async {
            (cluster.count_handles() > 0).then_some(())
        });
        tokio::select! {
            _ = ask => panic!("answered before a KV cache was kept"),
            () = kept => {}
        }
    }
    cluster.nodes[0].kill();
    cluster.assert_memory_is_free().await;
}
