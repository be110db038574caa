//! Signals to a running daemon: changed settings and the planned stop.

use hickory_adapter_standin::caller::{self, Response, wait_until, wait_until_ready};
use hickory_adapter_standin::replica::Replica;
use hickory_adapter_standin::store::Store;
use hickory_adapter_standin::{CONFIG, entry_key, settings, write_settings};
use hickory_path::settings::Settings;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Longer than a stop takes at most.
const EXIT_TIMEOUT: Duration = Duration::from_secs(15);

/// A daemon with a store and an engine that runs a stream.
struct Daemon {
    process: Child,
    file: PathBuf,
    settings: Settings,
    stream: JoinHandle<Response>,
    _store: Store,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // This fails if the daemon has already ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Daemon {
    /// Starts a daemon with a file of this name, and a stream of so many events, 10 ms each.
    async fn start(name: &str, events: u64) -> Self {
        let store = Store::spawn().await;
        store.put_configuration(CONFIG);
        let engine = Replica::spawn("m-1", "model", events).await;
        store.put(&entry_key("m-1"), &engine.entry("ready"));
        let settings = settings("node-1", store.address);
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&file, write_settings(&settings)).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_hickory-entry"))
            .arg(&file)
            .stdout(Stdio::null())
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        wait_until_ready(settings.ready).await;
        let text = caller::request("POST", "/long/1", caller::MODEL_HEADERS, "prompt");
        let (text, at) = (text.replace("3000", "15000"), settings.callers);
        let stream = tokio::spawn(async move { caller::send(at, &text).await });
        wait_until("the stream arrives", || !engine.requests().is_empty()).await;
        Self { process, file, settings, stream, _store: store }
    }

    fn change_grace(&mut self, grace: Duration) {
        self.settings.bounds.grace = grace;
        std::fs::write(&self.file, write_settings(&self.settings)).unwrap();
    }

    fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    async fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().unwrap() {
                return status;
            }
            assert!(start.elapsed() < EXIT_TIMEOUT, "the daemon doesn't end");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Guards against streams that changed or unreadable settings end, before and after the stop begins.
#[tokio::test]
async fn reloads_end_no_stream_of_a_stopping_daemon() {
    let mut daemon = Daemon::start("reload-stream", 250).await;
    daemon.change_grace(Duration::from_secs(6));
    daemon.signal("-HUP");
    tokio::time::sleep(Duration::from_millis(200)).await;
    std::fs::write(&daemon.file, "{").unwrap();
    daemon.signal("-HUP");
    daemon.signal("-TERM");
    tokio::time::sleep(Duration::from_millis(200)).await;
    daemon.signal("-HUP");
    let stream = (&mut daemon.stream).await.unwrap();
    assert_eq!((stream.event_ids().len(), stream.is_complete), (250, true));
    assert!(daemon.wait_for_exit().await.success());
}

/// Guards against a daemon that is killed because its stop goes by an older grace period than the
/// one in its settings file.
#[tokio::test]
async fn a_stop_ends_within_the_grace_period_of_the_settings_file() {
    const GRACE: Duration = Duration::from_secs(2);
    let mut daemon = Daemon::start("reload-grace", 1_000).await;
    daemon.change_grace(GRACE);
    daemon.signal("-TERM");
    let start = Instant::now();
    assert!(daemon.wait_for_exit().await.success());
    assert!(start.elapsed() < GRACE, "{:?}", start.elapsed());
}

/// Guards against a daemon that SIGHUP ends while it starts. Its settings come through a pipe, on which
/// it waits for them.
#[tokio::test]
async fn a_reload_during_the_start_does_not_end_the_daemon() {
    let store = Store::spawn().await;
    store.put_configuration(CONFIG);
    let settings = settings("node-1", store.address);
    let pipe = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("reload-start.json");
    // It is left over from an earlier run.
    let _ = std::fs::remove_file(&pipe);
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let process = Command::new(env!("CARGO_BIN_EXE_hickory-entry"))
        .arg(&pipe)
        .stdout(Stdio::null())
        .stdin(Stdio::null())
        .spawn()
        .unwrap();
    // Opening the pipe waits until the daemon reads it.
    let file = pipe.clone();
    let writer = tokio::task::spawn_blocking(move || std::fs::File::create(file).unwrap());
    let mut writer = writer.await.unwrap();
    let mut daemon = Starting(process);
    daemon.signal("-HUP");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(daemon.0.try_wait().unwrap(), None, "ended by SIGHUP");
    // The daemon reads a file when it reloads.
    std::fs::remove_file(&pipe).unwrap();
    std::fs::write(&pipe, write_settings(&settings)).unwrap();
    std::io::Write::write_all(&mut writer, write_settings(&settings).as_bytes()).unwrap();
    drop(writer);
    wait_until_ready(settings.ready).await;
}

/// A daemon that is killed when this is dropped.
struct Starting(Child);

impl Starting {
    fn signal(&self, signal: &str) {
        let id = self.0.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        // This fails if the daemon has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
