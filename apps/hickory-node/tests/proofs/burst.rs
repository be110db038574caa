//! A burst is spread over the targets.

use crate::support::{Scene, expected, options};
use hickory_unit::size;

/// Requests of the burst: three times what all engines hold at once.
const BURST: usize = 36;

/// Tokens of each prompt.
const PROMPT: usize = 1_000;

/// A burst comes to one node; each engine has room for four of its requests.
/// The first fill the engines, the others have to wait at an owner. Were only
/// sent work counted, all that wait would see the same three full engines and
/// join the queue of the same one, while the others fall idle: the callers
/// would wait as long as if the fleet had one engine.
#[tokio::test(flavor = "multi_thread")]
async fn what_waits_is_spread_over_the_targets() {
    let mut options = options();
    options.engine.model.kv_capacity = size::Tokens(4 * (PROMPT as u64 + 10));
    let scene = Scene::start(1, options).await;
    let at = scene.nodes[0].callers;
    let scene = &scene;
    let asks = (0..BURST).map(|i| async move {
        let prompt = format!("{i:08}").repeat(PROMPT * 4 / 8);
        let mut stream = scene.complete(at, &prompt, 2).await.unwrap();
        stream.rest().await;
        assert_eq!(stream.problem, None);
        assert_eq!(stream.text, expected(&prompt, 2));
    });
    futures::future::join_all(asks).await;
    let engines = scene.standins.engines.iter();
    let taken: Vec<u64> =
        engines.map(|engine| engine.service().with_engine(|e| e.counts()).cache_misses).collect();
    let most = taken.iter().max().copied().unwrap_or(0);
    assert!(2 * most <= taken.iter().sum(), "{taken:?}");
}
