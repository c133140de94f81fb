//! `status` and `top`: print the state of the fleet as seen by one host.

use std::fmt::Display;
use std::io::{IsTerminal, stdout};
use std::time::Duration;

use anstream::println;
use anstyle::{AnsiColor, Style};
use dotterellane_admin::FleetOverview;
use dotterellane_admin::overview::{ModelState, TableHealth};
use miette::IntoDiagnostic;
use tokio::time::sleep;

use super::client::ApiClient;
use super::tables::{Table, bar_text, duration_text, gibibytes_text};
use crate::cli::operators::ConnectionArguments;
use crate::exit_codes::ExitCode;

const GOOD: Style = AnsiColor::Green.on_default();
const BAD: Style = AnsiColor::Red.on_default().bold();
const HEADING: Style = Style::new().bold().underline();
const UNKNOWN: &str = "not known";
/// Escape sequence that clears the terminal and moves the cursor to its top left.
const CLEAR_SCREEN: &str = "\x1b[2J\x1b[H";

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

/// Prints the state of the fleet every `interval` seconds, `count` times or without end.
pub async fn watch(
    interval: u64,
    count: Option<u32>,
    connection: &ConnectionArguments,
) -> miette::Result<ExitCode> {
    let client = ApiClient::new(connection)?;
    let mut refreshes = 0;
    loop {
        let overview: FleetOverview = client.get("/v1/overview").await?;
        if stdout().is_terminal() {
            print!("{CLEAR_SCREEN}");
        }
        print_overview(&overview);
        refreshes += 1;
        if count.is_some_and(|count| refreshes >= count) {
            return Ok(ExitCode::Success);
        }
        sleep(Duration::from_secs(interval)).await;
    }
}

/// Returns a table of the teams and their token usage.
pub fn team_table(overview: &FleetOverview) -> Table<6> {
    let mut table =
        Table::new(["TEAM", "USE", "TOKENS/S", "RATE", "LEVEL/BURST", "REFUSED OVER/IN RATE"]);
    for team in &overview.teams {
        table.add_row([
            team.team.clone(),
            bar_text(team.used.unwrap_or_default(), team.rate),
            known_text(team.used.map(|used| format!("{used:.0}"))),
            format!("{:.0}", team.rate),
            format!("{}/{}", known_text(team.level), team.burst),
            format!("{}/{}", known_text(team.refused_over_rate), known_text(team.refused_in_rate)),
        ]);
    }
    table
}

/// Returns a table of the models and their states.
pub fn model_table(overview: &FleetOverview) -> Table<5> {
    let mut table = Table::new(["MODEL", "STATE", "SLOTS", "LOADED ON", "WAITING"]);
    for model in overview.models.iter().flatten() {
        let state = match model.state {
            ModelState::Loaded => "loaded",
            ModelState::Loading => "loading",
            ModelState::Idle => "idle",
        };
        table.add_row([
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
            (Some(false), _) => "silent",
            (_, true) => "leaving",
            (Some(true), false) => "serving",
            (None, false) => UNKNOWN,
        };
        let (used, memory) = (runner.used, runner.memory);
        table.add_row([
            runner.runner.clone(),
            runner.domain.clone(),
            bar_text(used.unwrap_or_default() as f64, memory as f64),
            format!("{}/{}", known_text(used.map(gibibytes_text)), gibibytes_text(memory)),
            known_text(runner.running),
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
        table.add_row([host.host.clone(), host.domain.clone(), state.to_owned()]);
    }
    table
}

fn print_overview(overview: &FleetOverview) {
    print_health(&overview.table);
    match &overview.cold_starts {
        Some(starts) => println!(
            "cold starts: {}, p50 {:.1} s, p95 {:.1} s, p99 {:.1} s",
            starts.count, starts.p50_seconds, starts.p95_seconds, starts.p99_seconds
        ),
        None => println!("cold starts: {UNKNOWN}"),
    }
    println!("refusals: {}", refusals_text(overview));
    print_titled("teams", &team_table(overview));
    match overview.models {
        Some(_) => print_titled("models", &model_table(overview)),
        None => println!("\nmodels: state {UNKNOWN}"),
    }
    print_titled("runners", &runner_table(overview));
    print_titled("hosts", &host_table(overview));
}

fn refusals_text(overview: &FleetOverview) -> String {
    let Some(refusals) = &overview.refusals else { return UNKNOWN.to_owned() };
    let refusals: Vec<String> =
        refusals.iter().map(|refusal| format!("{} {}", refusal.count, refusal.cause)).collect();
    if refusals.is_empty() { "none".to_owned() } else { refusals.join(", ") }
}

/// Formats a value, or `?` if the host does not know it.
fn known_text<T>(value: Option<T>) -> String
where
    T: Display,
{
    value.map_or("?".to_owned(), |value| value.to_string())
}

fn print_titled<const COLUMNS: usize>(title: &str, table: &Table<COLUMNS>) {
    println!("\n{HEADING}{title}{HEADING:#}");
    table.print();
}

fn print_health(table: &TableHealth) {
    let ago = table.answered_ago_seconds.map_or("last answer not known".to_owned(), |ago| {
        format!("answered {} ago", duration_text(ago))
    });
    if table.reachable {
        println!("table: {GOOD}reachable{GOOD:#}, {ago}, {} failures", known_text(table.failures));
    } else {
        println!("table: {BAD}not reachable{BAD:#}, {ago}; no change can be accepted");
    }
}
