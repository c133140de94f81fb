//! Validation rules of a document, in particular those that relate several entries.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::time::Duration;

use dotterellane_units::{ByteSize, TeamId, TokenCount};

use crate::document::{
    CallerScope, ConfigurationDocument, ModelEntry, OperatorRole, RunnerEntry, UpstreamRole,
};
use crate::fault::DocumentFault;
use crate::keys::is_digest;

/// Maximum number of entries of a section.
pub const MAX_ENTRIES: usize = 20_000;
/// Maximum number of slots of a model.
pub const MAX_MODEL_SLOTS: u32 = 1_024;
/// Maximum deadline of a request or call.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3_600);
/// Maximum request body size that a service may allow.
pub const MAX_BODY_BOUND: ByteSize = ByteSize::mebibytes(64);

const DIGEST_HELP: &str = "64 lower-case hex digits, as `key issue` prints them";

/// Names of entries by section, including entries that are left out of the parsed document because
/// they are faulty. A reference to such an entry is not reported as a second fault.
#[derive(Debug, Default)]
pub(crate) struct DeclaredNames(BTreeMap<String, BTreeSet<String>>);

impl DeclaredNames {
    /// Collects the names of the entries of a document.
    pub fn of(document: &ConfigurationDocument) -> Self {
        let mut names = Self::default();
        names.extend("teams", document.teams.keys());
        names.extend("models", document.models.keys());
        names.extend("adapters", document.adapters.keys());
        names.extend("services", document.services.keys());
        names
    }

    /// Adds the name of an entry of `section`.
    pub fn insert(&mut self, section: &str, name: &str) {
        self.0.entry(section.to_owned()).or_default().insert(name.to_owned());
    }

    fn extend<I, N>(&mut self, section: &str, names: I)
    where
        I: IntoIterator<Item = N>,
        N: Display,
    {
        for name in names {
            self.insert(section, &name.to_string());
        }
    }

    fn contains(&self, section: &str, name: &str) -> bool {
        self.0.get(section).is_some_and(|names| names.contains(name))
    }
}

/// Returns all violations of the rules within one document.
pub(crate) fn check_rules(
    document: &ConfigurationDocument,
    names: &DeclaredNames,
) -> Vec<DocumentFault> {
    let mut checker = RuleChecker { document, names, faults: Vec::new() };
    checker.check_counts();
    checker.check_teams();
    checker.check_keys();
    checker.check_operators();
    checker.check_models();
    checker.check_adapters();
    checker.check_services();
    checker.check_upstreams();
    checker.faults
}

/// Returns all violations of the rules on the change from one document to the next.
pub(crate) fn check_change(
    older: &ConfigurationDocument,
    newer: &ConfigurationDocument,
) -> Vec<DocumentFault> {
    let revived = newer.keys.iter().filter(|(id, key)| {
        let old_key = older.keys.get(*id);
        old_key.is_some_and(|old_key| old_key.withdrawn && !key.withdrawn)
    });
    let help = "keep `withdrawn: true`, or issue a new key under another id";
    let fault = |id| {
        DocumentFault::new(
            format!("keys.{id}.withdrawn"),
            "a withdrawn key cannot be reinstated",
            help,
        )
    };
    revived.map(|(id, _)| fault(id)).collect()
}

/// Checks the rules section by section and collects the violations.
struct RuleChecker<'a> {
    document: &'a ConfigurationDocument,
    names: &'a DeclaredNames,
    faults: Vec<DocumentFault>,
}

impl RuleChecker<'_> {
    fn add_fault<M, H>(&mut self, path: String, message: M, help: H)
    where
        M: Into<String>,
        H: Into<String>,
    {
        self.faults.push(DocumentFault::new(path, message, help));
    }

    fn require<M, H>(&mut self, valid: bool, path: String, message: M, help: H)
    where
        M: Into<String>,
        H: Into<String>,
    {
        if !valid {
            self.add_fault(path, message, help);
        }
    }

    /// Requires that `section` has an entry `name`.
    fn require_entry(&mut self, path: String, section: &str, name: &str) {
        if self.names.contains(section, name) {
            return;
        }
        let help = match self.names.0.get(section) {
            Some(known) => format!("{section} are {}", first_names(known)),
            None => format!("add it to {section}"),
        };
        self.add_fault(path, format!("{name:?} is not in {section}"), help);
    }

    fn check_counts(&mut self) {
        let document = self.document;
        let counts = [
            ("teams", document.teams.len()),
            ("keys", document.keys.len()),
            ("operators", document.operators.len()),
            ("models", document.models.len()),
            ("adapters", document.adapters.len()),
            ("services", document.services.len()),
            ("upstreams", document.upstreams.len()),
        ];
        for (section, count) in counts {
            let message = format!("{count} entries");
            let help = format!("at most {MAX_ENTRIES}");
            self.require(count <= MAX_ENTRIES, section.to_owned(), message, help);
        }
    }

    fn check_teams(&mut self) {
        for (id, team) in &self.document.teams {
            let path = |field| format!("teams.{id}.{field}");
            let rate = team.rate.milli_tokens();
            self.require(rate > 0, path("rate"), "the rate is zero", "a rate above 0/s");
            self.check_team_burst(id, team.burst);
        }
    }

    /// Requires that the burst of a team covers its largest request: `max_output` of any model that
    /// it may call plus one prompt token, or the cost of any service that it may call.
    fn check_team_burst(&mut self, id: &TeamId, burst: TokenCount) {
        let callable = self.document.models.iter().filter(|(_, model)| model.callers.allows(id));
        let largest = callable.max_by_key(|(_, model)| model.max_output);
        if let Some((model_id, model)) = largest
            && burst <= model.max_output
        {
            let path = format!("teams.{id}.burst");
            let output = model.max_output;
            let message =
                format!("{burst} tokens do not cover {model_id}'s max_output of {output}");
            self.add_fault(path, message, format!("more than {output}, with room for the prompt"));
        }
        let costliest =
            self.document.services.iter().filter(|(_, service)| service.callers.allows(id));
        let costliest = costliest.max_by_key(|(_, service)| service.cost);
        if let Some((service_id, service)) = costliest
            && burst < service.cost
        {
            let path = format!("teams.{id}.burst");
            let message = format!("{burst} tokens do not cover one call of {service_id}");
            self.add_fault(path, message, format!("at least its cost of {}", service.cost));
        }
    }

    fn check_keys(&mut self) {
        let mut owners = BTreeMap::new();
        for (id, key) in &self.document.keys {
            self.require_entry(format!("keys.{id}.team"), "teams", key.team.as_str());
            let path = format!("keys.{id}.digest");
            self.require(is_digest(&key.digest), path.clone(), "not a BLAKE3 digest", DIGEST_HELP);
            if let Some(other) = owners.insert(&key.digest, id) {
                let message = format!("same digest as key {other}");
                self.add_fault(path, message, "each key needs its own digest");
            }
        }
    }

    fn check_operators(&mut self) {
        let operators = &self.document.operators;
        for (id, operator) in operators {
            let path = format!("operators.{id}.digest");
            self.require(is_digest(&operator.digest), path, "not a BLAKE3 digest", DIGEST_HELP);
        }
        let locked_out = operators.values().all(|operator| operator.role != OperatorRole::All);
        if !operators.is_empty() && locked_out {
            let help = "give one operator the role all, or nobody can change the document";
            self.add_fault("operators".to_owned(), "no operator has the role all", help);
        }
    }

    fn check_models(&mut self) {
        let largest = self.largest_runner();
        for (id, model) in &self.document.models {
            let path = |field: &str| format!("models.{id}.{field}");
            self.check_model_counts(&path, model);
            self.check_deadline(path("deadline_seconds"), model.deadline_seconds);
            self.check_callers(path("callers"), &model.callers, false);
            self.require(
                model.memory.0 > 0,
                path("memory"),
                "the memory is zero",
                "the size of the weights",
            );
            self.require_memory(path("memory"), model.memory + model.kv_reserve, largest);
        }
    }

    fn check_model_counts<P>(&mut self, path: &P, model: &ModelEntry)
    where
        P: Fn(&str) -> String,
    {
        let ModelEntry { slots, max_slots, concurrency, max_output, .. } = model;
        self.require(*slots > 0, path("slots"), "the model has no slots", "at least 1");
        let message = format!("{slots} slots, more than max_slots {max_slots}");
        self.require(slots <= max_slots, path("slots"), message, format!("at most {max_slots}"));
        let help = format!("at most {MAX_MODEL_SLOTS}");
        self.require(*max_slots <= MAX_MODEL_SLOTS, path("max_slots"), "too many slots", help);
        self.require(*concurrency > 0, path("concurrency"), "no request could run", "at least 1");
        self.require(
            max_output.0 > 0,
            path("max_output"),
            "no output would be allowed",
            "at least 1",
        );
    }

    fn check_adapters(&mut self) {
        let largest = self.largest_runner();
        for (id, adapter) in &self.document.adapters {
            let path = |field: &str| format!("adapters.{id}.{field}");
            self.require_entry(path("model"), "models", adapter.model.as_str());
            self.check_callers(path("callers"), &adapter.callers, false);
            let shared = self.names.contains("models", id.as_str());
            let help = "use another name: callers select models and adapters by the same field";
            self.require(!shared, format!("adapters.{id}"), "a model has the same name", help);
            if let Some(model) = self.document.models.get(&adapter.model) {
                let needed = model.memory + model.kv_reserve + adapter.memory;
                self.require_memory(path("memory"), needed, largest);
            }
        }
    }

    fn check_services(&mut self) {
        for (id, service) in &self.document.services {
            let path = |field: &str| format!("services.{id}.{field}");
            self.check_deadline(path("deadline_seconds"), service.deadline_seconds);
            self.check_callers(path("callers"), &service.callers, true);
            let bound = service.body_bound;
            let message = format!("{bound} is too large");
            let help = format!("at most {MAX_BODY_BOUND}");
            self.require(bound <= MAX_BODY_BOUND, path("body_bound"), message, help);
            let charges_nobody = service.callers == CallerScope::Open && service.cost.0 > 0;
            let message = "calls of an open service have no team to charge";
            self.require(!charges_nobody, path("cost"), message, "0, or callers other than open");
        }
    }

    fn check_upstreams(&mut self) {
        let mut owners = BTreeMap::new();
        for (id, upstream) in &self.document.upstreams {
            let path = |field: &str| format!("upstreams.{id}.{field}");
            let address = upstream.address;
            if let Some(other) = owners.insert(address, id) {
                let message = format!("{address} is also the address of {other}");
                self.add_fault(path("address"), message, "each upstream needs its own address");
            }
            let usable = address.port() != 0 && !address.ip().is_unspecified();
            let message = format!("{address} is not an address to connect to");
            self.require(usable, path("address"), message, "an IP address and a port above 0");
            match &upstream.role {
                UpstreamRole::Service(service) => {
                    self.require_entry(path("role.service"), "services", service.as_str());
                }
                UpstreamRole::Runner(runner) => self.check_runner(&path, runner),
            }
        }
    }

    fn check_runner<P>(&mut self, path: &P, runner: &RunnerEntry)
    where
        P: Fn(&str) -> String,
    {
        let RunnerEntry { memory, accelerators, .. } = runner;
        self.require(
            memory.0 > 0,
            path("role.runner.memory"),
            "the memory is zero",
            "the size of its accelerator memory",
        );
        let path = path("role.runner.accelerators");
        self.require(*accelerators > 0, path, "the runner has no accelerators", "at least 1");
    }

    fn check_deadline(&mut self, path: String, deadline: Duration) {
        let valid = !deadline.is_zero() && deadline <= MAX_DEADLINE;
        let help = format!("above 0 and at most {} seconds", MAX_DEADLINE.as_secs());
        self.require(valid, path, format!("{} seconds", deadline.as_secs_f64()), help);
    }

    fn check_callers(&mut self, path: String, callers: &CallerScope, allow_open: bool) {
        match callers {
            CallerScope::AllTeams => {}
            CallerScope::Open => {
                let help = "all-teams or {teams: [..]}: models can only be called with a key";
                self.require(allow_open, path, "open to callers without a key", help);
            }
            CallerScope::Teams(teams) => {
                let message = "the list of teams is empty";
                self.require(!teams.is_empty(), path.clone(), message, "at least one team");
                for team in teams {
                    self.require_entry(path.clone(), "teams", team.as_str());
                }
            }
        }
    }

    /// Requires that the largest runner has `needed` memory; not checked if there are no runners.
    fn require_memory(&mut self, path: String, needed: ByteSize, largest: Option<ByteSize>) {
        if let Some(largest) = largest
            && needed > largest
        {
            let message =
                format!("{needed} in total with the KV cache reserve, more than any runner has");
            self.add_fault(path, message, format!("at most {largest}, or a larger runner"));
        }
    }

    fn largest_runner(&self) -> Option<ByteSize> {
        let upstreams = self.document.upstreams.values();
        upstreams
            .filter_map(|upstream| match &upstream.role {
                UpstreamRole::Runner(runner) => Some(runner.memory),
                UpstreamRole::Service(_) => None,
            })
            .max()
    }
}

/// Lists the first names, with an ellipsis if there are more.
fn first_names(names: &BTreeSet<String>) -> String {
    const SHOWN_NAMES: usize = 8;
    let shown: Vec<&str> = names.iter().take(SHOWN_NAMES).map(String::as_str).collect();
    let rest = if names.len() > SHOWN_NAMES { ", …" } else { "" };
    format!("{}{rest}", shown.join(", "))
}
