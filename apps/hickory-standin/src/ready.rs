//! The line that a stand-in prints when it is ready.

use hickory_standin::fleet::Fleet;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;

/// The addresses of all stand-ins, by the names under which faults are switched.
#[derive(Debug, Serialize)]
pub(crate) struct Ready {
    /// The fault control server.
    control: SocketAddr,
    /// Addresses of the stand-ins by name.
    addresses: BTreeMap<String, SocketAddr>,
}

impl Ready {
    pub(crate) fn for_standin(name: &str, address: SocketAddr, control: SocketAddr) -> Self {
        Self { control, addresses: [(name.to_owned(), address)].into() }
    }

    pub(crate) fn for_fleet(fleet: &Fleet, control: SocketAddr) -> Self {
        Self { control, addresses: fleet.addresses().into_iter().collect() }
    }

    pub(crate) fn print(&self) -> eyre::Result<()> {
        let mut out = std::io::stdout().lock();
        serde_json::to_writer(&mut out, self)?;
        writeln!(out)?;
        Ok(out.flush()?)
    }
}
