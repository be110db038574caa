//! Daemons as child processes.

use hickory_adapter_standin::{caller, write_settings};
use hickory_path::settings::Settings;
use serde_json::Value;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A daemon process and its log file.
pub struct Daemon {
    pub process: Child,
    log: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // This fails if the daemon has already ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Daemon {
    /// Starts a daemon with files of this name, and waits until it is ready.
    pub async fn start(name: &str, settings: &Settings) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = directory.join(format!("{name}.json"));
        std::fs::write(&file, write_settings(settings)).unwrap();
        let log = directory.join(format!("{name}.log"));
        let process = Command::new(env!("CARGO_BIN_EXE_hickory-entry"))
            .arg(&file)
            .args(settings.metrics.map(|address| format!("--metrics={}", address.port())))
            .stdout(std::fs::File::create(&log).unwrap())
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let daemon = Self { process, log };
        caller::wait_until_ready(settings.ready).await;
        daemon
    }

    /// Returns the complete log lines that match; a line that is still being written is
    /// left out.
    pub fn log_lines(&self, is_match: impl Fn(&Value) -> bool) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap();
        let complete_lines = text.rfind('\n').map_or("", |end| &text[..end]);
        let lines = complete_lines.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
        lines.filter(is_match).collect()
    }
}
