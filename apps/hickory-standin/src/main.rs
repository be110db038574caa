//! Stand-ins for the platform and the targets, as processes.
//!
//! When it is ready, the process prints one line of JSON with its addresses.
//! It ends with status 0 on SIGTERM or SIGINT, with 1 where it can't start,
//! and with 2 on a command line that can't be read.

mod argument;
mod ready;

use argument::{Arguments, Kind};
use clap::Parser;
use hickory_standin::control::Switchboard;
use hickory_standin::fleet::Fleet;
use hickory_standin::{engine, hosts, server, service, store, weights};
use ready::Ready;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hickory-standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> eyre::Result<()> {
    let listen = arguments.listen;
    match &arguments.kind {
        Kind::Store => serve(arguments, "store", store::spawn(listen)?),
        Kind::Hosts(list) => serve(arguments, "hosts", hosts::spawn(listen, list.read()?)?),
        Kind::Weights(limit) => serve(arguments, "weights", weights::spawn(listen, limit.limit())?),
        Kind::Engine(engine) => {
            serve(arguments, "engine", engine::spawn(listen, engine.options())?)
        }
        Kind::Service(replica) => {
            serve(arguments, "service", service::spawn(listen, replica.options())?)
        }
        Kind::Fleet(fleet) => serve_fleet(arguments, Fleet::spawn(fleet.options(listen.ip()))?),
    }
}

fn serve<S: server::Service>(
    arguments: &Arguments,
    name: &str,
    handle: server::Handle<S>,
) -> eyre::Result<()> {
    let mut board = Switchboard::default();
    board.add(name, &handle);
    let control = board.spawn(arguments.control)?;
    stay(&Ready::one(name, handle.address(), control.address()))
}

fn serve_fleet(arguments: &Arguments, fleet: Fleet) -> eyre::Result<()> {
    let control = fleet.switchboard().spawn(arguments.control)?;
    stay(&Ready::fleet(&fleet, control.address()))
}

/// Says where everything listens, and waits for the signal to stop. The
/// signals are taken before that: whoever reads the line may send one at
/// once, and the process would die of it.
fn stay(ready: &Ready) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        ready.print()?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(())
    })
}
