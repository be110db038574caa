//! Arguments of the command line.

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Exit codes for scripts, shown below `--help`.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  a local error, such as a file that can't be read
  2  wrong usage
  3  conflict: the configuration has changed; inspect it and write a new note
  4  invalid: all findings are printed, each with file, line and field
  5  no node answered
  6  no token, or not the token of an operator
  7  unknown: the answer was lost and reading the operation back was inconclusive
  8  unavailable: the platform can't be reached, nothing was done
  9  the node refused for another reason, which is printed";

/// Operates a hickoryrun fleet: release notes, zones, nodes and targets.
#[derive(Debug, Parser)]
#[command(name = "hickory", version, after_help = EXIT_CODES)]
pub(crate) struct Args {
    /// The nodes to ask, and the operator's credentials.
    #[command(flatten)]
    pub(crate) fleet: Fleet,

    /// Print JSON instead of text and tables.
    #[arg(long, global = true)]
    pub(crate) json: bool,

    /// The command to run.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The nodes to ask, and the operator's credentials.
#[derive(clap::Args, Debug)]
pub(crate) struct Fleet {
    /// Administration address of a node. If several are given, the next one is
    /// asked when one does not answer.
    #[arg(
        long = "node",
        global = true,
        value_name = "ADDRESS",
        env = "HICKORY_NODES",
        value_delimiter = ','
    )]
    pub(crate) nodes: Vec<SocketAddr>,

    /// File that holds the operator's token. Without it the token is read from
    /// the environment variable HICKORY_TOKEN. All users of a host can read
    /// command-line arguments, so there is no argument for the token itself.
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) token_file: Option<PathBuf>,

    /// Timeout of a call to one node, in milliseconds. A node itself times out
    /// calls to the platform within about five seconds.
    #[arg(long, global = true, value_name = "MS", default_value_t = 8_000,
          value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub(crate) timeout_ms: u64,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Accept, show and compare release notes.
    #[command(subcommand)]
    Release(Release),
    /// Take an availability zone out of service, or bring it back.
    #[command(subcommand)]
    Zone(Zone),
    /// List the nodes known to the asked node.
    Nodes,
    /// List the targets known to the asked node.
    Targets,
    /// List the owner node of each target.
    Owners,
    /// Begin a planned stop of the node given by --node.
    Drain,
    /// Check a file without a fleet, and print every finding.
    #[command(subcommand)]
    Check(Check),
    /// Check a configuration of the platform's format before it is sent.
    #[command(subcommand)]
    Config(Config),
    /// Print the history of a request across all nodes, from their logs: the state
    /// that each decision was based on, and what the nodes learned about the fleet
    /// meanwhile. Unreadable lines are counted and skipped.
    Explain {
        /// The caller's id of the attempt.
        request: String,
        /// Log files; `-` reads standard input.
        #[arg(default_value = "-")]
        files: Vec<PathBuf>,
    },
    /// Summarize the nodes' logs over time: write a page of tables and plots, or
    /// print the same data as JSON. Unreadable lines are counted and skipped.
    Report(Report),
    /// Create operator and account tokens.
    #[command(subcommand)]
    Token(Token),
    /// Run stand-ins and three nodes in this process under a mixed load.
    Demo(Demo),
}

/// Release notes.
#[derive(Debug, Subcommand)]
pub(crate) enum Release {
    /// Send a note. A lost answer is read back by the note's operation id
    /// before the note is sent again, so that it is accepted at most once.
    Accept {
        /// The note, in JSON with comments; `-` reads standard input.
        file: PathBuf,
    },
    /// Show whether an operation was accepted, and as which version.
    Find {
        /// The operation's id.
        operation: String,
    },
    /// Show the configuration in force.
    Show,
    /// Show what a note would change.
    Diff {
        /// The note, in JSON with comments; `-` reads standard input.
        file: PathBuf,
    },
}

/// Availability zones.
#[derive(Debug, Subcommand)]
pub(crate) enum Zone {
    /// Take a zone out of service; it gets no new work.
    Out {
        /// The zone.
        zone: String,
    },
    /// Bring a zone back into service.
    Back {
        /// The zone.
        zone: String,
    },
}

/// Checks of files.
#[derive(Debug, Subcommand)]
pub(crate) enum Check {
    /// Check the settings of a node.
    Settings {
        /// The settings, in JSON with comments; `-` reads standard input.
        file: PathBuf,
    },
    /// Check a release note.
    Release {
        /// The note, in JSON with comments; `-` reads standard input.
        file: PathBuf,
        /// A configuration to check it against, as `release show --json`
        /// prints it. Without one only the note itself is checked.
        #[arg(long, value_name = "FILE")]
        configuration: Option<PathBuf>,
    },
}

/// Configurations in the platform's format.
#[derive(Debug, Subcommand)]
pub(crate) enum Config {
    /// Print every finding, and what differs from the version in force.
    #[command(after_help = CONFIG_EXIT_CODES)]
    Check(ConfigurationFile),
}

/// The exit codes of `config check`.
const CONFIG_EXIT_CODES: &str = "\
Exit codes:
  0  no findings
  1  findings
  2  a file can't be read, is larger than 1 MB or not valid JSON";

/// A configuration to check.
#[derive(clap::Args, Debug)]
pub(crate) struct ConfigurationFile {
    /// The configuration, in JSON; `-` reads standard input.
    pub(crate) file: PathBuf,

    /// The configuration in force. What differs is listed, and is no finding
    /// except for a version that is not higher.
    #[arg(long, value_name = "FILE")]
    pub(crate) against: Option<PathBuf>,

    /// The form of the output. `--json` has the same effect as `--format json`.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub(crate) format: Format,
}

/// A form of output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum Format {
    /// A line for each finding and change.
    Text,
    /// One document.
    Json,
}

/// Options of the report.
#[derive(clap::Args, Debug)]
pub(crate) struct Report {
    /// Log files; `-` reads standard input.
    #[arg(default_value = "-")]
    pub(crate) logs: Vec<PathBuf>,

    /// File to write the page to. Required unless --json is given.
    #[arg(long, value_name = "FILE")]
    pub(crate) out: Option<PathBuf>,

    /// Fail if there is an unreadable line or an unknown field.
    #[arg(long)]
    pub(crate) strict: bool,
}

/// Tokens.
#[derive(Debug, Subcommand)]
pub(crate) enum Token {
    /// Print a new token, and its digest for release notes and settings.
    New,
    /// Print the digest of the token in --token-file or HICKORY_TOKEN.
    Digest,
}

/// Options of the demo.
#[derive(clap::Args, Debug)]
pub(crate) struct Demo {
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}
