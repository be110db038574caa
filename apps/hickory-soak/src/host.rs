//! Entry daemons as child processes, which the soak stops, pauses, kills and
//! restarts.

use hickory_adapter_standin::write_settings;
use hickory_path::settings::{Bounds, Settings};
use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use std::os::fd::OwnedFd;
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
    /// Refers to the process until it has been reaped, also while a task waits for it to exit.
    process: Option<OwnedFd>,
    /// The number of processes started so far.
    incarnation: u32,
    /// The start and end of each disturbance, planned or not.
    disturbed: Vec<(Instant, Instant)>,
    /// The start and end of each disturbance that wasn't planned.
    unplanned: Vec<(Instant, Instant)>,
    /// Those in the settings file if they differ from the initial ones.
    bounds: Option<Bounds>,
    stops: Vec<Stop>,
}

/// A planned stop of a process.
#[derive(Clone, Debug)]
pub(crate) struct Stop {
    pub(crate) incarnation: u32,
    pub(crate) begin: Instant,
    /// The grace period in the settings file at its begin.
    pub(crate) grace: Duration,
    pub(crate) end: Option<Instant>,
    /// Whether the process had to be killed.
    pub(crate) was_killed: bool,
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
        let file = self.write_settings()?;
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
        let pid = child.id().and_then(|pid| Pid::from_raw(pid as i32));
        let process = pid.map(|pid| pidfd_open(pid, PidfdFlags::empty())).transpose()?;
        let mut state = self.lock();
        state.child = Some(child);
        state.process = process;
        state.incarnation += 1;
        Ok(())
    }

    /// Replaces the settings file as a whole, so that the process never reads a part of it.
    fn write_settings(&self) -> std::io::Result<PathBuf> {
        let file = self.directory.join(format!("{}.json", self.settings.node));
        let temporary = file.with_extension("new");
        let settings = Settings { bounds: self.bounds(), ..self.settings.clone() };
        std::fs::write(&temporary, write_settings(&settings))?;
        std::fs::rename(&temporary, &file)?;
        Ok(file)
    }

    /// Returns the bounds in the settings file.
    pub(crate) fn bounds(&self) -> Bounds {
        self.lock().bounds.clone().unwrap_or_else(|| self.settings.bounds.clone())
    }

    /// Changes the bounds in the settings file, of which the process isn't told.
    pub(crate) fn change_bounds(&self, bounds: Bounds) -> std::io::Result<()> {
        self.lock().bounds = Some(bounds);
        self.write_settings().map(drop)
    }

    /// Returns the number of the current process, starting at 1.
    pub(crate) fn incarnation(&self) -> u32 {
        self.lock().incarnation
    }

    /// Sends a signal to the process that this host started, if it is running.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(process) = &self.lock().process {
            // This fails if the process has already exited by itself.
            let _ = pidfd_send_signal(process, signal);
        }
    }

    /// Records that this host is disturbed from now on for `time`, by a fault or a planned stop.
    pub(crate) fn disturb(&self, time: Duration) {
        let now = Instant::now();
        self.lock().disturbed.push((now, now + time));
    }

    /// Records that a fault disturbs this host from now on for `time`.
    pub(crate) fn disturb_unplanned(&self, time: Duration) {
        let now = Instant::now();
        self.lock().unplanned.push((now, now + time));
    }

    /// Returns whether the host was disturbed at any time in the interval.
    pub(crate) fn was_disturbed(&self, from: Instant, to: Instant) -> bool {
        self.lock().disturbed.iter().any(|(begin, end)| *begin <= to && *end >= from)
    }

    /// Returns whether a fault disturbed the host at any time in the interval.
    pub(crate) fn was_disturbed_unplanned(&self, from: Instant, to: Instant) -> bool {
        self.lock().unplanned.iter().any(|(begin, end)| *begin <= to && *end >= from)
    }

    /// Begins a planned stop and returns the grace period.
    pub(crate) fn begin_stop(&self) -> Duration {
        let grace = self.bounds().grace;
        {
            let mut state = self.lock();
            let (incarnation, begin) = (state.incarnation, Instant::now());
            state.stops.push(Stop { incarnation, begin, grace, end: None, was_killed: false });
        }
        self.signal(Signal::TERM);
        grace
    }

    /// Waits for the end of a planned stop, and kills the process `limit` after its begin; returns
    /// whether it exited by itself.
    pub(crate) async fn end_stop(&self, limit: Duration) -> bool {
        let has_exited = self.wait(limit).await;
        if let Some(stop) = self.lock().stops.last_mut() {
            stop.end = Some(Instant::now());
            stop.was_killed = !has_exited;
        }
        has_exited
    }

    pub(crate) fn stops(&self) -> Vec<Stop> {
        self.lock().stops.clone()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.lock().stops.last().is_some_and(|stop| stop.end.is_none())
    }

    /// Returns whether the process has exited, though nobody waits for that.
    pub(crate) fn has_exited(&self) -> bool {
        let exit = self.lock().child.as_mut().map(Child::try_wait);
        matches!(exit, Some(Ok(Some(_))))
    }

    /// Waits up to `limit` for the process to exit and kills it after that; returns
    /// whether it exited by itself.
    pub(crate) async fn wait(&self, limit: Duration) -> bool {
        let Some(mut child) = self.lock().child.take() else { return true };
        let has_exited = tokio::time::timeout(limit, child.wait()).await.is_ok();
        if !has_exited {
            // The result doesn't matter: the process is gone either way.
            let _ = child.kill().await;
        }
        self.lock().process = None;
        has_exited
    }
}
