//! What the command line takes.

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What scripts need to know, below `--help`.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  a local fault, as a file that can't be read
  2  wrong usage
  3  conflict: the configuration has changed; look at it and write the note anew
  4  invalid: all findings are printed, each with file, line and field
  5  no node answered
  6  no token, or one that is no operator's
  7  unknown: the answer was lost and reading back did not settle it
  8  unavailable: the platform can't be reached, nothing was done
  9  the node refused for another reason, which is printed";

/// Operates a hickoryrun fleet: release notes, zones, nodes and targets.
#[derive(Debug, Parser)]
#[command(name = "hickory", version, after_help = EXIT_CODES)]
pub(crate) struct Args {
    /// Which nodes to ask, and as whom.
    #[command(flatten)]
    pub(crate) fleet: Fleet,

    /// Print JSON in place of text and tables.
    #[arg(long, global = true)]
    pub(crate) json: bool,

    /// What to do.
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// Which nodes to ask, and as whom.
#[derive(clap::Args, Debug)]
pub(crate) struct Fleet {
    /// Administration address of a node. Give several: the next one is asked
    /// when one does not answer.
    #[arg(
        long = "node",
        global = true,
        value_name = "ADDRESS",
        env = "HICKORY_NODES",
        value_delimiter = ','
    )]
    pub(crate) nodes: Vec<SocketAddr>,

    /// File that holds the operator's token. Without it the token is taken
    /// from the variable HICKORY_TOKEN; arguments can be read by all users of
    /// a host, so that there is none for the token itself.
    #[arg(long, global = true, value_name = "FILE")]
    pub(crate) token_file: Option<PathBuf>,

    /// Time that one node has to answer, in milliseconds. A node gives up on
    /// the platform within some five seconds.
    #[arg(long, global = true, value_name = "MS", default_value_t = 8_000,
          value_parser = clap::value_parser!(u64).range(1..=600_000))]
    pub(crate) timeout_ms: u64,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Accept, show and compare release notes.
    #[command(subcommand)]
    Release(Release),
    /// Take an availability zone out of service, and bring it back.
    #[command(subcommand)]
    Zone(Zone),
    /// List the nodes, as the asked node knows them.
    Nodes,
    /// List the targets, as the asked node knows them.
    Targets,
    /// List which node owns which target.
    Owners,
    /// Begin a planned stop of the one node that --node names.
    Drain,
    /// Check a file without a fleet; prints every finding.
    #[command(subcommand)]
    Check(Check),
    /// Print the course of a request over all nodes, from their logs: what each
    /// decision knew, and what the nodes came to believe meanwhile. Lines that
    /// can't be read are counted and passed over.
    Explain {
        /// The caller's id of its attempt.
        request: String,
        /// Log files; `-` is standard input.
        #[arg(default_value = "-")]
        files: Vec<PathBuf>,
    },
    /// Sum up the nodes' logs over time: write a page of tables and plots, or
    /// print the same as JSON. Lines that can't be read are counted and passed
    /// over.
    Report(Report),
    /// Make operator and account tokens.
    #[command(subcommand)]
    Token(Token),
    /// Run stand-ins and three nodes in this process, with a mixed load.
    Demo(Demo),
}

/// Release notes.
#[derive(Debug, Subcommand)]
pub(crate) enum Release {
    /// Send a note. A lost answer is read back by the note's operation id
    /// before the note is sent again, so that it is accepted at most once.
    Accept {
        /// The note, in JSON with comments; - reads standard input.
        file: PathBuf,
    },
    /// Say whether an operation was accepted, and as which version.
    Find {
        /// The operation's id.
        operation: String,
    },
    /// Show the configuration in force.
    Show,
    /// Show what a note would change.
    Diff {
        /// The note, in JSON with comments; - reads standard input.
        file: PathBuf,
    },
}

/// Availability zones.
#[derive(Debug, Subcommand)]
pub(crate) enum Zone {
    /// Take a zone out of service: it gets no new work.
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
        /// The settings, in JSON with comments; - reads standard input.
        file: PathBuf,
    },
    /// Check a release note.
    Release {
        /// The note, in JSON with comments; - reads standard input.
        file: PathBuf,
        /// A configuration to check it against, as `release show --json`
        /// prints it. Without one only the note itself is checked.
        #[arg(long, value_name = "FILE")]
        configuration: Option<PathBuf>,
    },
}

/// Options of the report.
#[derive(clap::Args, Debug)]
pub(crate) struct Report {
    /// Log files; `-` is standard input.
    #[arg(default_value = "-")]
    pub(crate) logs: Vec<PathBuf>,

    /// Where the page goes. Needed unless --json is given.
    #[arg(long, value_name = "FILE")]
    pub(crate) out: Option<PathBuf>,

    /// End with a failure at a line that can't be read and at an unknown field.
    #[arg(long)]
    pub(crate) strict: bool,
}

/// Tokens.
#[derive(Debug, Subcommand)]
pub(crate) enum Token {
    /// Print a new token, and the digest that goes into notes and settings.
    New,
    /// Print the digest of the token that --token-file or HICKORY_TOKEN holds.
    Digest,
}

/// Options of the demo.
#[derive(clap::Args, Debug)]
pub(crate) struct Demo {
    /// Seed of the load.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}
