//! Tests of unusual HTTP statuses and of malformed or truncated streams.

mod scene;

use bytes::Bytes;
use futures::StreamExt;
use hickory_standin::server::{self, Call, Handle, Piece, Reply, Service};
use hickory_target::Error;
use hickory_target::engine::{Engines, Event, Order};
use hickory_unit::id;
use scene::{Told, any, generate, open_targets};
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
    server::spawn(any(), answer).unwrap()
}

/// Status, body and result. A 5xx status leaves open whether the target started the request.
const STATUSES: &[(u16, &str, Told)] = &[
    (200, "null", Told::Done),
    (200, "[", Told::Unknown),
    (302, "", Told::Unknown),
    (400, "why", Told::Refused),
    (404, "", Told::NotFound),
    (409, "", Told::Stale),
    (422, "too long", Told::Refused),
    (429, "", Told::Refused),
    (500, "", Told::Unknown),
    (502, "", Told::Unknown),
    (503, "", Told::Unknown),
];

#[tokio::test]
async fn caller_is_told_by_status() {
    for (status, body, told) in STATUSES {
        let server = spawn(Answer::Status(*status, body));
        let (targets, at) = (open_targets(), server.address());
        let done = targets.order(at, id::Epoch(1), &Order::Pin(1)).await;
        assert_eq!(Told::from(done), *told, "{status}");
        if !(200..300).contains(status) {
            let opened = targets.generate(at, &generate(1, 1)).await;
            assert_eq!(Told::from(opened), *told, "{status}");
        }
    }
}

#[tokio::test]
async fn refusal_gives_the_reason() {
    let server = spawn(Answer::Status(422, "too long"));
    let refused = open_targets().generate(server.address(), &generate(1, 1)).await;
    assert_eq!(refused.err(), Some(Error::Refused("too long".into())));
}

const TOKEN: &str = "{\"token\":{\"seq\":0,\"text\":\" a\"}}\n";
const END: &str = "{\"end\":{\"count\":1}}\n";
const FAILED: &str = "{\"failed\":{\"reason\":\"x\"}}\n";

/// Pieces of a stream, whether the body then ends normally, number of tokens read, and the final
/// result. Only the explicit end marker completes an answer.
const STREAMS: &[(&[&str], bool, usize, Told)] = &[
    (&[TOKEN, END], true, 1, Told::Done),
    (&["{\"token\":{\"seq\":0,\"te", "xt\":\" a\"}}\n", END], true, 1, Told::Done),
    (&["{\"token\":{\"seq\":0,\"text\":\" a\"}}\n{\"end\":{\"count\":1}}\n"], true, 1, Told::Done),
    (&[TOKEN, TOKEN, FAILED], true, 2, Told::Failed),
    (&[TOKEN], true, 1, Told::Unknown),
    (&[TOKEN], false, 1, Told::Unknown),
    (&[], true, 0, Told::Unknown),
    (&[], false, 0, Told::Unknown),
    (&[TOKEN, "{\"end\":{\"count\":1}}"], true, 1, Told::Unknown),
    (&[TOKEN, "{\"tok"], false, 1, Told::Unknown),
    (&[TOKEN, "\n"], true, 1, Told::Unknown),
    (&["garbage\n", END], true, 0, Told::Unknown),
    (&[END, TOKEN], true, 0, Told::Done),
];

#[tokio::test]
async fn reader_is_told_by_what_came() {
    for (pieces, whole, tokens, told) in STREAMS {
        let cut = Arc::new(Notify::new());
        let server = spawn(Answer::Pieces(pieces, *whole, cut.clone()));
        let opened = open_targets().generate(server.address(), &generate(1, 1)).await;
        let mut stream = opened.unwrap();
        let mut read = 0;
        let last = loop {
            if read == *tokens {
                cut.notify_one();
            }
            match stream.next().await.expect("a stream says how it ended") {
                Ok(Event::Token { .. }) => read += 1,
                Ok(Event::End { .. }) => break Told::Done,
                Ok(Event::Failed { .. }) => break Told::Failed,
                Err(error) => break Err::<(), _>(error).into(),
            }
        };
        assert_eq!((read, last), (*tokens, *told), "{pieces:?}");
        assert!(stream.next().await.is_none(), "{pieces:?}");
    }
}
