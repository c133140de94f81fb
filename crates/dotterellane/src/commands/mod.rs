//! The operators' commands, which call the administration API.

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

/// Runs an operators' command on a new runtime and blocks until it ends.
///
/// # Errors
/// Fails as [`run`] does, or if no runtime can be created.
pub fn execute(
    command: &OperatorCommand,
    connection: &ConnectionArguments,
) -> miette::Result<ExitCode> {
    let runtime = Runtime::new().into_diagnostic()?;
    runtime.block_on(run(command, connection))
}

/// Runs an operators' command.
///
/// # Errors
/// Fails if the host does not respond or refuses the request, or if the key or a file cannot be
/// read.
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
