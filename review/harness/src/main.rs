//! Runs one case of the review: `review-harness CASE FOLDER`. Writes `record.txt` into the folder.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0`
//! the disruption is left out.

mod client;
mod crash_part;
mod fleet;
mod long_name;
mod lost_lease;
mod memory;
mod record;
mod refused_part;
mod restored_row;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crash_part::Event;
use record::Record;

/// Longest time that a case may run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended; `None` if it could not run.
type Verdict = Option<bool>;

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new());
    let running = async {
        match case.as_str() {
            "restored-row" => restored_row::run(record.clone(), trouble).await,
            "crash-part" => crash_part::run(record.clone(), Event::KillAll, trouble).await,
            "moved-route" => crash_part::run(record.clone(), Event::RouteMoves, trouble).await,
            "refused-part" => refused_part::run(record.clone(), trouble).await,
            "long-name" => long_name::run(record.clone(), trouble).await,
            "lost-lease" => lost_lease::run(record.clone(), trouble).await,
            "memory" => memory::run(record.clone(), trouble).await,
            _ => None,
        }
    };
    // The processes that the case started end when it is dropped, also if it is told to stop.
    let stopped = async {
        let (mut term, mut int) =
            (signal(SignalKind::terminate()).ok()?, signal(SignalKind::interrupt()).ok()?);
        tokio::select! {
            _ = term.recv() => None,
            _ = int.recv() => None,
        }
    };
    let held = tokio::select! {
        held = tokio::time::timeout(TIME_LIMIT, running) => held.ok().flatten(),
        stopped = stopped => stopped,
    };
    let result = match held {
        Some(true) => "the rule held",
        Some(false) => "the rule was broken",
        None => "the case could not run",
    };
    record.line(&format!("result: {result}"));
    println!("{case}, disruption {trouble}: {result}");
    if let Err(error) = record.write(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("record.txt: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(match held {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    })
}
