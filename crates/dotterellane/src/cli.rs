//! The command line. Doc comments are the help texts.

pub mod operators;

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

use crate::cli::operators::{ConnectionArguments, OperatorCommand};

/// Serves rarely used models that many teams share
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "dotterellane", version, max_term_width = 98)]
pub struct Arguments {
    /// Least severe messages that are logged to standard error
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    pub log_level: LogLevel,

    /// Form of the log lines
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,

    /// How the operators' commands reach the fleet
    #[command(flatten)]
    pub connection: ConnectionArguments,

    /// What to do
    #[command(subcommand)]
    pub command: Command,
}

/// What to do
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Command {
    /// Run a whole fleet in this process, with stand-ins for the platform and the upstreams
    ///
    /// Listens on loopback ports chosen by the system, prints what to try, and runs until it is
    /// interrupted.
    Demo {
        /// Print one JSON object with all addresses and keys instead
        #[arg(long)]
        json: bool,
    },
    /// The operators' commands
    #[command(flatten)]
    Operator(OperatorCommand),
    /// Run one daemon
    Serve {
        /// Settings of the daemon, in YAML
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Print shell completions
    Completions {
        /// Shell that they are for
        #[arg(value_enum)]
        shell: Shell,
    },
}

/// Least severe messages that are logged
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(ValueEnum)]
pub enum LogLevel {
    /// Nothing
    Off,
    /// What an operator must act on
    Error,
    /// What an operator should look at
    Warn,
    /// Changes of state
    Info,
    /// Every step
    Debug,
}

/// Form of the log lines
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(ValueEnum)]
pub enum LogFormat {
    /// For people
    Text,
    /// One JSON object a line
    Json,
}
