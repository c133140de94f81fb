//! What the demo prints.

use std::fmt::Write as _;

use serde::Serialize;

/// Addresses and keys of a running demo.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct DemoOutline {
    /// Callers' addresses, one a daemon.
    pub entries: Vec<String>,
    /// Operators' address.
    pub console: String,
    /// Key of the operator.
    pub operator_key: String,
    /// Teams and their keys.
    pub teams: Vec<TeamKey>,
    /// Names of the models.
    pub models: Vec<String>,
    /// Names of the adapters.
    pub adapters: Vec<String>,
    /// Names of the plain services.
    pub services: Vec<String>,
    /// Addresses of the stand-in runners.
    pub engines: Vec<String>,
}

/// A team and its key.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct TeamKey {
    /// Name of the team.
    pub team: String,
    /// Whole key.
    pub key: String,
}

impl DemoOutline {
    /// Returns what to try, as lines that can be pasted into a shell.
    pub fn instructions(&self) -> String {
        let mut text = String::new();
        let first = |list: &[String]| list.first().cloned().unwrap_or_default();
        let entry = first(&self.entries);
        let key = self.teams.first().map(|team| team.key.clone()).unwrap_or_default();
        let model = self.models.get(2).cloned().unwrap_or_default();
        let (adapter, service) = (first(&self.adapters), first(&self.services));
        let mut line = |content: String| {
            let _ = writeln!(text, "{content}");
        };
        line(format!("Daemons listen on {}", self.entries.join(", ")));
        line(format!("Operators' side at {} with key {}", self.console, self.operator_key));
        for team in &self.teams {
            line(format!("Team {} has key {}", team.team, team.key));
        }
        line("\nStream an answer from a model that is idle:\n".to_owned());
        line(chat_command(&entry, &key, &model));
        line("\nThe same with an adapter:\n".to_owned());
        line(chat_command(&entry, &key, &adapter));
        line("\nCall a service that must not run twice, twice:\n".to_owned());
        line(format!(
            "  curl -s {entry}/services/{service}/book -H 'Authorization: Bearer {key}' \
             -H 'Idempotency-Key: booking-1' -d '{{\"coach\": 7}}'"
        ));
        line("\nModels that the team may call:\n".to_owned());
        line(format!("  curl -s {entry}/v1/models -H 'Authorization: Bearer {key}'"));
        line("\nStop with Ctrl-C.".to_owned());
        text
    }
}

fn chat_command(entry: &str, key: &str, model: &str) -> String {
    format!(
        "  curl -sN {entry}/v1/chat/completions -H 'Authorization: Bearer {key}' \
         -H 'Content-Type: application/json' -d '{{\"model\": \"{model}\", \"stream\": true, \
         \"max_tokens\": 24, \"messages\": [{{\"role\": \"user\", \"content\": \
         \"Draft a notice.\"}}]}}'"
    )
}
