//! Processes that an experiment starts, and their end.
//!
//! Every child is ended by its own handle: when its [`Process`] is dropped,
//! or all at once by [`end_all`] when the experiment is interrupted or takes
//! too long. Nothing is ever ended by name.

use eyre::{Context, ContextCompat, Result};
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

type Slot = Arc<Mutex<Child>>;

static STARTED: Mutex<Vec<Slot>> = Mutex::new(Vec::new());

/// A running child process; ended when dropped.
#[derive(Debug)]
pub struct Process {
    child: Slot,
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
        let mut rest = errors.try_clone()?;
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
        lock(&STARTED).push(child.clone());
        let process = Self { child, pid };
        let mut line = String::new();
        let mut output = BufReader::new(output);
        output.read_line(&mut line)?;
        eyre::ensure!(!line.is_empty(), "{} ended before it was ready", binary.display());
        // It ends with the process, or where the file can't be written any more.
        std::thread::spawn(move || std::io::copy(&mut output, &mut rest));
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
    pub fn ended(&self) -> Option<std::process::ExitStatus> {
        lock(&self.child).try_wait().ok().flatten()
    }

    /// Kills it at once.
    pub fn kill(&self) {
        end(&self.child);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        end(&self.child);
        lock(&STARTED).retain(|slot| !Arc::ptr_eq(slot, &self.child));
    }
}

/// Ends every process that is still running.
pub fn end_all() {
    lock(&STARTED).iter().for_each(end);
}

/// The program `name` beside the running one.
pub fn find_binary(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("a program lies in a folder")?;
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(name))
}

fn end(child: &Slot) {
    let mut child = lock(child);
    // An error means that it has ended already.
    child.kill().ok();
    child.wait().ok();
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ticks a second of the times in `/proc`; 100 on all common machines.
const TICKS: f64 = 100.0;

/// Bytes of a page.
const PAGE: u64 = 4096;

fn read_usage(pid: u32) -> Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name in brackets may hold spaces: fields count from after it.
    let (_, fields) = stat.rsplit_once(") ").context("malformed stat")?;
    let fields: Vec<_> = fields.split(' ').collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    let ticks = field(11).zip(field(12)).map(|(user, system)| user + system);
    let cpu_seconds = ticks.context("malformed stat")? as f64 / TICKS;
    let resident = field(21).context("malformed stat")? * PAGE;
    Ok(Usage { cpu_seconds, resident })
}
