//! Command-line arguments. The doc comments on them are the help texts.

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
    /// Lowest severity of messages that are logged to standard error
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    pub log_level: LogLevel,

    /// Format of the log lines
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,

    /// Connection of the operators' commands
    #[command(flatten)]
    pub connection: ConnectionArguments,

    /// Command to run
    #[command(subcommand)]
    pub command: Command,
}

/// Command to run
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Command {
    /// Run a fleet in one process, with simulated platform services and upstreams
    ///
    /// Listens on loopback ports chosen by the system, prints example requests, and runs until it
    /// is interrupted.
    Demo {
        /// Print one JSON object with all addresses and keys instead of examples
        #[arg(long)]
        json: bool,
    },
    /// Commands for operators
    #[command(flatten)]
    Operator(OperatorCommand),
    /// Run the daemon of one host
    Serve {
        /// YAML file with the daemon's settings
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Print shell completions
    Completions {
        /// Shell to generate completions for
        #[arg(value_enum)]
        shell: Shell,
    },
}

/// Lowest severity of messages that are logged
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(ValueEnum)]
pub enum LogLevel {
    /// No messages
    Off,
    /// Failures that an operator must act on
    Error,
    /// Conditions that an operator should look into
    Warn,
    /// State changes
    Info,
    /// Every step
    Debug,
}

/// Format of the log lines
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(ValueEnum)]
pub enum LogFormat {
    /// Human-readable text
    Text,
    /// One JSON object per line
    Json,
}
