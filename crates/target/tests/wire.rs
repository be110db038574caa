//! Tests of unusual HTTP statuses and of malformed or truncated streams.

mod fixture;

use bytes::Bytes;
use fixture::{CallResult, any_address, generate, open_targets};
use futures::StreamExt;
use hickory_standin::server::{self, Call, Handle, Piece, Reply, Service};
use hickory_target::Error;
use hickory_target::engine::{Engines, Event, Order};
use hickory_unit::id;
use std::sync::Arc;
use tokio::sync::Notify;

/// The response of the target.
#[derive(Clone)]
enum Answer {
    Status(u16, &'static str),
    /// Pieces of a stream, and whether the body then ends normally. Otherwise the connection is cut
    /// when the reader signals it, because a cut discards data that has not arrived yet.
    Pieces(&'static [&'static str], bool, Arc<Notify>),
}

impl Service for Answer {
    async fn call(&self, _call: Call) -> Reply {
        let (pieces, whole, cut) = match self {
            Self::Status(status, body) => return Reply::status(*status, body),
            Self::Pieces(pieces, whole, cut) => (*pieces, *whole, cut.clone()),
        };
        let (send, reply) = Reply::stream();
        tokio::spawn(async move {
            for piece in pieces {
                let _ = send.send(Piece::Data(Bytes::from_static(piece.as_bytes()))).await;
                // Lets each piece be sent separately.
                tokio::task::yield_now().await;
            }
            match whole {
                true => drop(send.send(Piece::End).await),
                false => cut.notified().await,
            }
        });
        reply
    }
}

fn spawn(answer: Answer) -> Handle<Answer> {
    server::spawn(any_address(), answer).unwrap()
}

/// Status, body and result. A 5xx status leaves open whether the target started the request.
const STATUSES: &[(u16, &str, CallResult)] = &[
    (200, "null", CallResult::Done),
    (200, "[", CallResult::Unknown),
    (302, "", CallResult::Unknown),
    (400, "why", CallResult::Refused),
    (404, "", CallResult::NotFound),
    (409, "", CallResult::Stale),
    (422, "too long", CallResult::Refused),
    (429, "", CallResult::Refused),
    (500, "", CallResult::Unknown),
    (502, "", CallResult::Unknown),
    (503, "", CallResult::Unknown),
];

#[tokio::test]
async fn caller_gets_the_result_of_each_status() {
    for (status, body, expected) in STATUSES {
        let server = spawn(Answer::Status(*status, body));
        let (targets, at) = (open_targets(), server.address());
        let done = targets.order(at, id::Epoch(1), &Order::Pin(1)).await;
        assert_eq!(CallResult::from(done), *expected, "{status}");
        if !(200..300).contains(status) {
            let opened = targets.generate(at, &generate(1, 1)).await;
            assert_eq!(CallResult::from(opened), *expected, "{status}");
        }
    }
}

#[tokio::test]
async fn refusal_contains_the_reason() {
    let server = spawn(Answer::Status(422, "too long"));
    let refused = open_targets().generate(server.address(), &generate(1, 1)).await;
    assert_eq!(refused.err(), Some(Error::Refused("too long".into())));
}

const TOKEN: &str = "{\"token\":{\"seq\":0,\"text\":\" a\"}}\n";
const END: &str = "{\"end\":{\"count\":1}}\n";
const FAILED: &str = "{\"failed\":{\"reason\":\"x\"}}\n";

/// Pieces of a stream, whether the body then ends normally, number of tokens read, and the final
/// result. Only the explicit end marker completes an answer.
const STREAMS: &[(&[&str], bool, usize, CallResult)] = &[
    (&[TOKEN, END], true, 1, CallResult::Done),
    (&["{\"token\":{\"seq\":0,\"te", "xt\":\" a\"}}\n", END], true, 1, CallResult::Done),
    (
        &["{\"token\":{\"seq\":0,\"text\":\" a\"}}\n{\"end\":{\"count\":1}}\n"],
        true,
        1,
        CallResult::Done,
    ),
    (&[TOKEN, TOKEN, FAILED], true, 2, CallResult::Failed),
    (&[TOKEN], true, 1, CallResult::Unknown),
    (&[TOKEN], false, 1, CallResult::Unknown),
    (&[], true, 0, CallResult::Unknown),
    (&[], false, 0, CallResult::Unknown),
    (&[TOKEN, "{\"end\":{\"count\":1}}"], true, 1, CallResult::Unknown),
    (&[TOKEN, "{\"tok"], false, 1, CallResult::Unknown),
    (&[TOKEN, "\n"], true, 1, CallResult::Unknown),
    (&["garbage\n", END], true, 0, CallResult::Unknown),
    (&[END, TOKEN], true, 0, CallResult::Done),
];

#[tokio::test]
async fn reader_gets_the_result_of_each_stream() {
    for (pieces, whole, tokens, expected) in STREAMS {
        let cut = Arc::new(Notify::new());
        let server = spawn(Answer::Pieces(pieces, *whole, cut.clone()));
        let opened = open_targets().generate(server.address(), &generate(1, 1)).await;
        let mut stream = opened.unwrap();
        let mut read = 0;
        let last = loop {
            if read == *tokens {
                cut.notify_one();
            }
            match stream.next().await.expect("a stream ends with a result") {
                Ok(Event::Token { .. }) => read += 1,
                Ok(Event::End { .. }) => break CallResult::Done,
                Ok(Event::Failed { .. }) => break CallResult::Failed,
                Err(error) => break Err::<(), _>(error).into(),
            }
        };
        assert_eq!((read, last), (*tokens, *expected), "{pieces:?}");
        assert!(stream.next().await.is_none(), "{pieces:?}");
    }
}
