//! The command line. Doc comments are the help texts.

use clap::{Parser, Subcommand};

use crate::load::LoadOptions;
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
    /// Run many daemons on loopback and measure what control costs each
    Slopes(SlopeOptions),
}
