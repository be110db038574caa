//! Entry daemons as processes, which are stopped, paused, killed and started.

use hickory_adapter_standin::write_settings;
use hickory_path::settings::Settings;
use rustix::process::{Pid, Signal, kill_process};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

/// A host with its process.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) settings: Settings,
    program: PathBuf,
    directory: PathBuf,
    state: Mutex<State>,
    /// Held by whoever ends the process and starts it again; others may only
    /// send signals meanwhile.
    pub(crate) restart_lock: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    /// Counts the processes.
    incarnation: u32,
    /// When it was last disturbed, and until when.
    disturbed: Vec<(Instant, Instant)>,
}

impl Host {
    pub(crate) fn open(settings: Settings, program: PathBuf, directory: PathBuf) -> Self {
        Self {
            settings,
            program,
            directory,
            state: Mutex::default(),
            restart_lock: tokio::sync::Mutex::default(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Starts the process.
    pub(crate) fn start(&self) -> std::io::Result<()> {
        let name = self.settings.node.as_str();
        let file = self.directory.join(format!("{name}.json"));
        std::fs::write(&file, write_settings(&self.settings))?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("{name}.log")))?;
        let child = Command::new(&self.program)
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::inherit())
            .kill_on_drop(true)
            .spawn()?;
        let mut state = self.lock();
        state.child = Some(child);
        state.incarnation += 1;
        Ok(())
    }

    /// Which process it is, from 1.
    pub(crate) fn incarnation(&self) -> u32 {
        self.lock().incarnation
    }

    /// Sends a signal to the process that this host started, if it lives.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = self.lock().child.as_ref().and_then(Child::id);
        if let Some(pid) = pid.and_then(|pid| Pid::from_raw(pid as i32)) {
            // It fails where the process has ended by itself.
            let _ = kill_process(pid, signal);
        }
    }

    /// Notes a disturbance of this host from now on for `time`.
    pub(crate) fn disturb(&self, time: Duration) {
        let now = Instant::now();
        self.lock().disturbed.push((now, now + time));
    }

    /// Whether it was disturbed at any moment of a span.
    pub(crate) fn was_disturbed(&self, from: Instant, to: Instant) -> bool {
        self.lock().disturbed.iter().any(|(begin, end)| *begin <= to && *end >= from)
    }

    /// Waits at most `limit` for the process to end, kills it then, and says
    /// whether it ended by itself.
    pub(crate) async fn wait(&self, limit: Duration) -> bool {
        let Some(mut child) = self.lock().child.take() else { return true };
        if tokio::time::timeout(limit, child.wait()).await.is_ok() {
            return true;
        }
        // It ends with the kill.
        let _ = child.kill().await;
        false
    }
}
