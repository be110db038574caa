//! A parser of server-sent events, as specified in the WHATWG HTML standard.

use compact_str::CompactString;
use derive_more::{Display, Error};

/// Maximum size of an event. Tokens are far smaller; the limit keeps a server that
/// never ends an event from exhausting the caller's memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The last event id that the stream has set.
    pub id: Option<CompactString>,
    /// The event type; empty if the stream sets none.
    pub kind: CompactString,
    /// The data lines, joined by line feeds.
    pub data: String,
}

/// The error for an event longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Error)]
#[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a byte stream into events, independently of how it is chunked.
#[derive(Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
    after_return: bool,
    event: Event,
    has_data: bool,
}

impl Parser {
    /// Parses a chunk and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<Event>, EventTooLong> {
        let mut events = Vec::new();
        for byte in chunk {
            let after_return = std::mem::replace(&mut self.after_return, *byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\n' | b'\r' => events.extend(self.end_line()),
                _ => self.line.push(*byte),
            }
            if self.line.len() + self.event.data.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
        }
        Ok(events)
    }

    fn end_line(&mut self) -> Option<Event> {
        let line = std::mem::take(&mut self.line);
        let line = String::from_utf8_lossy(&line);
        if line.is_empty() {
            return self.end_event();
        }
        let (field, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.into()),
            "event" => self.event.kind = value.into(),
            "data" => {
                if std::mem::replace(&mut self.has_data, true) {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => {}
        }
        None
    }

    /// Ends the current event. An event without data is discarded, but its id applies
    /// to the events that follow.
    fn end_event(&mut self) -> Option<Event> {
        let next = Event { id: self.event.id.clone(), ..Event::default() };
        let event = std::mem::replace(&mut self.event, next);
        std::mem::take(&mut self.has_data).then_some(event)
    }
}
