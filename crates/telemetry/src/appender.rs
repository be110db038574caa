//! A log appender that never blocks: a dedicated thread writes the lines.
//!
//! If the reader of the log stops reading, requests must still proceed. Lines
//! go through a bounded queue. Lines that exceed the queue or the rate limit
//! are dropped, and a line that is logged later reports how many.

use crossbeam::channel::{Sender, TrySendError, bounded};
use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Bound of the queue to the writer thread, about 100 KB.
const MAX_QUEUED_LINES: usize = 512;

/// Rate limit of the log. A node with 35 requests per second writes about 40
/// lines per second. Each refusal writes a line, and without a limit a burst of
/// refusals would take processor time from the requests.
const MAX_LINES_PER_SECOND: f64 = 200.0;

/// Lines that may be written at once, before the rate limit applies.
const MAX_BURST_LINES: f64 = 400.0;

/// Stack of the writer thread, which is small because lines are formatted before
/// they are queued.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// An appender that queues formatted lines and never blocks.
#[derive(Debug)]
pub(crate) struct QueuedAppender {
    queue: Sender<Vec<u8>>,
    dropped: AtomicU64,
    bucket: Mutex<TokenBucket>,
    encoder: JsonEncoder,
}

/// A token bucket that limits the rate of lines.
#[derive(Debug)]
struct TokenBucket {
    tokens: f64,
    refilled: Instant,
}

impl TokenBucket {
    /// Takes one token and returns whether one was available.
    fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.tokens =
            (self.tokens + MAX_LINES_PER_SECOND * elapsed.as_secs_f64()).min(MAX_BURST_LINES);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

/// The permission to write the first line. All other lines wait until it is
/// written or this value is dropped.
#[derive(Debug)]
pub struct FirstLine(Sender<Vec<u8>>);

impl FirstLine {
    /// Queues the line and returns without waiting until it is written.
    pub fn write(self, line: &str) {
        // This fails only if the writer thread has ended, and then the line can't
        // be written.
        let _ = self.0.try_send(format!("{line}\n").into_bytes());
    }
}

impl QueuedAppender {
    /// Starts the writer thread.
    pub(crate) fn spawn(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (first, lines) = Self::spawn_with_first_line(out)?;
        drop(first);
        Ok(lines)
    }

    /// Starts the writer thread, which holds all lines until the first line is
    /// written or its [`FirstLine`] is dropped.
    pub(crate) fn spawn_with_first_line(
        out: impl Write + Send + 'static,
    ) -> std::io::Result<(FirstLine, Self)> {
        let (first, ready) = bounded(1);
        let (queue, lines) = bounded(MAX_QUEUED_LINES);
        let writer = std::thread::Builder::new().name("log".into()).stack_size(WRITER_STACK_BYTES);
        writer.spawn(move || write_all_lines(ready.into_iter().take(1).chain(lines), out))?;
        let bucket = Mutex::new(TokenBucket { tokens: MAX_BURST_LINES, refilled: Instant::now() });
        let dropped = AtomicU64::new(0);
        Ok((FirstLine(first), Self { queue, dropped, bucket, encoder: JsonEncoder::new() }))
    }

    fn send(&self, line: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.queue.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn log_dropped_count(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"{dropped} log lines were dropped\"}}\n"
            );
            if self.queue.try_send(line.into_bytes()).is_err() {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
    }
}

impl Append for QueuedAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let is_allowed = {
            let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
            bucket.try_take(Instant::now())
        };
        if !is_allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        if self.dropped.load(Ordering::Relaxed) > 0 {
            self.log_dropped_count();
        }
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        self.send(line.0);
        Ok(())
    }

    fn flush(&self) {}
}

fn write_all_lines(lines: impl Iterator<Item = Vec<u8>>, mut out: impl Write) {
    for line in lines {
        // If the reader of the log is gone, the error can't be reported anywhere.
        let _ = out.write_all(&line).and_then(|()| out.flush());
    }
}
