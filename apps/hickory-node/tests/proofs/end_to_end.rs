//! Requests from callers to targets, without faults.

use crate::support::{Cluster, eventually, expected_text, options};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// A caller asks any node which address to use, connects there, and receives the
/// complete streamed answer to its own prompt. Afterwards no engine holds memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_is_served_end_to_end() {
    let cluster = Cluster::start(3, options()).await;
    for asked in &cluster.nodes {
        let entry = cluster.get(asked.callers, "/v1/entry", "").await.expect("an entry answer");
        let address: SocketAddr = entry["address"].as_str().unwrap().parse().unwrap();
        assert!(cluster.nodes.iter().any(|node| node.callers == address));
        let prompt = format!("which primer for lime plaster, asked through {address}?");
        let mut stream = cluster.complete(address, &prompt, 12).await.unwrap();
        stream.read_to_end().await;
        assert_eq!(stream.problem, None);
        assert_eq!(stream.text, expected_text(&prompt, 12));
        assert!(stream.is_done);
    }
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
}

/// A call to the plain service is answered. A resend with the same key gets the
/// stored answer without a second run.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_runs_once() {
    let cluster = Cluster::start(2, options()).await;
    let key = uuid::Uuid::now_v7().to_string();
    let wait = Duration::from_secs(10);
    for node in &cluster.nodes {
        let answer = cluster.call(node.callers, "/place", &key, wait).await.expect("an answer");
        assert_ne!(answer.1, Value::Null);
    }
    assert_eq!(cluster.count_runs(&key), 1);
}
