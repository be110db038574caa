//! The in-process key-value service returns the same results as the one over a socket, and its
//! faults are separate for each client.

use hickory_standin::store::{self, Memory};
use hickory_store::http::{Address, Platform};
use hickory_store::store::{Error, Expect, Revision, Store, Write};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(10);

fn write(key: &str, value: &str, expect: Expect) -> Write {
    Write { key: key.into(), value: Some(value.into()), expect, lease: None }
}

fn show<T: std::fmt::Debug>(result: &Result<T, Error>) -> String {
    match result {
        Ok(value) => format!("{value:?}"),
        // The texts of these two errors depend on the adapter.
        Err(Error::NotDone(_)) => "not done".into(),
        Err(Error::Unknown(_)) => "unknown".into(),
        Err(error) => format!("{error:?}"),
    }
}

/// Makes a fixed sequence of calls and returns their results.
async fn run_calls(store: &impl Store) -> Vec<String> {
    let lease = store.grant(LONG).await;
    let bound = Write { lease: lease.clone().ok(), ..write("b", "2", Expect::Absent) };
    let large = write("c", &"x".repeat(1 << 21), Expect::Any);
    let removed = Write { value: None, ..write("a", "", Expect::At(Revision(1))) };
    vec![
        show(&lease),
        show(&store.get("a").await),
        show(&store.write(write("a", "1", Expect::Absent)).await),
        show(&store.write(write("a", "1", Expect::Absent)).await),
        show(&store.write(write("a", "1", Expect::At(Revision(9)))).await),
        show(&store.write(write("z", "1", Expect::At(Revision(9)))).await),
        show(&store.write(bound).await),
        show(&store.write(large).await),
        show(&store.get("a").await),
        show(&store.list("").await),
        show(&store.watch("", Revision(0), LONG).await),
        show(&store.watch("", Revision(2), Duration::ZERO).await),
        show(&store.write(removed.clone()).await),
        show(&store.write(removed).await),
        show(&store.renew(lease.clone().unwrap()).await),
        show(&store.revoke(lease.clone().unwrap()).await),
        show(&store.renew(lease.clone().unwrap()).await),
        show(&store.revoke(lease.unwrap()).await),
        show(&store.list("").await),
        show(&store.watch("", Revision(2), LONG).await),
    ]
}

#[tokio::test]
async fn memory_and_socket_return_the_same() {
    let server = store::spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let at = server.address();
    let platform = Platform::open(Address { store: at, hosts: at, weights: at }, LONG);
    let (memory, socket) = (run_calls(&Memory::default()).await, run_calls(&platform).await);
    assert_eq!(memory, socket);
}

#[tokio::test]
async fn faults_belong_to_one_client() {
    let one = Memory::default();
    let other = one.new_client();
    one.set(|faults| faults.down = true);
    let lost = one.write(write("k", "1", Expect::Any)).await;
    assert!(matches!(lost, Err(Error::NotDone(_))));
    assert!(other.write(write("k", "1", Expect::Absent)).await.is_ok());
    one.set(|faults| (faults.down, faults.lose_answers) = (false, 1));
    let lost = one.write(write("k", "2", Expect::Any)).await;
    assert!(matches!(lost, Err(Error::Unknown(_))));
    assert_eq!(other.get("k").await.unwrap().unwrap().value, "2");
    one.set(|faults| faults.lose_writes = 1);
    let lost = one.write(write("k", "3", Expect::Any)).await;
    assert!(matches!(lost, Err(Error::Unknown(_))));
    assert_eq!(other.get("k").await.unwrap().unwrap().value, "2");
}

#[tokio::test]
async fn stale_reads_belong_to_one_client() {
    let one = Memory::default();
    let other = one.new_client();
    one.set_stale(true);
    other.write(write("k", "1", Expect::Absent)).await.unwrap();
    assert_eq!(one.get("k").await, Ok(None));
    assert!(other.get("k").await.unwrap().is_some());
    one.set_stale(false);
    assert!(one.get("k").await.unwrap().is_some());
}
