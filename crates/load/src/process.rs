//! Processes that an experiment starts, and their end.
//!
//! Every child is ended by its own handle: when its [`Process`] is dropped,
//! or all at once by [`kill_all`] when the experiment is interrupted or takes
//! too long. Nothing is ever ended by name.

use eyre::{Context, ContextCompat, Result};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

type SharedChild = Arc<Mutex<Child>>;

static RUNNING_CHILDREN: Mutex<Vec<SharedChild>> = Mutex::new(Vec::new());

/// A running child process; ended when dropped.
#[derive(Debug)]
pub struct Process {
    child: SharedChild,
    pid: u32,
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident: u64,
}

impl Process {
    /// Starts `binary` and returns it with the first line it prints, which
    /// says that it is ready. What it prints behind that goes to the file
    /// `log`, with its errors.
    pub fn spawn(binary: &Path, arguments: &[&str], log: &Path) -> Result<(Self, String)> {
        let errors = std::fs::File::create(log)?;
        let mut log_file = errors.try_clone()?;
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .spawn()
            .with_context(|| format!("{}: build all programs first", binary.display()))?;
        let output = child.stdout.take().context("no standard output")?;
        let pid = child.id();
        let child = Arc::new(Mutex::new(child));
        lock(&RUNNING_CHILDREN).push(child.clone());
        let process = Self { child, pid };
        let mut line = String::new();
        let mut output = BufReader::new(output);
        output.read_line(&mut line)?;
        eyre::ensure!(!line.is_empty(), "{} ended before it was ready", binary.display());
        // It ends with the process, or where the file can't be written any more.
        std::thread::spawn(move || std::io::copy(&mut output, &mut log_file));
        Ok((process, line))
    }

    /// Its id.
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// What it has used so far.
    pub fn usage(&self) -> Result<Usage> {
        read_usage(self.pid)
    }

    /// Whether it has ended by itself, and with which status.
    pub fn exit_status(&self) -> Option<std::process::ExitStatus> {
        lock(&self.child).try_wait().ok().flatten()
    }

    /// Kills it at once.
    pub fn kill(&self) {
        kill_and_wait(&self.child);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        kill_and_wait(&self.child);
        lock(&RUNNING_CHILDREN).retain(|slot| !Arc::ptr_eq(slot, &self.child));
    }
}

/// Ends every process that is still running.
pub fn kill_all() {
    lock(&RUNNING_CHILDREN).iter().for_each(kill_and_wait);
}

/// The program `name` beside the running one.
pub fn find_binary(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("a program lies in a folder")?;
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(name))
}

fn kill_and_wait(child: &SharedChild) {
    let mut child = lock(child);
    // An error means that it has ended already.
    child.kill().ok();
    child.wait().ok();
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ticks a second of the times in `/proc`; 100 on all common machines.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of a page.
const PAGE_BYTES: u64 = 4096;

fn read_usage(pid: u32) -> Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in brackets may hold spaces: fields count from after it.
    let (_, fields) = stat.rsplit_once(") ").context("malformed stat")?;
    let fields: Vec<_> = fields.split(' ').collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    let ticks = field(11).zip(field(12)).map(|(user, system)| user + system);
    let cpu_seconds = ticks.context("malformed stat")? as f64 / TICKS_PER_SECOND;
    let resident = field(21).context("malformed stat")? * PAGE_BYTES;
    Ok(Usage { cpu_seconds, resident })
}
