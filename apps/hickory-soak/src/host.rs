//! Entry daemons as child processes, which the soak stops, pauses, kills and
//! restarts.

use hickory_adapter_standin::write_settings;
use hickory_path::settings::Settings;
use rustix::process::{Pid, Signal, kill_process};
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};

/// A host and its daemon process.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) settings: Settings,
    program: PathBuf,
    /// Whether it runs another version, which may not keep all promises.
    pub(crate) is_other_version: bool,
    directory: PathBuf,
    state: Mutex<State>,
    /// Held by the task that ends and restarts the process; meanwhile other
    /// tasks may only send signals.
    pub(crate) restart_lock: tokio::sync::Mutex<()>,
}

#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    /// The number of processes started so far.
    incarnation: u32,
    /// The start and end of each disturbance.
    disturbed: Vec<(Instant, Instant)>,
}

impl Host {
    pub(crate) fn open(
        settings: Settings,
        program: PathBuf,
        is_other_version: bool,
        directory: PathBuf,
    ) -> Self {
        Self {
            settings,
            program,
            is_other_version,
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

    /// Returns the number of the current process, starting at 1.
    pub(crate) fn incarnation(&self) -> u32 {
        self.lock().incarnation
    }

    /// Sends a signal to the process that this host started, if it is running.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = self.lock().child.as_ref().and_then(Child::id);
        if let Some(pid) = pid.and_then(|pid| Pid::from_raw(pid as i32)) {
            // This fails if the process has already exited by itself.
            let _ = kill_process(pid, signal);
        }
    }

    /// Records that this host is disturbed from now on for `time`.
    pub(crate) fn disturb(&self, time: Duration) {
        let now = Instant::now();
        self.lock().disturbed.push((now, now + time));
    }

    /// Returns whether the host was disturbed at any time in the interval.
    pub(crate) fn was_disturbed(&self, from: Instant, to: Instant) -> bool {
        self.lock().disturbed.iter().any(|(begin, end)| *begin <= to && *end >= from)
    }

    /// Waits up to `limit` for the process to exit and kills it after that; returns
    /// whether it exited by itself.
    pub(crate) async fn wait(&self, limit: Duration) -> bool {
        let Some(mut child) = self.lock().child.take() else { return true };
        if tokio::time::timeout(limit, child.wait()).await.is_ok() {
            return true;
        }
        // The result doesn't matter: the process is gone either way.
        let _ = child.kill().await;
        false
    }
}
