//! Runs one case of the second independent review against the project's daemons.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod fleet;
mod lease_case;
mod restored_case;
mod stale_case;
mod store;
mod upgrade_case;
mod version_case;

use std::process::ExitCode;

use crate::fleet::Record;

/// Whether the rule held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Held {
    Yes,
    No,
}

/// What came of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Judged(Held),
    CouldNotRun,
}

#[tokio::main]
async fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = std::env::args().nth(1).unwrap_or_default();
    let Ok(record) = Record::create() else { return ExitCode::from(2) };
    record.note(&format!(
        "case {case}, {}",
        if trouble { "with trouble" } else { "without trouble" }
    ));
    let outcome = match case.as_str() {
        "lease" => lease_case::run(&record, trouble).await,
        "stale" => stale_case::run(&record, trouble).await,
        "restored" => restored_case::run(&record, trouble).await,
        "upgrade" => upgrade_case::run(&record, trouble).await,
        "versions" => version_case::run(&record, trouble).await,
        _ => Ok(Outcome::CouldNotRun),
    };
    let code = match outcome {
        Ok(Outcome::Judged(Held::Yes)) => 0,
        Ok(Outcome::Judged(Held::No)) => 1,
        Ok(Outcome::CouldNotRun) => 2,
        Err(error) => {
            record.note(&format!("could not run: {error}"));
            2
        }
    };
    record.note(&format!("exit code {code}"));
    record.write();
    ExitCode::from(code)
}
