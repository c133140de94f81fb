//! `status` and `top`: the state of the fleet as one host sees it.

use std::io::{IsTerminal, stdout};
use std::time::Duration;

use anstream::println;
use anstyle::{AnsiColor, Style};
use dotterellane_admin::FleetOverview;
use dotterellane_admin::overview::{ModelState, TableHealth};
use miette::IntoDiagnostic;
use tokio::time::sleep;

use super::client::ApiClient;
use super::tables::{Table, bar_text, gibibytes_text, span_text};
use crate::cli::operators::ConnectionArguments;
use crate::exit_codes::ExitCode;

const GOOD: Style = AnsiColor::Green.on_default();
const BAD: Style = AnsiColor::Red.on_default().bold();
const HEADING: Style = Style::new().bold().underline();
/// Clears the terminal and puts the cursor at its top.
const CLEAR: &str = "\x1b[2J\x1b[H";

/// Prints the state of the fleet once.
pub async fn run(json: bool, connection: &ConnectionArguments) -> miette::Result<ExitCode> {
    let client = ApiClient::new(connection)?;
    let overview: FleetOverview = client.get("/v1/overview").await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&overview).into_diagnostic()?);
    } else {
        print_overview(&overview);
    }
    Ok(ExitCode::Success)
}

/// Prints the state of the fleet again and again.
pub async fn watch(
    interval: u64,
    count: Option<u32>,
    connection: &ConnectionArguments,
) -> miette::Result<ExitCode> {
    let client = ApiClient::new(connection)?;
    let mut looks = 0;
    loop {
        let overview: FleetOverview = client.get("/v1/overview").await?;
        if stdout().is_terminal() {
            print!("{CLEAR}");
        }
        print_overview(&overview);
        looks += 1;
        if count.is_some_and(|count| looks >= count) {
            return Ok(ExitCode::Success);
        }
        sleep(Duration::from_secs(interval)).await;
    }
}

/// Returns the teams with their use.
pub fn team_table(overview: &FleetOverview) -> Table<6> {
    let mut table =
        Table::new(["TEAM", "USE", "TOKENS/S", "RATE", "LEVEL/BURST", "REFUSED OVER/IN RATE"]);
    for team in &overview.teams {
        table.row([
            team.team.clone(),
            bar_text(team.used, team.rate),
            format!("{:.0}", team.used),
            format!("{:.0}", team.rate),
            format!("{}/{}", team.level, team.burst),
            format!("{}/{}", team.refused_over_rate, team.refused_in_rate),
        ]);
    }
    table
}

/// Returns the models with their state.
pub fn model_table(overview: &FleetOverview) -> Table<5> {
    let mut table = Table::new(["MODEL", "STATE", "SLOTS", "LOADED ON", "WAITING"]);
    for model in &overview.models {
        let state = match model.state {
            ModelState::Loaded => "loaded",
            ModelState::Loading => "loading",
            ModelState::Idle => "idle",
        };
        table.row([
            model.model.clone(),
            state.to_owned(),
            model.decided.to_string(),
            model.loaded_on.join(" "),
            model.waiting.to_string(),
        ]);
    }
    table
}

fn runner_table(overview: &FleetOverview) -> Table<6> {
    let mut table = Table::new(["RUNNER", "DOMAIN", "MEMORY", "GIB USED/ALL", "RUNNING", "STATE"]);
    for runner in &overview.runners {
        let state = match (runner.answers, runner.leaving) {
            (false, _) => "silent",
            (true, true) => "leaving",
            (true, false) => "serving",
        };
        let (used, memory) = (runner.used, runner.memory);
        table.row([
            runner.runner.clone(),
            runner.domain.clone(),
            bar_text(used as f64, memory as f64),
            format!("{}/{}", gibibytes_text(used), gibibytes_text(memory)),
            runner.running.to_string(),
            state.to_owned(),
        ]);
    }
    table
}

fn host_table(overview: &FleetOverview) -> Table<3> {
    let mut table = Table::new(["HOST", "DOMAIN", "STATE"]);
    for host in &overview.hosts {
        let state = match (host.alive, host.leaving) {
            (false, _) => "silent",
            (true, true) => "leaving",
            (true, false) => "serving",
        };
        table.row([host.host.clone(), host.domain.clone(), state.to_owned()]);
    }
    table
}

fn print_overview(overview: &FleetOverview) {
    print_health(&overview.table);
    let cold = &overview.cold_starts;
    println!(
        "cold starts: {}, p50 {:.1} s, p95 {:.1} s, p99 {:.1} s",
        cold.count, cold.p50_seconds, cold.p95_seconds, cold.p99_seconds
    );
    let refusals =
        overview.refusals.iter().map(|refusal| format!("{} {}", refusal.count, refusal.cause));
    let refusals: Vec<String> = refusals.collect();
    let refusals = if refusals.is_empty() { "none".to_owned() } else { refusals.join(", ") };
    println!("refusals: {refusals}");
    print_titled("teams", &team_table(overview));
    print_titled("models", &model_table(overview));
    print_titled("runners", &runner_table(overview));
    print_titled("hosts", &host_table(overview));
}

fn print_titled<const COLUMNS: usize>(title: &str, table: &Table<COLUMNS>) {
    println!("\n{HEADING}{title}{HEADING:#}");
    table.print();
}

fn print_health(table: &TableHealth) {
    let ago = table
        .answered_ago_seconds
        .map_or("never answered".to_owned(), |ago| format!("answered {} ago", span_text(ago)));
    if table.reachable {
        println!("table: {GOOD}reachable{GOOD:#}, {ago}, {} failures", table.failures);
    } else {
        println!("table: {BAD}not reachable{BAD:#}, {ago}; no change can be accepted");
    }
}
