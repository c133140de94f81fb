//! The configuration document of the demo, also used by tests.

use std::net::SocketAddr;
use std::time::Duration;

use dotterellane_settings::document::{
    AdapterEntry, CallKind, CallerScope, ConfigurationDocument, KeyEntry, ModelEntry,
    OperatorEntry, OperatorRole, RunnerEntry, ServiceEntry, TeamEntry, UpstreamEntry, UpstreamRole,
};
use dotterellane_units::{ByteSize, TokenCount, TokenRate, UnitError};

/// Models and the size of their weights in GiB, smallest first.
pub const MODELS: [(&str, u64); 6] = [
    ("notice-1b", 2),
    ("roster-3b", 6),
    ("diagram-7b", 14),
    ("routine-8b", 16),
    ("quote-13b", 26),
    ("planner-30b", 60),
];
/// Adapters and their base models.
pub const ADAPTERS: [(&str, &str); 3] = [
    ("diagram-7b-cork", "diagram-7b"),
    ("diagram-7b-galway", "diagram-7b"),
    ("routine-8b-weld", "routine-8b"),
];
/// Teams, their rates in tokens per second and their bursts in tokens.
pub const TEAMS: [(&str, u64, u64); 2] = [("coaches", 2_000, 20_000), ("cells", 1_000, 10_000)];
/// Name of the service (an upstream that serves no models).
pub const SERVICE: &str = "bookings";

/// Failure domains of the three runners.
pub const RUNNER_DOMAINS: [&str; 3] = ["domain-a", "domain-a", "domain-b"];

/// Accelerator memory of each runner.
pub const RUNNER_MEMORY: ByteSize = ByteSize::gibibytes(80);

/// Returns whether the runner at `index` refuses orders with an old fencing number. All but the
/// first do.
pub fn honours_fencing(index: usize) -> bool {
    index != 0
}

/// Builds the document from the digests of the keys and the addresses of the upstreams.
///
/// `team_digests` are in the order of [`TEAMS`].
///
/// # Errors
/// Fails if a name in the demo is not a valid id.
pub fn build_document(
    team_digests: &[String],
    operator_digest: String,
    runners: &[SocketAddr],
    service: SocketAddr,
) -> Result<ConfigurationDocument, UnitError> {
    let mut document = ConfigurationDocument::default();
    for ((team, rate, burst), digest) in TEAMS.iter().zip(team_digests) {
        let entry = TeamEntry { rate: TokenRate::per_second(*rate), burst: TokenCount(*burst) };
        document.teams.insert(team.parse()?, entry);
        let key = KeyEntry {
            team: team.parse()?,
            digest: digest.clone(),
            expires_at: None,
            withdrawn: false,
        };
        document.keys.insert(team.parse()?, key);
    }
    let operator = OperatorEntry { role: OperatorRole::All, digest: operator_digest };
    document.operators.insert("demo".parse()?, operator);
    for (model, gibibytes) in MODELS {
        document.models.insert(model.parse()?, model_entry(gibibytes)?);
    }
    for (adapter, base) in ADAPTERS {
        let entry = AdapterEntry {
            model: base.parse()?,
            version: "v1".parse()?,
            memory: ByteSize::mebibytes(200),
            callers: CallerScope::AllTeams,
        };
        document.adapters.insert(adapter.parse()?, entry);
    }
    for (index, address) in runners.iter().enumerate() {
        let runner = RunnerEntry {
            memory: RUNNER_MEMORY,
            accelerators: 1,
            honours_fencing: honours_fencing(index),
        };
        let entry = UpstreamEntry {
            address: *address,
            domain: RUNNER_DOMAINS[index % RUNNER_DOMAINS.len()].parse()?,
            role: UpstreamRole::Runner(runner),
            leaving: false,
        };
        document.upstreams.insert(format!("runner-{}", index + 1).parse()?, entry);
    }
    add_service(&mut document, service)?;
    Ok(document)
}

fn model_entry(gibibytes: u64) -> Result<ModelEntry, UnitError> {
    Ok(ModelEntry {
        version: "v1".parse()?,
        memory: ByteSize::gibibytes(gibibytes),
        kv_reserve: ByteSize::gibibytes(2),
        slots: 2,
        max_slots: 3,
        concurrency: 16,
        max_output: TokenCount(1_024),
        deadline_seconds: Duration::from_secs(60),
        callers: CallerScope::AllTeams,
    })
}

fn add_service(document: &mut ConfigurationDocument, address: SocketAddr) -> Result<(), UnitError> {
    let entry = ServiceEntry {
        callers: CallerScope::AllTeams,
        calls: CallKind::OnceOnly,
        cost: TokenCount(10),
        deadline_seconds: Duration::from_secs(10),
        body_bound: ByteSize::mebibytes(1),
    };
    document.services.insert(SERVICE.parse()?, entry);
    let upstream = UpstreamEntry {
        address,
        domain: RUNNER_DOMAINS[0].parse()?,
        role: UpstreamRole::Service(SERVICE.parse()?),
        leaving: false,
    };
    document.upstreams.insert(format!("{SERVICE}-1").parse()?, upstream);
    Ok(())
}
