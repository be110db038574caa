//! A burst of requests is spread over the targets.

use crate::support::{Cluster, expected_text, options};
use hickory_unit::size;

/// Requests in the burst: three times as many as all engines hold at once.
const BURST_REQUESTS: usize = 36;

/// Prompt length in tokens.
const PROMPT_TOKENS: usize = 1_000;

/// A burst arrives at one node and each engine has room for four of its requests,
/// so most of them wait at an owner. If owners counted only the requests already
/// sent, every waiting request would see the same three full engines and join the
/// queue of the same one while the others become idle.
#[tokio::test(flavor = "multi_thread")]
async fn queued_requests_are_spread_over_the_targets() {
    let mut options = options();
    options.engine.model.kv_capacity = size::Tokens(4 * (PROMPT_TOKENS as u64 + 10));
    let cluster = Cluster::start(1, options).await;
    let at = cluster.nodes[0].callers;
    let cluster = &cluster;
    let requests = (0..BURST_REQUESTS).map(|i| async move {
        let prompt = format!("{i:08}").repeat(PROMPT_TOKENS * 4 / 8);
        let mut stream = cluster.complete(at, &prompt, 2).await.unwrap();
        stream.read_to_end().await;
        assert_eq!(stream.problem, None);
        assert_eq!(stream.text, expected_text(&prompt, 2));
    });
    futures::future::join_all(requests).await;
    let engines = cluster.standins.engines.iter();
    let prefilled: Vec<u64> =
        engines.map(|engine| engine.service().with_engine(|e| e.counts()).cache_misses).collect();
    let max_prefilled = prefilled.iter().max().copied().unwrap_or(0);
    assert!(2 * max_prefilled <= prefilled.iter().sum(), "{prefilled:?}");
}
