//! What a started process prints behind its first line.

use hickory_load::process::Process;
use std::path::Path;
use std::time::{Duration, Instant};

/// The bound of the wait; it only ends a test that has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon says that it is ready and then writes its log to standard output,
/// more than a pipe holds. Whoever started it had its first line and was done:
/// the log was lost, and the process met a closed pipe. The rest must be read
/// on and kept, in the file that has its errors too.
#[test]
fn output_after_the_first_line_is_kept() {
    let file = std::env::temp_dir().join(format!("hickory-process-{}.log", std::process::id()));
    let script = "echo ready; echo wrong >&2; \
        i=0; while [ $i -lt 4000 ]; do echo \"line $i of a log that is long\"; i=$((i + 1)); done";
    let (process, line) = Process::spawn(Path::new("/bin/sh"), &["-c", script], &file).unwrap();
    assert_eq!(line, "ready\n");
    let test_deadline = Instant::now() + TEST_TIMEOUT;
    let text = loop {
        let text = std::fs::read_to_string(&file).unwrap();
        if text.contains("line 3999 of") || Instant::now() > test_deadline {
            break text;
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    let status = loop {
        match process.exit_status() {
            None if Instant::now() < test_deadline => std::thread::sleep(Duration::from_millis(10)),
            status => break status,
        }
    };
    std::fs::remove_file(&file).unwrap();
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    assert_eq!(text.lines().filter(|line| line.starts_with("line ")).count(), 4000);
    assert!(text.contains("wrong\n") && !text.contains("ready"));
}
