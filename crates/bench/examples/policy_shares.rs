//! Prints how ledgers of team shares compare with their baselines.

use clap::Parser;
use dotterellane_bench::{output, shares};

/// Compares ledgers of team shares with their baselines
#[derive(Debug)]
#[derive(Parser)]
struct Arguments {
    #[command(flatten)]
    options: shares::ShareOptions,
}

fn main() -> miette::Result<()> {
    output::print(&shares::run(&Arguments::parse().options)?)
}
