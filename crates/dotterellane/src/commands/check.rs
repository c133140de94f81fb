//! `check` and `config check`: checks files without calling the fleet.

use std::path::Path;

use dotterellane_settings::daemon::read_settings;
use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_settings::read_document;
use miette::Report;

use crate::cli::operators::FileKind;
use crate::exit_codes::ExitCode;
use crate::files::read_file;

/// Checks a file and prints its errors with their line numbers.
pub fn run(file: &Path, kind: FileKind) -> miette::Result<ExitCode> {
    match kind {
        FileKind::Document => check_document(file),
        FileKind::Daemon => check_daemon(file),
    }
}

/// Reads and checks a configuration document. If it is invalid, prints the errors and returns
/// `None`.
pub fn read_valid_document(file: &Path) -> miette::Result<Option<ConfigurationDocument>> {
    let text = read_file(file)?;
    match read_document(&file.display().to_string(), &text) {
        Ok(document) => Ok(Some(document)),
        Err(faults) => {
            anstream::eprintln!("{:?}", Report::new(faults.report()));
            Ok(None)
        }
    }
}

fn check_document(file: &Path) -> miette::Result<ExitCode> {
    let Some(document) = read_valid_document(file)? else {
        return Ok(ExitCode::InvalidInput);
    };
    println!(
        "{}: {} teams, {} keys, {} models, {} adapters, {} services, {} upstreams",
        file.display(),
        document.teams.len(),
        document.keys.len(),
        document.models.len(),
        document.adapters.len(),
        document.services.len(),
        document.upstreams.len(),
    );
    Ok(ExitCode::Success)
}

fn check_daemon(file: &Path) -> miette::Result<ExitCode> {
    match read_settings(&file.display().to_string(), &read_file(file)?) {
        Ok(settings) => {
            println!("{}: settings of {}", file.display(), settings.host);
            Ok(ExitCode::Success)
        }
        Err(error) => {
            anstream::eprintln!("{:?}", Report::new(error));
            Ok(ExitCode::InvalidInput)
        }
    }
}
