//! `model`: models that runners may load.

use dotterellane_admin::FleetOverview;
use http::Method;
use miette::IntoDiagnostic;
use serde::Serialize;
use serde_json::{Map, Value, json};

use super::changes::{change_path, report};
use super::client::ApiClient;
use super::status::model_table;
use crate::cli::operators::{ConnectionArguments, ModelCommand, ModelFields};
use crate::exit_codes::ExitCode;

/// Runs a command on models.
pub async fn run(
    command: &ModelCommand,
    connection: &ConnectionArguments,
) -> miette::Result<ExitCode> {
    let client = ApiClient::new(connection)?;
    match command {
        ModelCommand::List => {
            let overview: FleetOverview = client.get("/v1/overview").await?;
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
            report(client.order(Method::PUT, &path, &plain_fields(fields)).await)
        }
        ModelCommand::Set { id, fields, change } => {
            let path = change_path(&format!("/v1/entries/models/{id}"), change);
            report(client.order(Method::PATCH, &path, &plain_fields(fields)).await)
        }
        ModelCommand::Remove { id, change } => {
            let path = change_path(&format!("/v1/entries/models/{id}"), change);
            report(client.order(Method::DELETE, &path, &json!({})).await)
        }
    }
}

/// Returns the fields that were given.
fn plain_fields(fields: &ModelFields) -> Value {
    let mut plain = Map::new();
    add_field(&mut plain, "version", fields.version.as_ref());
    add_field(&mut plain, "memory", fields.memory);
    add_field(&mut plain, "kv_reserve", fields.kv_reserve);
    add_field(&mut plain, "slots", fields.slots);
    add_field(&mut plain, "max_slots", fields.max_slots);
    add_field(&mut plain, "concurrency", fields.concurrency);
    add_field(&mut plain, "max_output", fields.max_output);
    add_field(&mut plain, "deadline_seconds", fields.deadline_seconds);
    Value::Object(plain)
}

fn add_field<T>(plain: &mut Map<String, Value>, name: &str, value: Option<T>)
where
    T: Serialize,
{
    if let Some(value) = value {
        plain.insert(name.to_owned(), json!(value));
    }
}
