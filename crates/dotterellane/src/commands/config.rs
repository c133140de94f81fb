//! `config`: reads and changes the configuration document as a whole.

use std::path::Path;

use dotterellane_admin::wire::{ChangeAnswer, HistoryEntry, ProgressBody};
use dotterellane_settings::difference::text_difference;
use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_settings::read_document;
use http::Method;
use miette::{IntoDiagnostic, WrapErr, miette};

use super::changes::{change_path, print_diff, print_outcome, print_progress, print_refusal};
use super::check::read_valid_document;
use super::client::ApiClient;
use super::tables::{Table, relative_time_text};
use crate::cli::operators::{ChangeArguments, ConfigCommand, ConnectionArguments, FileKind};
use crate::exit_codes::ExitCode;
use crate::files::read_file;

/// Prefix of the first line of a document's file, before the version that it was edited from.
const VERSION_PREFIX: &str = "# version ";

/// Runs a `config` command.
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
        // Handled above, as it needs no connection.
        ConfigCommand::Check { .. } => Ok(ExitCode::Success),
    }
}

async fn get(client: &ApiClient, version: Option<u64>) -> miette::Result<ExitCode> {
    let response = client.get_text(&version_path(version)).await?;
    if let Some(version) = response.version {
        println!("{VERSION_PREFIX}{version}");
    }
    print!("{}", response.text);
    Ok(ExitCode::Success)
}

async fn put(
    client: &ApiClient,
    file: &Path,
    from: Option<u64>,
    change: &ChangeArguments,
) -> miette::Result<ExitCode> {
    if read_valid_document(file)?.is_none() {
        return Ok(ExitCode::InvalidInput);
    }
    let text = read_file(file)?;
    let from = from.or_else(|| source_version(&text)).ok_or_else(|| {
        miette!(
            help = "pass --from VERSION, or start the file with `{VERSION_PREFIX}VERSION`",
            "cannot tell which version {} was edited from",
            file.display()
        )
    })?;
    let path = change_path("/v1/configuration", change);
    print_outcome(client.send_if_match(Method::PUT, &path, from, text).await)
}

async fn diff(client: &ApiClient, older: &str, newer: Option<u64>) -> miette::Result<ExitCode> {
    let (older, newer) = match newer {
        Some(newer) => {
            let older = older.parse().into_diagnostic().wrap_err("invalid older version")?;
            (document_at(client, Some(older)).await?, document_at(client, Some(newer)).await?)
        }
        None => {
            let Some(newer) = read_valid_document(Path::new(older))? else {
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
        table.add_row([version.to_string(), relative_time_text(accepted_at), operator, summary]);
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
    let from = current.version.ok_or_else(|| miette!("the response has no document version"))?;
    let path = change_path(&format!("/v1/configuration/{version}/restore"), change);
    let outcome =
        client.send_if_match::<ChangeAnswer>(Method::POST, &path, from, String::new()).await;
    print_outcome(outcome)
}

async fn progress(client: &ApiClient, version: u64) -> miette::Result<ExitCode> {
    let path = format!("/v1/configuration/{version}/progress");
    match client.get::<ProgressBody>(&path).await {
        Ok(progress) => {
            print_progress(&progress);
            Ok(ExitCode::Success)
        }
        Err(error) => print_refusal(error),
    }
}

async fn document_at(
    client: &ApiClient,
    version: Option<u64>,
) -> miette::Result<ConfigurationDocument> {
    let response = client.get_text(&version_path(version)).await?;
    let document = read_document("the fleet's document", &response.text);
    document.map_err(|faults| faults.report().into())
}

fn version_path(version: Option<u64>) -> String {
    match version {
        Some(version) => format!("/v1/configuration/{version}"),
        None => "/v1/configuration".to_owned(),
    }
}

/// Returns the version in the first line of a document's file.
fn source_version(text: &str) -> Option<u64> {
    text.lines().next()?.strip_prefix(VERSION_PREFIX)?.trim().parse().ok()
}
