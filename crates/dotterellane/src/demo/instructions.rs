//! Output of the demo: its addresses, its keys and example requests.

use std::fmt::Write as _;

use serde::Serialize;

/// Addresses, keys and names with which a running demo can be used; `demo --json` prints it.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct DemoAccess {
    /// URLs for callers, one per daemon.
    pub entries: Vec<String>,
    /// URL of the administration API and console of the first daemon.
    pub console: String,
    /// Key of an operator with all rights.
    pub operator_key: String,
    /// A key for each team.
    pub teams: Vec<TeamKey>,
    /// Names of the models.
    pub models: Vec<String>,
    /// Names of the adapters.
    pub adapters: Vec<String>,
    /// Names of the services.
    pub services: Vec<String>,
    /// URLs of the simulated runners.
    pub engines: Vec<String>,
}

/// A caller's key for a team.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct TeamKey {
    /// Name of the team.
    pub team: String,
    /// The complete key, including its secret.
    pub key: String,
}

impl DemoAccess {
    /// Returns the addresses and keys, and example requests as shell commands.
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
        line(format!("Operators: {} with key {}", self.console, self.operator_key));
        for team in &self.teams {
            line(format!("Team {} has key {}", team.team, team.key));
        }
        line("\nStream a response from a model that is not loaded yet:\n".to_owned());
        line(chat_command(&entry, &key, &model));
        line("\nThe same with an adapter:\n".to_owned());
        line(chat_command(&entry, &key, &adapter));
        line("\nCall a service that runs each request only once; run this twice:\n".to_owned());
        line(format!(
            "  curl -s {entry}/services/{service}/book -H 'Authorization: Bearer {key}' \
             -H 'Idempotency-Key: booking-1' -d '{{\"coach\": 7}}'"
        ));
        line("\nList the models that the team may use:\n".to_owned());
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
