//! Scripted replies to a follower of keys.

use goldenscript::Context;
use hickory_state::follow::{Follower, Options, Reply};
use hickory_store::store::{Batch, Entry, Error, Event, Revision};
use std::fmt::Write as _;
use std::time::{Duration, Instant};

#[derive(goldenscript::Command)]
enum Command {
    /// Shows the next call.
    Next,
    /// Replies to a list with the revision and keys as `key=revision`.
    Listed(u64, Vec<(String, u64)>),
    /// Replies to a watch with the revision and changes as `key=revision`; a key that
    /// begins with `gone_` was removed.
    Watched(u64, #[arg(optional)] Vec<(String, u64)>),
    /// Replies to a watch whose changes the service no longer holds.
    Compacted(u64),
    /// Replies with a failure.
    Failed,
    Advance(u64),
}

struct Runner {
    now: Instant,
    follower: Follower,
}

impl goldenscript::Runner for Runner {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _: &Context,
    ) -> Result<String, Box<dyn std::error::Error>> {
        let mut output = String::new();
        let reply = match command {
            Command::Next => {
                writeln!(output, "{:?}", self.follower.next_call(self.now))?;
                return Ok(output);
            }
            Command::Advance(seconds) => {
                self.now += Duration::from_secs(*seconds);
                return Ok(output);
            }
            Command::Listed(revision, keys) => {
                let entry = |(key, revision): &(String, u64)| Entry {
                    key: key.clone(),
                    value: String::new(),
                    revision: Revision::from(*revision),
                };
                Reply::Listed(Ok((keys.iter().map(entry).collect(), Revision::from(*revision))))
            }
            Command::Watched(revision, keys) => {
                let event = |(key, revision): &(String, u64)| Event {
                    key: key.trim_start_matches("gone_").into(),
                    value: (!key.starts_with("gone_")).then(String::new),
                    revision: Revision::from(*revision),
                };
                let events = keys.iter().map(event).collect();
                let revision = Revision::from(*revision);
                Reply::Watched(Ok(Batch { events, revision, compacted: false }))
            }
            Command::Compacted(revision) => {
                let revision = Revision::from(*revision);
                Reply::Watched(Ok(Batch { events: Vec::new(), revision, compacted: true }))
            }
            Command::Failed => Reply::Watched(Err(Error::Unknown("lost".into()))),
        };
        let step = self.follower.on_reply(self.now, reply);
        let entries = self.follower.entries().values();
        let entries: Vec<_> =
            entries.map(|entry| format!("{}={}", entry.key, entry.revision)).collect();
        let has_delay = step.delay > Duration::ZERO;
        write!(output, "changed {} confirmed {} ", step.is_changed, step.is_confirmed)?;
        writeln!(output, "waits {has_delay} [{}]", entries.join(" "))?;
        Ok(output)
    }
}

#[test]
fn gaps() {
    let watch_timeout = Duration::from_secs(10);
    let jitter = Duration::from_millis(300);
    let options = Options { prefix: "nodes/".into(), watch_timeout, jitter };
    let follower = Follower::new(options, 1);
    let mut runner = Runner { now: Instant::now(), follower };
    goldenscript::run(&mut runner, "tests/scripts/follow/gaps").unwrap();
}
