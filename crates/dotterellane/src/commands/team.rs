//! `team`: lists and changes teams.

use dotterellane_admin::FleetOverview;
use http::Method;
use serde_json::{Map, Value, json};

use super::changes::{change_path, print_outcome};
use super::client::ApiClient;
use super::status::team_table;
use crate::cli::operators::{ConnectionArguments, TeamCommand};
use crate::exit_codes::ExitCode;

/// Runs a `team` command.
pub async fn run(
    command: &TeamCommand,
    connection: &ConnectionArguments,
) -> miette::Result<ExitCode> {
    let client = ApiClient::new(connection)?;
    match command {
        TeamCommand::List => {
            let overview: FleetOverview = client.get("/v1/overview").await?;
            team_table(&overview).print();
            Ok(ExitCode::Success)
        }
        TeamCommand::Add { id, rate, burst, change } => {
            let path = change_path(&format!("/v1/entries/teams/{id}"), change);
            let fields = json!({"rate": rate, "burst": burst});
            print_outcome(client.send_json(Method::PUT, &path, &fields).await)
        }
        TeamCommand::Set { id, rate, burst, change } => {
            let mut fields = Map::new();
            fields.extend(rate.map(|rate| ("rate".to_owned(), json!(rate))));
            fields.extend(burst.map(|burst| ("burst".to_owned(), json!(burst))));
            let path = change_path(&format!("/v1/entries/teams/{id}"), change);
            print_outcome(client.send_json(Method::PATCH, &path, &Value::Object(fields)).await)
        }
        TeamCommand::Remove { id, change } => {
            let path = change_path(&format!("/v1/entries/teams/{id}"), change);
            print_outcome(client.send_json(Method::DELETE, &path, &json!({})).await)
        }
    }
}
