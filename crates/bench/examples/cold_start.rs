//! Prints the comparison of cold-start policies as a table.

use clap::Parser;
use dotterellane_bench::cold_start::{ColdStartOptions, run};

#[derive(Debug)]
#[derive(Parser)]
struct Arguments {
    #[command(flatten)]
    options: ColdStartOptions,
}

fn main() -> miette::Result<()> {
    println!(
        "{:8} {:>4} {:17} {:>6} {:>5} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>8} {:>5}",
        "fleet",
        "seed",
        "policy",
        "cold",
        "loads",
        "p50",
        "p95",
        "p99",
        "bnd99",
        "ratio",
        "idle_h",
        "opt_h",
        "ratio",
        "weighted",
        "team"
    );
    for row in run(&Arguments::parse().options)? {
        println!(
            "{:8} {:>4} {:17} {:>6} {:>5} {:>6.2} {:>6.2} {:>6.2} {:>6.2} {:>6.2} {:>7.2} {:>7.2} {:>6.2} {:>8.2} {:>5.2}",
            row.fleet,
            row.seed,
            row.policy,
            row.cold_requests,
            row.loads,
            row.cold_start[0],
            row.cold_start[1],
            row.cold_start[2],
            row.bound[2],
            row.p99_over_bound,
            row.idle_hours,
            row.idle_optimum,
            row.idle_over_optimum,
            row.weighted_hours,
            row.worst_team
        );
    }
    Ok(())
}
