//! Tests of the bodies of responses.

use bytes::Bytes;
use hickory_path::reply::{Interrupted, Part, Reply};
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Guards against a stream that looks complete because the task that sends its events has ended, by a
/// panic for example.
#[tokio::test]
async fn a_stream_without_its_end_is_interrupted() {
    let (events, body) = mpsc::channel(4);
    events.send(Part::Events(Bytes::from_static(b"id: 1"))).await.unwrap();
    drop(events);
    let mut body = Reply::Events(body);
    assert!(body.frame().await.unwrap().is_ok());
    assert_eq!(body.frame().await.unwrap().unwrap_err(), Interrupted);
}

#[tokio::test]
async fn a_stream_with_its_end_is_complete() {
    let (events, body) = mpsc::channel(4);
    events.send(Part::Events(Bytes::from_static(b"id: 1"))).await.unwrap();
    events.send(Part::End).await.unwrap();
    drop(events);
    let body = Reply::Events(body).collect().await.unwrap();
    assert_eq!(body.to_bytes(), "id: 1");
}
