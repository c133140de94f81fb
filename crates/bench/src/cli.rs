//! The command line. Doc comments are the help texts.

use clap::{Parser, Subcommand};

use crate::cold_start::ColdStartOptions;
use crate::load::LoadOptions;
use crate::shares::ShareOptions;
use crate::slopes::SlopeOptions;

/// Measures dotterellane; results are printed as JSON
#[derive(Debug)]
#[derive(Parser)]
#[command(name = "dotterellane-bench", version, max_term_width = 98)]
pub struct Arguments {
    /// What to measure
    #[command(subcommand)]
    pub command: Command,
}

/// What to measure
#[derive(Debug)]
#[derive(Subcommand)]
pub enum Command {
    /// Send seeded requests to a running fleet at a fixed rate, whatever it answers
    Load(LoadOptions),
    /// Compare decisions with their baselines over seeded traces
    #[command(subcommand)]
    Policy(PolicyCommand),
    /// Run many daemons on loopback and measure what control costs each
    Slopes(SlopeOptions),
}

/// Which decisions are compared
#[derive(Debug)]
#[derive(Subcommand)]
pub enum PolicyCommand {
    /// Team shares against a static split and one central bucket
    Shares(ShareOptions),
    /// Cold starts and idle hours against fixed keep-alive, never and at once
    ColdStart(ColdStartOptions),
}
