//! The output of a child process after its first line.

use hickory_load::process::Process;
use std::path::Path;
use std::time::{Duration, Instant};

/// Maximum wait, which is reached only if the test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon prints that it is ready and then logs more to standard output than a pipe
/// buffers. If the parent closes the pipe after the first line, the log is lost and
/// the daemon's writes fail. The rest must be written to the file that also receives
/// standard error.
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
