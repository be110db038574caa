//! Stand-ins for the platform and the targets, as processes.
//!
//! When it is ready, the process prints one line of JSON with its addresses. It
//! exits with status 0 on SIGTERM or SIGINT, with 1 if it can't start, and with 2
//! if the command line is invalid.

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
        Kind::Weights(store) => serve(arguments, "weights", weights::spawn(listen, store.limit())?),
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
    let mut switchboard = Switchboard::default();
    switchboard.add(name, &handle);
    let control = switchboard.spawn(arguments.control)?;
    run_until_signal(&Ready::for_standin(name, handle.address(), control.address()))
}

fn serve_fleet(arguments: &Arguments, fleet: Fleet) -> eyre::Result<()> {
    let control = fleet.switchboard().spawn(arguments.control)?;
    run_until_signal(&Ready::for_fleet(&fleet, control.address()))
}

/// Prints the addresses and waits for a signal to stop. The signal handlers are
/// installed first: a process that reads the line may send a signal at once, which
/// would kill the process without them.
fn run_until_signal(ready: &Ready) -> eyre::Result<()> {
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
