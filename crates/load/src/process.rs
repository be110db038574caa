//! Child processes of an experiment.
//!
//! Every child is killed through its own handle: when its [`Process`] is dropped,
//! or together with all others by [`kill_all`] when the experiment is interrupted
//! or times out. No process is killed by name.

use eyre::{Context, ContextCompat, Result};
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

type SharedChild = Arc<Mutex<Child>>;

/// The longest line that is written to the log file as a whole.
const MAX_LINE_BYTES: u64 = 64 << 10;

static RUNNING_CHILDREN: Mutex<Vec<SharedChild>> = Mutex::new(Vec::new());

/// A running child process, which is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: SharedChild,
    pid: u32,
}

/// The resource usage of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident: u64,
}

impl Process {
    /// Starts `binary`, waits until it prints the line that reports that it is ready, and
    /// returns the process with that line. All later output is written to the file
    /// `log`, as is standard error.
    pub fn spawn(binary: &Path, arguments: &[&str], log: &Path) -> Result<(Self, String)> {
        // Both writers append. If they shared a position in the file, a copy by `splice` would not
        // take it under the same lock as a write, and lines would overwrite each other.
        File::create(log)?;
        let log_file = OpenOptions::new().append(true).open(log)?;
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file.try_clone()?)
            .spawn()
            .with_context(|| {
                format!("cannot start {}; build all programs first", binary.display())
            })?;
        let output =
            child.stdout.take().context("the child process has no standard output pipe")?;
        let pid = child.id();
        let child = Arc::new(Mutex::new(child));
        lock(&RUNNING_CHILDREN).push(child.clone());
        let process = Self { child, pid };
        let mut line = String::new();
        let mut output = BufReader::new(output);
        output.read_line(&mut line)?;
        eyre::ensure!(
            !line.is_empty(),
            "{} closed its standard output before it printed that it is ready",
            binary.display()
        );
        std::thread::spawn(move || {
            if let Err(error) = copy_lines(output, &log_file) {
                eprintln!("the output of process {pid} is no longer written to its log: {error}");
            }
        });
        Ok((process, line))
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.pid
    }

    /// Returns the resource usage so far.
    pub fn usage(&self) -> Result<Usage> {
        read_usage(self.pid)
    }

    /// Returns the exit status, or `None` while the process is running.
    pub fn exit_status(&self) -> Option<std::process::ExitStatus> {
        lock(&self.child).try_wait().ok().flatten()
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&self) {
        kill_and_wait(&self.child);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        kill_and_wait(&self.child);
        lock(&RUNNING_CHILDREN).retain(|child| !Arc::ptr_eq(child, &self.child));
    }
}

/// Kills every child process that is still running.
pub fn kill_all() {
    lock(&RUNNING_CHILDREN).iter().for_each(kill_and_wait);
}

/// Returns the path of the program `name` in the folder of the running program.
pub fn find_binary(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("the path of the running program has no parent folder")?;
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(name))
}

/// Copies `output` until it ends, in one write per line, so that lines of another writer don't
/// split it.
fn copy_lines(mut output: impl BufRead, mut log_file: &File) -> io::Result<()> {
    let mut line = Vec::new();
    while output.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut line)? > 0 {
        log_file.write_all(&line)?;
        line.clear();
    }
    Ok(())
}

fn kill_and_wait(child: &SharedChild) {
    let mut child = lock(child);
    // An error means that the process has already exited.
    child.kill().ok();
    child.wait().ok();
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Clock ticks per second of the times in `/proc`; 100 on all common machines.
const TICKS_PER_SECOND: f64 = 100.0;

/// Size of a memory page.
const PAGE_BYTES: u64 = 4096;

fn read_usage(pid: u32) -> Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The process name in parentheses may contain spaces, so fields are counted after it.
    let (_, fields) =
        stat.rsplit_once(") ").context("/proc/<pid>/stat has no process name in parentheses")?;
    let fields: Vec<_> = fields.split(' ').collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    let ticks = field(11).zip(field(12)).map(|(user, system)| user + system);
    let cpu_seconds =
        ticks.context("/proc/<pid>/stat has no processor times")? as f64 / TICKS_PER_SECOND;
    let resident = field(21).context("/proc/<pid>/stat has no resident memory size")? * PAGE_BYTES;
    Ok(Usage { cpu_seconds, resident })
}
