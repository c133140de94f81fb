//! The operators' commands, over the administration API.

mod changes;
mod check;
mod client;
mod config;
mod key;
mod model;
mod status;
mod tables;
mod team;

pub use client::{ApiClient, ClientError};

use miette::IntoDiagnostic;
use tokio::runtime::Runtime;

use crate::cli::operators::{ConnectionArguments, OperatorCommand};
use crate::exit_codes::ExitCode;

/// Runs one of the operators' commands on a runtime of its own.
///
/// # Errors
/// Fails if the fleet cannot be reached or refuses what it is asked.
pub fn execute(
    command: &OperatorCommand,
    connection: &ConnectionArguments,
) -> miette::Result<ExitCode> {
    let runtime = Runtime::new().into_diagnostic()?;
    runtime.block_on(run(command, connection))
}

/// Runs one of the operators' commands.
///
/// # Errors
/// Fails if the fleet cannot be reached or refuses what it is asked.
pub async fn run(
    command: &OperatorCommand,
    connection: &ConnectionArguments,
) -> miette::Result<ExitCode> {
    match command {
        OperatorCommand::Check { file, kind } => check::run(file, *kind),
        OperatorCommand::Config(command) => config::run(command, connection).await,
        OperatorCommand::Key(command) => key::run(command, connection).await,
        OperatorCommand::Team(command) => team::run(command, connection).await,
        OperatorCommand::Model(command) => model::run(command, connection).await,
        OperatorCommand::Status { json } => status::run(*json, connection).await,
        OperatorCommand::Top { interval, count } => {
            status::watch(*interval, *count, connection).await
        }
    }
}
