//! The parser of server-sent events.

use hickory_load::sse::{Event, EventTooLong, MAX_EVENT_BYTES, Parser};

fn event(id: Option<&str>, kind: &str, data: &str) -> Event {
    Event { id: id.map(Into::into), kind: kind.into(), data: data.into() }
}

/// Each row: a stream, and its events.
fn rows() -> Vec<(&'static str, Vec<Event>)> {
    vec![
        ("data: a\n\n", vec![event(None, "", "a")]),
        ("data:a\n\n", vec![event(None, "", "a")]),
        ("data:  a\n\n", vec![event(None, "", " a")]),
        ("data: a\r\n\r\ndata: b\r\r", vec![event(None, "", "a"), event(None, "", "b")]),
        ("data: a\ndata: b\n\n", vec![event(None, "", "a\nb")]),
        ("data\n\n", vec![event(None, "", "")]),
        (": keep-alive\n\ndata: a\n\n", vec![event(None, "", "a")]),
        ("event: error\ndata: {}\n\n", vec![event(None, "error", "{}")]),
        (
            "id: 7\ndata: a\n\ndata: b\n\n",
            vec![event(Some("7"), "", "a"), event(Some("7"), "", "b")],
        ),
        ("id: 7\n\ndata: b\n\n", vec![event(Some("7"), "", "b")]),
        ("retry: 10\nother: x\ndata: a:b\n\n", vec![event(None, "", "a:b")]),
        ("data: cut off\n", vec![]),
        ("data: ü\n\n", vec![event(None, "", "ü")]),
    ]
}

#[test]
fn events_are_parsed_at_any_chunk_size() {
    for (text, expected) in rows() {
        for size in 1..=text.len() {
            let mut parser = Parser::default();
            let chunks = text.as_bytes().chunks(size);
            let events: Vec<_> =
                chunks.flat_map(|chunk| parser.push(chunk).expect("short")).collect();
            assert_eq!(events, expected, "{text:?} in chunks of {size}");
        }
    }
}

/// A server that never ends a line would exhaust the caller's memory.
#[test]
fn overlong_event_is_rejected() {
    let mut parser = Parser::default();
    let line = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_eq!(parser.push(&line), Err(EventTooLong));
}
