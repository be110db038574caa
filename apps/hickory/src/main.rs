//! The operators' command line of hickoryrun.

mod accept;
mod args;
mod check;
mod client;
mod configuration;
mod demo;
mod explain;
mod failure;
mod print;
mod report;
mod show;
mod table;
mod token;
mod zone;

use args::{Args, Check, Command, Config, Release, Token, Zone};
use clap::Parser;
use client::Client;
use failure::Failure;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = Args::parse();
    if let Command::Config(Config::Check(options)) = &args.command {
        return configuration::run(options, args.json);
    }
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            print::print_failure(&failure, args.json);
            ExitCode::from(failure.code())
        }
    }
}

fn run(args: &Args) -> Result<(), Failure> {
    let open = || Client::open(&args.fleet);
    match &args.command {
        Command::Release(Release::Accept { file }) => accept::run(&open()?, file, args.json),
        Command::Release(Release::Find { operation }) => {
            accept::find(&open()?, operation, args.json)
        }
        Command::Release(Release::Show) => show::show_configuration(&open()?, args.json),
        Command::Release(Release::Diff { file }) => accept::diff(&open()?, file, args.json),
        Command::Zone(Zone::Out { zone }) => zone::run(&open()?, zone, true, args.json),
        Command::Zone(Zone::Back { zone }) => zone::run(&open()?, zone, false, args.json),
        Command::Nodes => show::show_nodes(&open()?, args.json),
        Command::Targets => show::show_targets(&open()?, args.json),
        Command::Owners => show::show_owners(&open()?, args.json),
        Command::Drain => show::drain(&open()?, args.json),
        Command::Check(Check::Settings { file }) => check::check_settings(file, args.json),
        Command::Check(Check::Release { file, configuration }) => {
            check::check_release(file, configuration.as_deref(), args.json)
        }
        // Run by `main`, since it has exit codes of its own.
        Command::Config(Config::Check(_)) => Ok(()),
        Command::Explain { request, files } => explain::run(request, files, args.json),
        Command::Report(options) => report::run(options, args.json),
        Command::Token(Token::New) => token::print_new(args.json),
        Command::Token(Token::Digest) => token::print_digest(&args.fleet, args.json),
        Command::Demo(options) => demo::run(options),
    }
}
