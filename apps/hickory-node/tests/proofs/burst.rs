//! A burst is spread over the targets.

use crate::support::{Cluster, expected_text, options};
use hickory_unit::size;

/// Requests of the burst: three times what all engines hold at once.
const BURST_REQUESTS: usize = 36;

/// Tokens of each prompt.
const PROMPT_TOKENS: usize = 1_000;

/// A burst comes to one node; each engine has room for four of its requests.
/// The first fill the engines, the others have to wait at an owner. Were only
/// sent work counted, all that wait would see the same three full engines and
/// join the queue of the same one, while the others fall idle: the callers
/// would wait as long as if the fleet had one engine.
#[tokio::test(flavor = "multi_thread")]
async fn queued_requests_are_spread_over_the_targets() {
    let mut options = options();
    options.engine.model.kv_capacity = size::Tokens(4 * (PROMPT_TOKENS as u64 + 10));
    let cluster = Cluster::start(1, options).await;
    let at = cluster.nodes[0].callers;
    let cluster = &cluster;
    let asks = (0..BURST_REQUESTS).map(|i| async move {
        let prompt = format!("{i:08}").repeat(PROMPT_TOKENS * 4 / 8);
        let mut stream = cluster.complete(at, &prompt, 2).await.unwrap();
        stream.read_to_end().await;
        assert_eq!(stream.problem, None);
        assert_eq!(stream.text, expected_text(&prompt, 2));
    });
    futures::future::join_all(asks).await;
    let engines = cluster.standins.engines.iter();
    let prefilled: Vec<u64> =
        engines.map(|engine| engine.service().with_engine(|e| e.counts()).cache_misses).collect();
    let max_prefilled = prefilled.iter().max().copied().unwrap_or(0);
    assert!(2 * max_prefilled <= prefilled.iter().sum(), "{prefilled:?}");
}
