//! Options and results of changes, shared by the commands that make them.

use anstream::{eprintln, print, println};
use anstyle::{AnsiColor, Style};
use dotterellane_admin::problem::{ApiProblem, RaceBody};
use dotterellane_admin::wire::{ChangeAnswer, DifferenceBody, ProgressBody};
use http::StatusCode;

use super::client::ClientError;
use crate::cli::operators::ChangeArguments;
use crate::exit_codes::ExitCode;

const ADDED: Style = AnsiColor::Green.on_default();
const REMOVED: Style = AnsiColor::Red.on_default();
const HEADING: Style = Style::new().bold();
const WARNING: Style = AnsiColor::Yellow.on_default().bold();

/// Returns `path` with the options of a change as its query.
pub fn change_path(path: &str, change: &ChangeArguments) -> String {
    let ChangeArguments { dry_run, message, wait } = change;
    let summary = message.as_deref().map(percent_encode).unwrap_or_default();
    format!("{path}?dry_run={dry_run}&wait_seconds={wait}&summary={summary}")
}

/// Prints the result of a change, or why the host refused it.
///
/// # Errors
/// Fails as [`print_refusal`] does.
pub fn print_outcome(outcome: Result<ChangeAnswer, ClientError>) -> miette::Result<ExitCode> {
    match outcome {
        Ok(answer) => {
            print_change(&answer);
            Ok(ExitCode::Success)
        }
        Err(error) => print_refusal(error),
    }
}

/// Prints the details of a refused change and returns the exit code for it.
///
/// # Errors
/// Returns `error` itself if the host did not respond, or refused without giving details.
pub fn print_refusal(error: ClientError) -> miette::Result<ExitCode> {
    match error {
        ClientError::Refused { problem, status } if has_details(&problem) => {
            print_problem(&problem);
            let invalid = status == StatusCode::UNPROCESSABLE_ENTITY;
            Ok(if invalid { ExitCode::InvalidInput } else { ExitCode::GeneralError })
        }
        error => Err(error.into()),
    }
}

/// Prints what a change did, or would do in a dry run.
pub fn print_change(answer: &ChangeAnswer) {
    print_diff(&answer.diff);
    if answer.differences.is_empty() {
        println!("no changes");
    }
    if answer.dry_run {
        println!("dry run against version {}: nothing was changed", answer.progress.version);
    } else {
        print_progress(&answer.progress);
    }
}

/// Prints whether a version is in force and, if not, which hosts have not confirmed it.
pub fn print_progress(progress: &ProgressBody) {
    let ProgressBody { version, in_force, outstanding } = progress;
    if *in_force {
        println!("{ADDED}version {version} is in force{ADDED:#}");
        return;
    }
    println!("{WARNING}version {version} is accepted, not yet in force{WARNING:#}");
    if !outstanding.is_empty() {
        println!("outstanding: {}", outstanding.join(", "));
    }
}

/// Prints a unified diff in colour.
pub fn print_diff(diff: &str) {
    for line in diff.split_inclusive('\n') {
        match line.as_bytes().first() {
            Some(b'+') => print!("{ADDED}{line}{ADDED:#}"),
            Some(b'-') => print!("{REMOVED}{line}{REMOVED:#}"),
            _ => print!("{line}"),
        }
    }
}

fn has_details(problem: &ApiProblem) -> bool {
    !problem.faults.is_empty() || problem.race.is_some() || problem.change.is_some()
}

fn print_problem(problem: &ApiProblem) {
    eprintln!("{REMOVED}error:{REMOVED:#} {}", problem.message);
    for fault in &problem.faults {
        let line = fault.line.map(|line| format!("line {line}: ")).unwrap_or_default();
        eprintln!("  {line}{HEADING}{}{HEADING:#}: {} ({})", fault.path, fault.message, fault.help);
    }
    if let Some(race) = &problem.race {
        print_race(race);
    }
    if let Some(change) = &problem.change {
        eprintln!("the change has id {change}; `config history` shows whether it was made");
    }
    if let Some(seconds) = problem.retry_after_seconds {
        eprintln!("try again after {seconds} s");
    }
}

fn print_race(race: &RaceBody) {
    let RaceBody { expected, current, theirs, mine, conflicts, merged } = race;
    eprintln!("{HEADING}changed by others from {expected} to {current}:{HEADING:#}");
    print_differences(theirs);
    eprintln!("{HEADING}changed by you:{HEADING:#}");
    print_differences(mine);
    if merged.is_some() {
        eprintln!("the changes can be combined: get version {current}, edit it again and put it");
    } else {
        eprintln!("{WARNING}changed by both:{WARNING:#} {}", conflicts.join(", "));
    }
}

fn print_differences(differences: &[DifferenceBody]) {
    for DifferenceBody { path, kind, fields } in differences {
        let fields =
            if fields.is_empty() { String::new() } else { format!(": {}", fields.join(", ")) };
        eprintln!("  {kind} {path}{fields}");
    }
}

/// Escapes a text for use in a query string.
fn percent_encode(text: &str) -> String {
    let encode = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode).collect()
}
