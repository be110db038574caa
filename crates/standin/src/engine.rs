//! A model engine: the cost model behind HTTP.

use crate::fault::{Faults, Life};
use crate::server::{self, Call, Piece, Reply};
use hickory_model::answer::Answer;
use hickory_model::engine::{Engine, Job, Options as Model, Refused, State};
use hickory_target::engine::{Event, Generate, Loaded, Report, Role, Weights};
use hickory_target::http::{Fenced, Import, Resume};
use hickory_unit::{id, size};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, mpsc, watch};

/// How an engine behaves.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The cost model.
    pub model: Model,
    /// Weights that are loaded at the start.
    pub loaded: Vec<Weights>,
}

#[derive(Debug)]
struct Held {
    engine: Engine,
    answers: HashMap<id::Stream, Reader>,
}

/// Who reads a stream: the last that came; one before it is cut.
#[derive(Debug)]
struct Reader {
    answer: Answer,
    number: u64,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    faults: Faults,
    held: Mutex<Held>,
    ticked: watch::Sender<u64>,
    work: Notify,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct Machine {
    inner: Arc<Inner>,
}

/// A running engine.
pub type Handle = server::Handle<Machine>;

/// Serves an engine.
pub fn spawn(listen: SocketAddr, options: Options) -> std::io::Result<Handle> {
    let faults = Faults::none();
    let held = Held { engine: Engine::open(options.model.clone()), answers: HashMap::new() };
    let inner = Inner {
        options,
        faults: faults.clone(),
        held: Mutex::new(held),
        ticked: watch::Sender::new(0),
        work: Notify::new(),
    };
    let machine = Machine { inner: Arc::new(inner) };
    server::runtime().spawn(machine.clone().step());
    server::spawn_with(listen, machine, faults)
}

impl Machine {
    /// Tokens that the streams of the engine hold now, without lag.
    pub fn kv_used(&self) -> size::Tokens {
        self.lock().engine.kv_used()
    }

    /// Runs the steps of the cost model as their time comes.
    async fn step(self) {
        let mut life = self.inner.faults.life();
        loop {
            self.inner.faults.wait_thawed().await;
            let now = self.inner.faults.now();
            let next = {
                let mut held = self.lock();
                held.engine.advance(now);
                held.engine.next_step()
            };
            self.inner.ticked.send_modify(|tick| *tick += 1);
            let sleep = async {
                match next {
                    Some(at) => tokio::time::sleep(at.saturating_duration_since(now)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = sleep => {}
                () = self.inner.work.notified() => {}
                Ok(()) = life.changed() => if *life.borrow_and_update() == Life::Stopped {
                    return;
                }
            }
        }
    }

    fn generate(&self, generate: &Generate) -> Reply {
        let stream = &generate.stream;
        let job = Job {
            stream: stream.clone(),
            prompt: size::Tokens::of_bytes(size::Bytes(generate.prompt.len() as u64)),
            max_tokens: generate.max_tokens,
            priority: generate.priority,
        };
        let answer = Answer::of(&generate.prompt);
        let mut held = self.lock();
        if let Err(refused) = held.engine.begin(self.inner.faults.now(), job) {
            return refuse(refused);
        }
        held.answers.insert(stream.clone(), Reader { answer, number: 0 });
        drop(held);
        self.inner.work.notify_one();
        self.read(stream, generate.from)
    }

    fn read(&self, stream: &id::Stream, from: u64) -> Reply {
        let mut held = self.lock();
        let Some(reader) = held.answers.get_mut(stream) else {
            return Reply::status(404, "no such stream");
        };
        reader.number += 1;
        let number = reader.number;
        drop(held);
        let (pieces, reply) = Reply::stream();
        tokio::spawn(self.clone().pump(stream.clone(), number, from, pieces));
        reply
    }

    /// Sends the tokens of a stream as they come, until its end, until a
    /// later reader takes over, or until the connection is gone; the stream
    /// itself lives on.
    async fn pump(
        self,
        stream: id::Stream,
        number: u64,
        mut from: u64,
        pieces: mpsc::Sender<Piece>,
    ) {
        let mut ticked = self.inner.ticked.subscribe();
        loop {
            ticked.mark_unchanged();
            let (lines, next, last) = self.take_lines(&stream, number, from);
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

    fn take_lines(&self, stream: &id::Stream, number: u64, from: u64) -> (Vec<u8>, u64, Last) {
        let held = self.lock();
        let mut lines = Vec::new();
        let Some(reader) = held.answers.get(stream) else {
            put_line(&mut lines, &Event::Failed { reason: "cancelled".into() });
            return (lines, from, Last::End);
        };
        let Some(progress) = held.engine.progress(stream) else {
            return (lines, from, Last::Cut);
        };
        if reader.number != number {
            return (lines, from, Last::Cut);
        }
        for seq in from..progress.generated {
            put_line(&mut lines, &Event::Token { seq, text: reader.answer.token(seq) });
        }
        let ended = progress.state == State::Ended;
        if ended {
            put_line(&mut lines, &Event::End { count: progress.generated });
        }
        let last = if ended { Last::End } else { Last::No };
        (lines, progress.generated.max(from), last)
    }

    fn cancel(&self, stream: &id::Stream) -> Reply {
        let mut held = self.lock();
        let cancelled = held.engine.cancel(self.inner.faults.now(), stream);
        held.answers.remove(stream);
        drop(held);
        self.inner.work.notify_one();
        Reply::json(&cancelled)
    }

    fn report(&self) -> Report {
        let held = self.lock();
        let model = &self.inner.options.model;
        let loaded = self.inner.options.loaded.iter().cloned();
        Report {
            incarnation: self.inner.faults.incarnation(),
            kv_capacity: model.kv_capacity,
            kv_used: held.engine.kv_used(),
            prefill_rate: model.prefill_rate,
            streams_max: model.streams_max,
            warmth: 100,
            streams: held.engine.held(),
            handles: Vec::new(),
            pins: Vec::new(),
            loaded: loaded.map(|weights| Loaded { weights, ready: true }).collect(),
            role: Role::Both,
            fence: None,
            cache_hits: 0,
            cache_misses: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Held> {
        self.inner.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether lines were the last ones.
enum Last {
    No,
    End,
    Cut,
}

fn put_line(lines: &mut Vec<u8>, event: &Event) {
    if serde_json::to_writer(&mut *lines, event).is_ok() {
        lines.push(b'\n');
    }
}

fn refuse(refused: Refused) -> Reply {
    Reply::status(422, &refused.to_string())
}

impl server::Service for Machine {
    async fn call(&self, call: Call) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/generate") => match call.json::<Generate>() {
                Ok(generate) => self.generate(&generate),
                Err(reply) => reply,
            },
            ("POST", "/v1/resume") => match call.json::<Resume>() {
                Ok(resume) => self.read(&resume.stream, resume.from),
                Err(reply) => reply,
            },
            ("POST", "/v1/cancel") => match call.json::<id::Stream>() {
                Ok(stream) => self.cancel(&stream),
                Err(reply) => reply,
            },
            ("GET", "/v1/report") => Reply::json(&self.report()),
            ("GET", "/v1/cache-events") => Reply::json(&[(); 0]),
            ("POST", "/v1/order") => match call.json::<Fenced>() {
                Ok(_) => Reply::json(&()),
                Err(reply) => reply,
            },
            ("POST", "/v1/import") => match call.json::<Import>() {
                Ok(_) => Reply::status(404, "no such handle"),
                Err(reply) => reply,
            },
            ("POST", "/v1/drop") => Reply::json(&()),
            _ => Reply::status(405, "no such call"),
        }
    }

    fn restart(&self, _faults: &Faults) {
        let mut held = self.lock();
        held.engine = Engine::open(self.inner.options.model.clone());
        held.answers.clear();
    }
}
