//! The `dotterellane` program: the daemon, the demo and the operators' commands.

use std::process;

use clap::{CommandFactory, Parser};
use dotterellane::cli::{Arguments, Command};
use dotterellane::exit_codes::ExitCode;
use dotterellane::{commands, demo, logging, serve};

fn main() -> process::ExitCode {
    match run(&Arguments::parse()) {
        Ok(code) => code.into(),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::GeneralError.into()
        }
    }
}

fn run(arguments: &Arguments) -> miette::Result<ExitCode> {
    logging::init(arguments.log_level, arguments.log_format)?;
    match &arguments.command {
        Command::Demo { json } => demo::run(*json),
        Command::Serve { settings } => serve::run(settings),
        Command::Operator(command) => commands::execute(command, &arguments.connection),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(*shell, &mut command, "dotterellane", &mut std::io::stdout());
            Ok(ExitCode::Success)
        }
    }
}
