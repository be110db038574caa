//! An engine with something on it, and the faults that it is put through.
#![allow(dead_code)]

use futures::StreamExt;
use hickory_model::answer::Answer;
use hickory_model::batch::Stall;
use hickory_standin::engine::{self, Handle as Engine, Options};
use hickory_standin::fault::{Faults, Loss};
use hickory_target::Error;
use hickory_target::engine::{Engines, Event, Generate, Handle, Order, Priority, Weights};
use hickory_target::http::{Targets, Tokens};
use hickory_unit::{id, size};
use std::net::SocketAddr;
use std::time::Duration;

/// Ends the short calls that no answer comes to, and the wait for a stream
/// that stands still; what is answered gets [`LONG`], so that a busy machine
/// changes no verdict.
pub const SHORT: Duration = Duration::from_millis(250);

/// A wait that no test sees the end of.
pub const LONG: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    None,
    /// The process is dead.
    Killed,
    /// It was dead, and runs again.
    Restarted,
    /// It accepts connections and says nothing.
    Frozen,
    /// It was frozen, and goes on.
    Thawed,
    /// It takes longer than the caller waits.
    Slow,
    /// The call is lost on a connection that breaks.
    CallLost,
    /// The answer is lost on a connection that breaks.
    AnswerLost,
    /// No answer comes, and the connection stays open.
    AnswerSilent,
    /// The connections that were open are silent for good.
    Silenced,
}

impl Fault {
    /// How long to wait for what comes under it.
    pub fn patience(self) -> Duration {
        match self {
            Self::Frozen | Self::Slow | Self::AnswerSilent | Self::Silenced => SHORT,
            _ => LONG,
        }
    }

    pub fn apply(self, faults: &Faults) {
        match self {
            Self::None => {}
            Self::Killed => faults.kill(),
            Self::Restarted => faults.restart(),
            Self::Frozen => faults.freeze(),
            Self::Thawed => {
                faults.freeze();
                faults.thaw();
            }
            Self::Slow => faults.slow(LONG),
            Self::CallLost => faults.lose(Loss::Call, "/", 1),
            Self::AnswerLost => faults.lose(Loss::Answer, "/", 1),
            Self::AnswerSilent => faults.lose(Loss::Silence, "/", 1),
            Self::Silenced => faults.silence(),
        }
    }
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Done,
    NotSent,
    Unknown,
    Refused,
    Stale,
    NotFound,
    Stalled,
    /// The stream failed by the engine's own word.
    Failed,
    /// Nothing: the caller has to bound the wait itself.
    Pending,
}

impl Told {
    /// How long to wait for what is expected.
    pub fn patience(self) -> Duration {
        if self == Self::Pending { SHORT } else { LONG }
    }
}

impl<T> From<Result<T, Error>> for Told {
    fn from(result: Result<T, Error>) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(Error::NotSent(_)) => Self::NotSent,
            Err(Error::Unknown(_)) => Self::Unknown,
            Err(Error::Refused(_)) => Self::Refused,
            Err(Error::Stale) => Self::Stale,
            Err(Error::NotFound) => Self::NotFound,
            Err(Error::Stalled) => Self::Stalled,
        }
    }
}

pub fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub fn open_targets() -> Targets {
    Targets::open(LONG)
}

pub fn stream(number: u128) -> id::Stream {
    let request = id::Request(uuid::Uuid::from_u128(number));
    id::Stream { request, attempt: 0, sender: "node-a".into(), deadline_ms: 0 }
}

pub fn handle(number: u128) -> Handle {
    Handle { stream: stream(number), part: 0 }
}

pub fn weights() -> Weights {
    Weights { model: "m".into(), version: "1".into(), adapter: None }
}

pub fn generate(number: u128, max_tokens: u64) -> Generate {
    Generate {
        stream: stream(number),
        weights: weights(),
        prompt: format!("prompt {number}"),
        max_tokens: size::Tokens(max_tokens),
        priority: Priority(1),
        import: None,
        prefill_only: None,
        from: 0,
    }
}

pub fn options() -> Options {
    let mut options = Options { loaded: vec![weights()], ..Options::default() };
    options.model.speed = 100.0;
    options.model.report_lag = Duration::ZERO;
    options
}

pub struct Scene {
    pub engine: Engine,
    /// With timeouts of `patience`.
    pub targets: Targets,
    pub patience: Duration,
}

impl Scene {
    /// An engine that has ended stream 1, keeps a KV cache of stream 2, and
    /// has seen fencing number 2.
    pub async fn open() -> Self {
        Self::open_with(options()).await
    }

    pub async fn open_with(options: Options) -> Self {
        let engine = engine::spawn(any(), options).unwrap();
        let scene = Self { engine, targets: open_targets(), patience: LONG };
        assert_eq!(scene.read_new(&generate(1, 10)).await, Told::Done);
        let keep = Generate { prefill_only: Some(handle(2)), ..generate(2, 1) };
        assert_eq!(scene.read_new(&keep).await, Told::Done);
        let at = scene.engine.address();
        scene.targets.order(at, id::Epoch(2), &Order::Unpin(1)).await.unwrap();
        scene
    }

    /// The same with as much patience as `fault` needs, and a connection that
    /// has been used.
    pub async fn open_for(fault: Fault) -> Self {
        let mut scene = Self::open().await;
        scene.patience = fault.patience();
        scene.targets = Targets::open(scene.patience);
        let at = scene.engine.address();
        while Engines::report(&scene.targets, at).await.is_err() {}
        scene
    }

    /// Opens a stream and reads it to its end.
    pub async fn read_new(&self, generate: &Generate) -> Told {
        let opened = self.targets.generate(self.engine.address(), generate);
        match tokio::time::timeout(self.patience, opened).await {
            Ok(tokens) => read_to_end(tokens, self.patience).await,
            Err(_) => Told::Pending,
        }
    }

    /// Opens a stream of ten tokens that stands still after the fifth.
    pub async fn hold(&self, number: u128) -> Tokens {
        self.engine.service().stall(Stall::After(5));
        let generate = generate(number, 10);
        let mut tokens = self.targets.generate(self.engine.address(), &generate).await.unwrap();
        let text = read_tokens(&mut tokens, 5).await;
        assert_eq!(text, Answer::for_prompt(&generate.prompt).text(5));
        tokens
    }

    pub fn has_begun(&self, number: u128) -> bool {
        self.engine.service().with_engine(|engine| engine.progress(&stream(number)).is_some())
    }
}

/// The text of the next `count` tokens.
pub async fn read_tokens(tokens: &mut Tokens, count: usize) -> String {
    let mut text = String::new();
    for _ in 0..count {
        match tokens.next().await {
            Some(Ok(Event::Token { text: token, .. })) => text.push_str(&token),
            other => panic!("a token was due: {other:?}"),
        }
    }
    text
}

pub async fn read_to_end(opened: Result<Tokens, Error>, patience: Duration) -> Told {
    let mut tokens = match opened {
        Ok(tokens) => tokens,
        Err(error) => return Err::<(), _>(error).into(),
    };
    loop {
        match tokio::time::timeout(patience, tokens.next()).await {
            Err(_) => return Told::Pending,
            Ok(Some(Ok(Event::Token { .. }))) => {}
            Ok(Some(Ok(Event::End { .. }))) => return Told::Done,
            Ok(Some(Ok(Event::Failed { .. }))) => return Told::Failed,
            Ok(Some(Err(error))) => return Err::<(), _>(error).into(),
            Ok(None) => panic!("a stream ended without saying how"),
        }
    }
}
