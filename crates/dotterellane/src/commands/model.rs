//! `model`: lists, shows and changes models.

use dotterellane_admin::FleetOverview;
use http::Method;
use miette::IntoDiagnostic;
use serde::Serialize;
use serde_json::{Map, Value, json};

use super::changes::{change_path, print_outcome};
use super::client::ApiClient;
use super::status::model_table;
use crate::cli::operators::{ConnectionArguments, ModelCommand, ModelFields};
use crate::exit_codes::ExitCode;

/// Runs a `model` command.
pub async fn run(
    command: &ModelCommand,
    connection: &ConnectionArguments,
) -> miette::Result<ExitCode> {
    let client = ApiClient::new(connection)?;
    match command {
        ModelCommand::List => {
            let overview: FleetOverview = client.get("/v1/overview").await?;
            if overview.models.is_none() {
                eprintln!(
                    "this host does not know the state of the models; `config get` lists them"
                );
            }
            model_table(&overview).print();
            Ok(ExitCode::Success)
        }
        ModelCommand::Show { id } => {
            let model: Value = client.get(&format!("/v1/entries/models/{id}")).await?;
            println!("{}", serde_json::to_string_pretty(&model).into_diagnostic()?);
            Ok(ExitCode::Success)
        }
        ModelCommand::Add { id, fields, change } => {
            let path = change_path(&format!("/v1/entries/models/{id}"), change);
            print_outcome(client.send_json(Method::PUT, &path, &given_fields(fields)).await)
        }
        ModelCommand::Set { id, fields, change } => {
            let path = change_path(&format!("/v1/entries/models/{id}"), change);
            print_outcome(client.send_json(Method::PATCH, &path, &given_fields(fields)).await)
        }
        ModelCommand::Remove { id, change } => {
            let path = change_path(&format!("/v1/entries/models/{id}"), change);
            print_outcome(client.send_json(Method::DELETE, &path, &json!({})).await)
        }
    }
}

/// Returns the fields given on the command line as a JSON object.
fn given_fields(fields: &ModelFields) -> Value {
    let mut given = Map::new();
    add_field(&mut given, "version", fields.version.as_ref());
    add_field(&mut given, "memory", fields.memory);
    add_field(&mut given, "kv_reserve", fields.kv_reserve);
    add_field(&mut given, "slots", fields.slots);
    add_field(&mut given, "max_slots", fields.max_slots);
    add_field(&mut given, "concurrency", fields.concurrency);
    add_field(&mut given, "max_output", fields.max_output);
    add_field(&mut given, "deadline_seconds", fields.deadline_seconds);
    Value::Object(given)
}

fn add_field<T>(given: &mut Map<String, Value>, name: &str, value: Option<T>)
where
    T: Serialize,
{
    if let Some(value) = value {
        given.insert(name.to_owned(), json!(value));
    }
}
