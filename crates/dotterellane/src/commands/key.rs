//! `key`: issues, lists, rotates and withdraws keys.

use dotterellane_admin::wire::{IssueOrder, IssuedAnswer, KeyBody, OperatorOrder, RotateOrder};
use dotterellane_settings::keys::OperatorKey;
use dotterellane_units::OperatorId;
use http::Method;
use miette::IntoDiagnostic;
use serde_json::json;

use super::changes::{change_path, print_outcome, print_progress, print_refusal};
use super::client::{ApiClient, ClientError};
use super::tables::{Table, duration_text, relative_time_text};
use crate::cli::operators::{ConnectionArguments, KeyCommand, RoleArgument};
use crate::exit_codes::ExitCode;

/// Runs a `key` command.
pub async fn run(
    command: &KeyCommand,
    connection: &ConnectionArguments,
) -> miette::Result<ExitCode> {
    if let KeyCommand::Operator { id, offline: true, .. } = command {
        print_offline_key(id);
        return Ok(ExitCode::Success);
    }
    let client = ApiClient::new(connection)?;
    match command {
        KeyCommand::List { json } => list(&client, *json).await,
        KeyCommand::Issue { id, team, expires_at, change } => {
            let (id, team) = (id.to_string(), team.to_string());
            let order = IssueOrder { id, team, expires_at: *expires_at };
            let path = change_path("/v1/keys", change);
            print_issued_key(client.send_json(Method::POST, &path, &order).await)
        }
        KeyCommand::Withdraw { id, change } => {
            let path = change_path(&format!("/v1/keys/{id}/withdraw"), change);
            print_outcome(client.send_json(Method::POST, &path, &json!({})).await)
        }
        KeyCommand::Rotate { id, new_id, overlap, change } => {
            let new_id = new_id.to_string();
            let order = RotateOrder { new_id, overlap_seconds: *overlap, expires_at: None };
            let path = change_path(&format!("/v1/keys/{id}/rotate"), change);
            print_issued_key(client.send_json(Method::POST, &path, &order).await)
        }
        KeyCommand::Operator { id, role, change, .. } => {
            let order = OperatorOrder { role: role_text(*role).to_owned() };
            let path = change_path(&format!("/v1/operators/{id}/key"), change);
            print_issued_key(client.send_json(Method::POST, &path, &order).await)
        }
    }
}

async fn list(client: &ApiClient, json: bool) -> miette::Result<ExitCode> {
    let keys: Vec<KeyBody> = client.get("/v1/keys").await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&keys).into_diagnostic()?);
        return Ok(ExitCode::Success);
    }
    let mut table = Table::new(["KEY", "TEAM", "STATE", "LAST USED"]);
    for key in keys {
        let state = key_state(&key);
        let used = key.used_ago_seconds.map_or("-".to_owned(), |ago| duration_text(ago) + " ago");
        table.add_row([key.id, key.team, state, used]);
    }
    table.print();
    Ok(ExitCode::Success)
}

fn key_state(key: &KeyBody) -> String {
    match (key.withdrawn, key.expires_at) {
        (true, _) => "withdrawn".to_owned(),
        (false, None) => "valid".to_owned(),
        (false, Some(at)) => format!("expires {}", relative_time_text(at)),
    }
}

/// Prints an issued key and the state of the change, or only the change for a dry run. The key is
/// alone on the first line of standard output.
fn print_issued_key(outcome: Result<IssuedAnswer, ClientError>) -> miette::Result<ExitCode> {
    match outcome {
        Ok(IssuedAnswer { change, .. }) if change.dry_run => {
            super::changes::print_change(&change);
            Ok(ExitCode::Success)
        }
        Ok(IssuedAnswer { key, change, .. }) => {
            println!("{key}");
            eprintln!("the key is shown only this once; the fleet stores only its digest");
            print_progress(&change.progress);
            Ok(ExitCode::Success)
        }
        Err(error) => print_refusal(error),
    }
}

/// Prints an operator's key that no host knows yet, and its digest.
fn print_offline_key(id: &OperatorId) {
    let key = OperatorKey::issue(id.clone(), rand::random());
    println!("key: {}", key.expose());
    println!("digest: {}", key.digest());
}

fn role_text(role: RoleArgument) -> &'static str {
    match role {
        RoleArgument::Read => "read",
        RoleArgument::Keys => "keys",
        RoleArgument::All => "all",
    }
}
