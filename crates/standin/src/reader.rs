//! Who reads the streams of an engine. A stream lives without a reader; the
//! last reader that came has it, and one before it is cut.

use crate::engine::{Held, Machine};
use crate::server::Piece;
use hickory_model::answer::Answer;
use hickory_model::engine::{Engine, State};
use hickory_target::engine::{Event, Generate};
use hickory_unit::id;
use std::collections::HashMap;
use tokio::sync::mpsc;

/// Readers kept before those of forgotten streams are swept.
const SWEEP_AT: usize = 1_024;

/// The readers of one engine.
#[derive(Debug, Default)]
pub(crate) struct Readers {
    all: HashMap<id::Stream, Reader>,
    sweep_at: usize,
}

#[derive(Debug)]
struct Reader {
    answer: Answer,
    number: u64,
}

impl Readers {
    /// Adds a stream without a reader.
    pub(crate) fn add(&mut self, generate: &Generate, engine: &Engine) {
        let reader = Reader { answer: Answer::for_prompt(&generate.prompt), number: 0 };
        self.all.insert(generate.stream.clone(), reader);
        if self.all.len() > self.sweep_at.max(SWEEP_AT) {
            self.all.retain(|stream, _| engine.progress(stream).is_some());
            self.sweep_at = 2 * self.all.len();
        }
    }

    /// The number of a new reader, before whom all others give way; `None`
    /// where there is no such stream.
    pub(crate) fn supersede(&mut self, stream: &id::Stream) -> Option<u64> {
        let reader = self.all.get_mut(stream)?;
        reader.number += 1;
        Some(reader.number)
    }

    /// Forgets a stream.
    pub(crate) fn remove(&mut self, stream: &id::Stream) {
        self.all.remove(stream);
    }
}

/// Whether lines were the last ones.
enum Last {
    No,
    End,
    Cut,
}

/// Sends the tokens of a stream as they come, until its end, until a later
/// reader takes over, or until the connection is gone; the stream lives on.
pub(crate) async fn pump(
    machine: Machine,
    stream: id::Stream,
    number: u64,
    mut from: u64,
    pieces: mpsc::Sender<Piece>,
) {
    let mut ticked = machine.ticked();
    loop {
        ticked.mark_unchanged();
        let (lines, next, last) = take_lines(&machine.lock(), &stream, number, from);
        from = next;
        if !lines.is_empty() && pieces.send(Piece::Data(lines.into())).await.is_err() {
            return;
        }
        match last {
            Last::No => {}
            Last::End => {
                let _ = pieces.send(Piece::End).await;
                return;
            }
            Last::Cut => return,
        }
        tokio::select! {
            _ = ticked.changed() => {}
            () = pieces.closed() => return,
        }
    }
}

fn take_lines(held: &Held, stream: &id::Stream, number: u64, from: u64) -> (Vec<u8>, u64, Last) {
    let mut lines = Vec::new();
    let Some(reader) = held.readers.all.get(stream) else {
        put_line(&mut lines, &Event::Failed { reason: "cancelled".into() });
        return (lines, from, Last::End);
    };
    let Some(progress) = held.engine.progress(stream).filter(|_| reader.number == number) else {
        return (lines, from, Last::Cut);
    };
    for seq in from..progress.generated {
        put_line(&mut lines, &Event::Token { seq, text: reader.answer.token(seq) });
    }
    let last = match progress.state {
        State::Waiting | State::Running => Last::No,
        State::Ended => {
            put_line(&mut lines, &Event::End { count: progress.generated });
            Last::End
        }
        State::Failed(failure) => {
            let reason = compact_str::format_compact!("{failure}");
            put_line(&mut lines, &Event::Failed { reason });
            Last::End
        }
    };
    (lines, progress.generated.max(from), last)
}

fn put_line(lines: &mut Vec<u8>, event: &Event) {
    if serde_json::to_writer(&mut *lines, event).is_ok() {
        lines.push(b'\n');
    }
}
