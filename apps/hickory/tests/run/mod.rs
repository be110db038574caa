//! Runs the command line as a child process.

use std::fmt;
use std::path::Path;
use std::process::{Command, Stdio};

/// The exit code and output of a run.
#[derive(Debug)]
pub struct Output {
    pub command: String,
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl Output {
    /// Formats only the command and its exit code.
    pub fn command_and_code(&self) -> String {
        format!("$ hickory {}\nexit {}\n", self.command, self.code.unwrap_or(-1))
    }
}

impl fmt::Display for Output {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.command_and_code())?;
        for (name, text) in [("stdout", &self.stdout), ("stderr", &self.stderr)] {
            for line in text.lines() {
                writeln!(f, "{name}| {line}")?;
            }
        }
        Ok(())
    }
}

/// Runs the command line in the directory of the test data, with only `env` as its
/// environment.
pub fn run(args: &[&str], env: &[(&str, &str)]) -> Output {
    run_on(Stdio::null(), args, env)
}

/// Runs the command line like [`run`], with the given standard input.
pub fn run_on(input: Stdio, args: &[&str], env: &[(&str, &str)]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_hickory"))
        .args(args)
        .env_clear()
        .envs(env.iter().copied())
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data"))
        .stdin(input)
        .output()
        .unwrap();
    Output {
        command: args.join(" "),
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}
