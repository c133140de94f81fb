//! The `dotterellane-bench` command.

use std::process::ExitCode;

use clap::Parser;
use dotterellane_bench::cli::{Arguments, Command, PolicyCommand};
use dotterellane_bench::{cold_start, load, output, shares, slopes};
use spdlog::{Level, LevelFilter};

fn main() -> ExitCode {
    // Standard output is for the results; the daemons in this process would log to it as well.
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(Level::Warn));
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: Arguments) -> miette::Result<()> {
    match arguments.command {
        Command::Load(options) => output::print(&load::run(&options)?),
        Command::Policy(PolicyCommand::Shares(options)) => output::print(&shares::run(&options)?),
        Command::Policy(PolicyCommand::ColdStart(options)) => {
            output::print(&cold_start::run(&options)?)
        }
        Command::Slopes(options) => output::print(&slopes::run(&options)?),
    }
}
