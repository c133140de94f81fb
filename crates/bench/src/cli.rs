//! Command line of the bench. The doc comments are its help texts.

use clap::{Parser, Subcommand};

use crate::cold_start::ColdStartOptions;
use crate::load::LoadOptions;
use crate::shares::ShareOptions;
use crate::slopes::SlopeOptions;

/// Measure dotterellane and print the results as JSON
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "dotterellane-bench", version, max_term_width = 98)]
pub struct Arguments {
    /// Measurement to run
    #[command(subcommand)]
    pub command: Command,
}

/// Measurements
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Command {
    /// Send seeded requests to a running fleet at a fixed rate, however it responds
    Load(LoadOptions),
    /// Compare policies with their baselines in a simulation of seeded traces
    #[command(subcommand)]
    Policy(PolicyCommand),
    /// Run many daemons on loopback and measure the cost of the control plane for each
    Slopes(SlopeOptions),
}

/// Policies that can be compared
#[derive(Debug)]
#[derive(Subcommand)]
pub enum PolicyCommand {
    /// Compare share ledgers with a static split of team rates and with one central bucket
    Shares(ShareOptions),
    /// Compare adaptive keep-alive of models with fixed, unlimited and no keep-alive
    ColdStart(ColdStartOptions),
}
