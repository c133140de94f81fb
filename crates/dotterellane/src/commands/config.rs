//! `config`: the document as a whole.

use std::path::Path;

use dotterellane_admin::wire::{ChangeAnswer, HistoryEntry, ProgressBody};
use dotterellane_settings::difference::text_difference;
use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_settings::read_document;
use http::Method;
use miette::{IntoDiagnostic, WrapErr, miette};

use super::changes::{change_path, print_diff, print_progress, refuse, report};
use super::check::read_checked;
use super::client::ApiClient;
use super::tables::{Table, age_text};
use crate::cli::operators::{ChangeArguments, ConfigCommand, ConnectionArguments, FileKind};
use crate::exit_codes::ExitCode;
use crate::files::read_file;

/// Starts the line that names the version which a file was made from.
const VERSION_LINE: &str = "# version ";

/// Runs a command on the document.
pub async fn run(
    command: &ConfigCommand,
    connection: &ConnectionArguments,
) -> miette::Result<ExitCode> {
    if let ConfigCommand::Check { file } = command {
        return super::check::run(file, FileKind::Document);
    }
    let client = ApiClient::new(connection)?;
    match command {
        ConfigCommand::Get { version } => get(&client, *version).await,
        ConfigCommand::Put { file, from, change } => put(&client, file, *from, change).await,
        ConfigCommand::Diff { older, newer } => diff(&client, older, *newer).await,
        ConfigCommand::History { limit } => history(&client, *limit).await,
        ConfigCommand::Restore { version, change } => restore(&client, *version, change).await,
        ConfigCommand::Progress { version } => progress(&client, *version).await,
        ConfigCommand::Check { .. } => Ok(ExitCode::Success),
    }
}

async fn get(client: &ApiClient, version: Option<u64>) -> miette::Result<ExitCode> {
    let answer = client.get_text(&version_path(version)).await?;
    if let Some(version) = answer.version {
        println!("{VERSION_LINE}{version}");
    }
    print!("{}", answer.text);
    Ok(ExitCode::Success)
}

async fn put(
    client: &ApiClient,
    file: &Path,
    from: Option<u64>,
    change: &ChangeArguments,
) -> miette::Result<ExitCode> {
    if read_checked(file)?.is_none() {
        return Ok(ExitCode::InvalidInput);
    }
    let text = read_file(file)?;
    let from = from.or_else(|| version_of(&text)).ok_or_else(|| {
        miette!(
            help = "give --from VERSION, or start the file with `{VERSION_LINE}VERSION`",
            "it is not known which version {} was made from",
            file.display()
        )
    })?;
    let path = change_path("/v1/configuration", change);
    report(client.send_from(Method::PUT, &path, from, text).await)
}

async fn diff(client: &ApiClient, older: &str, newer: Option<u64>) -> miette::Result<ExitCode> {
    let (older, newer) = match newer {
        Some(newer) => {
            let older = older.parse().into_diagnostic().wrap_err("the older version")?;
            (document_at(client, Some(older)).await?, document_at(client, Some(newer)).await?)
        }
        None => {
            let Some(newer) = read_checked(Path::new(older))? else {
                return Ok(ExitCode::InvalidInput);
            };
            (document_at(client, None).await?, newer)
        }
    };
    print_diff(&text_difference(&older, &newer));
    Ok(ExitCode::Success)
}

async fn history(client: &ApiClient, limit: u32) -> miette::Result<ExitCode> {
    let entries: Vec<HistoryEntry> = client.get(&format!("/v1/history?limit={limit}")).await?;
    let mut table = Table::new(["VERSION", "AGO", "OPERATOR", "SUMMARY"]);
    for HistoryEntry { version, operator, summary, accepted_at, .. } in entries {
        table.row([version.to_string(), age_text(accepted_at), operator, summary]);
    }
    table.print();
    Ok(ExitCode::Success)
}

async fn restore(
    client: &ApiClient,
    version: u64,
    change: &ChangeArguments,
) -> miette::Result<ExitCode> {
    let current = client.get_text(&version_path(None)).await?;
    let from = current.version.ok_or_else(|| miette!("the host did not tell its version"))?;
    let path = change_path(&format!("/v1/configuration/{version}/restore"), change);
    let outcome = client.send_from::<ChangeAnswer>(Method::POST, &path, from, String::new()).await;
    report(outcome)
}

async fn progress(client: &ApiClient, version: u64) -> miette::Result<ExitCode> {
    let path = format!("/v1/configuration/{version}/progress");
    match client.get::<ProgressBody>(&path).await {
        Ok(progress) => {
            print_progress(&progress);
            Ok(ExitCode::Success)
        }
        Err(error) => refuse(error),
    }
}

async fn document_at(
    client: &ApiClient,
    version: Option<u64>,
) -> miette::Result<ConfigurationDocument> {
    let answer = client.get_text(&version_path(version)).await?;
    let read = read_document("the fleet's document", &answer.text);
    read.map_err(|faults| faults.report().into())
}

fn version_path(version: Option<u64>) -> String {
    match version {
        Some(version) => format!("/v1/configuration/{version}"),
        None => "/v1/configuration".to_owned(),
    }
}

fn version_of(text: &str) -> Option<u64> {
    text.lines().next()?.strip_prefix(VERSION_LINE)?.trim().parse().ok()
}
