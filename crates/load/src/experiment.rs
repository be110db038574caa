//! The experiments by name.

use crate::sheet::Sheet;
use crate::stream_server;
use derive_more::Display;
use eyre::Result;
use std::time::Duration;

/// An experiment.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Name {
    /// A stream of 100 tokens over 2 s through oxhttp's and hyper's servers.
    #[display("stream-server")]
    StreamServer,
}

impl Name {
    /// All experiments.
    pub const ALL: &[Self] = &[Self::StreamServer];

    /// The experiment with the given name.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|name| name.to_string() == text)
    }
}

/// Runs an experiment.
pub fn run_experiment(name: Name, seed: u64) -> Result<Sheet> {
    let mut sheet = Sheet::open(&name.to_string(), seed);
    match name {
        Name::StreamServer => measure_stream_server(&mut sheet)?,
    }
    Ok(sheet.close())
}

fn measure_stream_server(sheet: &mut Sheet) -> Result<()> {
    for arrival in stream_server::measure_servers(100, Duration::from_millis(20))? {
        let server = match arrival.server {
            stream_server::Server::Oxhttp => "oxhttp",
            stream_server::Server::Hyper => "hyper",
        };
        sheet.add(format!("{server} first byte"), arrival.first_byte_ms, "ms");
        sheet.add(format!("{server} first token"), arrival.first_token_ms, "ms");
        sheet.add(format!("{server} end"), arrival.end_ms, "ms");
        sheet.add(format!("{server} reads"), arrival.reads as f64, "");
    }
    sheet.note("100 tokens, one each 20 ms; no seed is used");
    Ok(())
}
