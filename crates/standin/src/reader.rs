//! Readers of an engine's streams. A stream continues without a reader. It has one reader at a
//! time: when a new reader attaches, the connection of the previous one is cut.

use crate::engine::{ProcessState, Simulator};
use crate::server::Piece;
use hickory_model::answer::Answer;
use hickory_model::engine::{Engine, State};
use hickory_target::engine::{Event, Generate};
use hickory_unit::id;
use std::collections::HashMap;
use tokio::sync::mpsc;

/// Minimum number of readers before the readers of streams that the engine has forgotten are
/// removed.
const MIN_SWEEP_THRESHOLD: usize = 1_024;

/// The readers of one engine.
#[derive(Debug, Default)]
pub(crate) struct Readers {
    by_stream: HashMap<id::Stream, Reader>,
    sweep_threshold: usize,
}

#[derive(Debug)]
struct Reader {
    answer: Answer,
    generation: u64,
}

impl Readers {
    /// Adds a stream without a reader.
    pub(crate) fn add(&mut self, generate: &Generate, engine: &Engine) {
        let reader = Reader { answer: Answer::for_prompt(&generate.prompt), generation: 0 };
        self.by_stream.insert(generate.stream.clone(), reader);
        if self.by_stream.len() > self.sweep_threshold.max(MIN_SWEEP_THRESHOLD) {
            self.by_stream.retain(|stream, _| engine.progress(stream).is_some());
            self.sweep_threshold = 2 * self.by_stream.len();
        }
    }

    /// Attaches a new reader, which supersedes all earlier ones, and returns its generation.
    /// Returns `None` if the stream is unknown.
    pub(crate) fn attach(&mut self, stream: &id::Stream) -> Option<u64> {
        let reader = self.by_stream.get_mut(stream)?;
        reader.generation += 1;
        Some(reader.generation)
    }

    /// Removes a stream.
    pub(crate) fn remove(&mut self, stream: &id::Stream) {
        self.by_stream.remove(stream);
    }
}

/// State of a reader after a batch of lines: more follow, the stream has ended, or the
/// connection has to be cut.
enum Status {
    Open,
    End,
    Cut,
}

/// Sends the events of a stream until it ends, a later reader attaches or the connection closes.
/// The stream itself continues in the last two cases.
pub(crate) async fn stream_events(
    simulator: Simulator,
    stream: id::Stream,
    generation: u64,
    mut from: u64,
    pieces: mpsc::Sender<Piece>,
) {
    let mut ticked = simulator.ticked();
    loop {
        ticked.mark_unchanged();
        let (lines, next, status) = pending_lines(&simulator.lock(), &stream, generation, from);
        from = next;
        if !lines.is_empty() && pieces.send(Piece::Data(lines.into())).await.is_err() {
            return;
        }
        match status {
            Status::Open => {}
            Status::End => {
                let _ = pieces.send(Piece::End).await;
                return;
            }
            Status::Cut => return,
        }
        tokio::select! {
            _ = ticked.changed() => {}
            () = pieces.closed() => return,
        }
    }
}

fn pending_lines(
    process: &ProcessState,
    stream: &id::Stream,
    generation: u64,
    from: u64,
) -> (Vec<u8>, u64, Status) {
    let mut lines = Vec::new();
    let Some(reader) = process.readers.by_stream.get(stream) else {
        append_line(&mut lines, &Event::Failed { reason: "cancelled".into() });
        return (lines, from, Status::End);
    };
    let Some(progress) =
        process.engine.progress(stream).filter(|_| reader.generation == generation)
    else {
        return (lines, from, Status::Cut);
    };
    for seq in from..progress.generated {
        append_line(&mut lines, &Event::Token { seq, text: reader.answer.token(seq) });
    }
    let status = match progress.state {
        State::Waiting | State::Running => Status::Open,
        State::Ended => {
            append_line(&mut lines, &Event::End { count: progress.generated });
            Status::End
        }
        State::Failed(failure) => {
            let reason = compact_str::format_compact!("{failure}");
            append_line(&mut lines, &Event::Failed { reason });
            Status::End
        }
    };
    (lines, progress.generated.max(from), status)
}

fn append_line(lines: &mut Vec<u8>, event: &Event) {
    if serde_json::to_writer(&mut *lines, event).is_ok() {
        lines.push(b'\n');
    }
}
