//! Rules between the parts of a document.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::time::Duration;

use dotterellane_units::{ByteSize, TeamId, TokenCount};

use crate::document::{
    CallerScope, ConfigurationDocument, ModelEntry, OperatorRole, RunnerEntry, UpstreamRole,
};
use crate::fault::DocumentFault;
use crate::keys::is_digest;

/// Most entries of one part.
pub const MAX_ENTRIES: usize = 20_000;
/// Most slots of one model.
pub const MAX_MODEL_SLOTS: u32 = 1_024;
/// Longest deadline.
pub const MAX_DEADLINE: Duration = Duration::from_secs(3_600);
/// Largest request body that a service may allow.
pub const MAX_BODY_BOUND: ByteSize = ByteSize::mebibytes(64);

const DIGEST_HELP: &str = "64 lower-case hex digits, as `key issue` prints them";

/// Names that the text holds, also those of entries with faults of their own.
#[derive(Debug, Default)]
pub(crate) struct KnownNames(BTreeMap<String, BTreeSet<String>>);

impl KnownNames {
    /// Returns the names of a document without faults.
    pub fn of(document: &ConfigurationDocument) -> Self {
        let mut names = Self::default();
        names.extend("teams", document.teams.keys());
        names.extend("models", document.models.keys());
        names.extend("adapters", document.adapters.keys());
        names.extend("services", document.services.keys());
        names
    }

    /// Adds one name.
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

/// Returns every breach of a rule.
pub(crate) fn check_rules(
    document: &ConfigurationDocument,
    names: &KnownNames,
) -> Vec<DocumentFault> {
    let mut checker = RuleChecker { document, names, faults: Vec::new() };
    checker.counts();
    checker.teams();
    checker.keys();
    checker.operators();
    checker.models();
    checker.adapters();
    checker.services();
    checker.upstreams();
    checker.faults
}

/// Returns every breach of a rule on the change from one document to the next.
pub(crate) fn check_change(
    older: &ConfigurationDocument,
    newer: &ConfigurationDocument,
) -> Vec<DocumentFault> {
    let revived = newer.keys.iter().filter(|(id, key)| {
        let before = older.keys.get(*id);
        before.is_some_and(|before| before.withdrawn && !key.withdrawn)
    });
    let help = "withdrawn: true, or another id with a new secret";
    let fault = |id| {
        DocumentFault::new(format!("keys.{id}.withdrawn"), "a withdrawn key stays withdrawn", help)
    };
    revived.map(|(id, _)| fault(id)).collect()
}

struct RuleChecker<'a> {
    document: &'a ConfigurationDocument,
    names: &'a KnownNames,
    faults: Vec<DocumentFault>,
}

impl RuleChecker<'_> {
    fn fault<M, H>(&mut self, path: String, message: M, help: H)
    where
        M: Into<String>,
        H: Into<String>,
    {
        self.faults.push(DocumentFault::new(path, message, help));
    }

    fn require<M, H>(&mut self, holds: bool, path: String, message: M, help: H)
    where
        M: Into<String>,
        H: Into<String>,
    {
        if !holds {
            self.fault(path, message, help);
        }
    }

    /// Requires that `name` is an entry of `section`.
    fn reference(&mut self, path: String, section: &str, name: &str) {
        if self.names.contains(section, name) {
            return;
        }
        let help = match self.names.0.get(section) {
            Some(known) => format!("{section} are {}", shortened(known)),
            None => format!("add it to {section}"),
        };
        self.fault(path, format!("{name:?} is not in {section}"), help);
    }

    fn counts(&mut self) {
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

    fn teams(&mut self) {
        for (id, team) in &self.document.teams {
            let path = |field| format!("teams.{id}.{field}");
            let rate = team.rate.milli_tokens();
            self.require(rate > 0, path("rate"), "no tokens at all", "a rate above 0/s");
            self.team_burst(id, team.burst);
        }
    }

    /// Requires that the largest output of each callable model fits beside one prompt token.
    fn team_burst(&mut self, id: &TeamId, burst: TokenCount) {
        let callable = self.document.models.iter().filter(|(_, model)| model.callers.allows(id));
        let largest = callable.max_by_key(|(_, model)| model.max_output);
        if let Some((model_id, model)) = largest
            && burst <= model.max_output
        {
            let path = format!("teams.{id}.burst");
            let output = model.max_output;
            let message = format!("{burst} tokens do not hold {model_id}'s max_output of {output}");
            self.fault(path, message, format!("more than {output}, with room for the prompt"));
        }
        let dearest =
            self.document.services.iter().filter(|(_, service)| service.callers.allows(id));
        let dearest = dearest.max_by_key(|(_, service)| service.cost);
        if let Some((service_id, service)) = dearest
            && burst < service.cost
        {
            let path = format!("teams.{id}.burst");
            let message = format!("{burst} tokens do not hold one call of {service_id}");
            self.fault(path, message, format!("at least its cost of {}", service.cost));
        }
    }

    fn keys(&mut self) {
        let mut owners = BTreeMap::new();
        for (id, key) in &self.document.keys {
            self.reference(format!("keys.{id}.team"), "teams", key.team.as_str());
            let path = format!("keys.{id}.digest");
            self.require(is_digest(&key.digest), path.clone(), "not a digest", DIGEST_HELP);
            if let Some(other) = owners.insert(&key.digest, id) {
                let message = format!("same digest as key {other}");
                self.fault(path, message, "a digest of its own for each key");
            }
        }
    }

    fn operators(&mut self) {
        let operators = &self.document.operators;
        for (id, operator) in operators {
            let path = format!("operators.{id}.digest");
            self.require(is_digest(&operator.digest), path, "not a digest", DIGEST_HELP);
        }
        let locked_out = operators.values().all(|operator| operator.role != OperatorRole::All);
        if !operators.is_empty() && locked_out {
            let help = "give one operator the role all, so that changes stay possible";
            self.fault("operators".to_owned(), "no operator has the role all", help);
        }
    }

    fn models(&mut self) {
        let largest = self.largest_runner();
        for (id, model) in &self.document.models {
            let path = |field: &str| format!("models.{id}.{field}");
            self.model_counts(&path, model);
            self.deadline(path("deadline_seconds"), model.deadline_seconds);
            self.callers(path("callers"), &model.callers, false);
            self.require(model.memory.0 > 0, path("memory"), "no memory", "the weights' size");
            self.fits(path("memory"), model.memory + model.kv_reserve, largest);
        }
    }

    fn model_counts<P>(&mut self, path: &P, model: &ModelEntry)
    where
        P: Fn(&str) -> String,
    {
        let ModelEntry { slots, max_slots, concurrency, max_output, .. } = model;
        self.require(*slots > 0, path("slots"), "no slot", "at least 1");
        let message = format!("{slots} slots, more than max_slots {max_slots}");
        self.require(slots <= max_slots, path("slots"), message, format!("at most {max_slots}"));
        let help = format!("at most {MAX_MODEL_SLOTS}");
        self.require(*max_slots <= MAX_MODEL_SLOTS, path("max_slots"), "too many slots", help);
        self.require(*concurrency > 0, path("concurrency"), "no request at all", "at least 1");
        self.require(max_output.0 > 0, path("max_output"), "no output at all", "at least 1");
    }

    fn adapters(&mut self) {
        let largest = self.largest_runner();
        for (id, adapter) in &self.document.adapters {
            let path = |field: &str| format!("adapters.{id}.{field}");
            self.reference(path("model"), "models", adapter.model.as_str());
            self.callers(path("callers"), &adapter.callers, false);
            let shared = self.names.contains("models", id.as_str());
            let help = "names of its own: callers ask for models and adapters alike";
            self.require(!shared, format!("adapters.{id}"), "also the name of a model", help);
            if let Some(model) = self.document.models.get(&adapter.model) {
                let needed = model.memory + model.kv_reserve + adapter.memory;
                self.fits(path("memory"), needed, largest);
            }
        }
    }

    fn services(&mut self) {
        for (id, service) in &self.document.services {
            let path = |field: &str| format!("services.{id}.{field}");
            self.deadline(path("deadline_seconds"), service.deadline_seconds);
            self.callers(path("callers"), &service.callers, true);
            let bound = service.body_bound;
            let message = format!("{bound} is too large");
            let help = format!("at most {MAX_BODY_BOUND}");
            self.require(bound <= MAX_BODY_BOUND, path("body_bound"), message, help);
            let charges_nobody = service.callers == CallerScope::Open && service.cost.0 > 0;
            let message = "an open service has no team to charge";
            self.require(!charges_nobody, path("cost"), message, "0, or callers with keys");
        }
    }

    fn upstreams(&mut self) {
        let mut owners = BTreeMap::new();
        for (id, upstream) in &self.document.upstreams {
            let path = |field: &str| format!("upstreams.{id}.{field}");
            let address = upstream.address;
            if let Some(other) = owners.insert(address, id) {
                let message = format!("{address} is also the address of {other}");
                self.fault(path("address"), message, "an address of its own for each upstream");
            }
            let usable = address.port() != 0 && !address.ip().is_unspecified();
            let message = format!("{address} cannot be connected to");
            self.require(usable, path("address"), message, "an IP address and a port above 0");
            match &upstream.role {
                UpstreamRole::Service(service) => {
                    self.reference(path("role.service"), "services", service.as_str());
                }
                UpstreamRole::Runner(runner) => self.runner(&path, runner),
            }
        }
    }

    fn runner<P>(&mut self, path: &P, runner: &RunnerEntry)
    where
        P: Fn(&str) -> String,
    {
        let RunnerEntry { memory, accelerators, .. } = runner;
        self.require(memory.0 > 0, path("role.runner.memory"), "no memory", "its memory's size");
        let path = path("role.runner.accelerators");
        self.require(*accelerators > 0, path, "no accelerator", "at least 1");
    }

    fn deadline(&mut self, path: String, deadline: Duration) {
        let holds = !deadline.is_zero() && deadline <= MAX_DEADLINE;
        let help = format!("above 0 and at most {} seconds", MAX_DEADLINE.as_secs());
        self.require(holds, path, format!("{} seconds", deadline.as_secs_f64()), help);
    }

    fn callers(&mut self, path: String, callers: &CallerScope, may_be_open: bool) {
        match callers {
            CallerScope::AllTeams => {}
            CallerScope::Open => {
                let help = "all-teams or {teams: [..]}: models run for a team's key alone";
                self.require(may_be_open, path, "open to callers without a key", help);
            }
            CallerScope::Teams(teams) => {
                let message = "no team may call it";
                self.require(!teams.is_empty(), path.clone(), message, "at least one team");
                for team in teams {
                    self.reference(path.clone(), "teams", team.as_str());
                }
            }
        }
    }

    /// Requires that one runner can hold `needed`; a fleet without runners holds anything.
    fn fits(&mut self, path: String, needed: ByteSize, largest: Option<ByteSize>) {
        if let Some(largest) = largest
            && needed > largest
        {
            let message = format!("{needed} with its reserve, more than any runner has");
            self.fault(path, message, format!("at most {largest}, or a larger runner"));
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

/// Lists the first few names.
fn shortened(names: &BTreeSet<String>) -> String {
    const SHOWN_NAMES: usize = 8;
    let shown: Vec<&str> = names.iter().take(SHOWN_NAMES).map(String::as_str).collect();
    let rest = if names.len() > SHOWN_NAMES { ", …" } else { "" };
    format!("{}{rest}", shown.join(", "))
}
