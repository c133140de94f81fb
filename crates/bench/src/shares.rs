//! Team shares by ledgers against their baselines, on a model of the fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use clap::Args;
use dotterellane_decisions::shares::ShareTimings;
use dotterellane_decisions::shares::admissions::TeamTally;
use dotterellane_decisions::shares::fleet_model::{FleetModel, LoadSource, SharePolicy};
use dotterellane_protocol::{PeerMessage, ShareMessage};
use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{HostId, TeamId, TokenCount, TokenRate};
use miette::IntoDiagnostic;
use serde::Serialize;

/// Rate of each of the five teams, tokens a second.
const TEAM_RATE: u64 = 2_000;

/// Burst of each of the five teams, tokens.
const TEAM_BURST: u64 = 20_000;

/// Smallest and largest request, tokens.
const REQUEST_TOKENS: (u64, u64) = (100, 900);

/// Part of its rate that a quiet team sends.
const QUIET_LOAD: f64 = 0.85;

/// How many times its rate the loud team sends.
const LOUD_LOAD: f64 = 5.0;

/// How long a request may wait for its tokens.
const PATIENCE: Duration = Duration::from_secs(10);

/// How long the fleet runs before the load begins.
const WARM_UP: Duration = Duration::from_secs(20);

/// Compares ledgers with a static split and with one central bucket
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ShareOptions {
    /// Number of hosts
    #[arg(long, default_value_t = 8)]
    pub hosts: usize,
    /// Seconds of load in each case
    #[arg(long, default_value_t = 120)]
    pub seconds: u64,
    /// Seed of arrivals, sizes and latencies
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Cases to run; all without it
    #[arg(long = "case", value_enum)]
    pub cases: Vec<ShareCase>,
    /// Policies to run; all without it
    #[arg(long = "policy", value_enum)]
    pub policies: Vec<PolicyName>,
}

/// What the fleet goes through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(clap::ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShareCase {
    /// Requests spread evenly.
    Even,
    /// Seven tenths of each team's requests reach one host.
    Skew,
    /// One team sends five times its rate beside four quiet ones.
    LoudTeam,
    /// The host of one ledger dies after a third of the time.
    HostLoss,
    /// The table is down all the time.
    TableOutage,
}

const ALL_CASES: [ShareCase; 5] = [
    ShareCase::Even,
    ShareCase::Skew,
    ShareCase::LoudTeam,
    ShareCase::HostLoss,
    ShareCase::TableOutage,
];

/// How teams are held to their rates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(clap::ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Slots, pledges and ledgers.
    Ledgers,
    /// Every host has an even part.
    StaticSplit,
    /// One bucket in the table.
    CentralBucket,
}

const ALL_POLICIES: [PolicyName; 3] =
    [PolicyName::Ledgers, PolicyName::StaticSplit, PolicyName::CentralBucket];

impl From<PolicyName> for SharePolicy {
    fn from(name: PolicyName) -> Self {
        match name {
            PolicyName::Ledgers => Self::Ledgers,
            PolicyName::StaticSplit => Self::StaticSplit,
            PolicyName::CentralBucket => Self::CentralBucket,
        }
    }
}

/// What one policy did in one case.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ShareOutcome {
    /// The case.
    pub case: ShareCase,
    /// The policy.
    pub policy: PolicyName,
    /// Requests of teams that stay inside their rate.
    pub sent_in_rate: u64,
    /// Those of them that were refused.
    pub refused_in_rate: u64,
    /// Part of its requests that the worst-served of these teams was refused.
    pub worst_team_refused: f64,
    /// Part of its rate that the loud team got, burst included.
    pub loud_team_got: f64,
    /// Half of the admitted in-rate requests waited at most so long.
    pub wait_p50_ms: f64,
    /// Of a hundred of them, 99 waited at most so long.
    pub wait_p99_ms: f64,
    /// Longest wait of all.
    pub wait_max_ms: f64,
    /// Tokens that any team got beyond rate x window + burst, in any window.
    pub overshoot_tokens: u64,
    /// Round trips to the table for each request, bare of retries.
    pub table_trips_per_request: f64,
    /// Messages a second that a host sent, on average.
    pub messages_per_host_second: f64,
    /// Bytes a second that a host sent, on average, without envelope.
    pub bytes_per_host_second: f64,
    /// Bytes a second that the busiest host sent, without envelope.
    pub bytes_busiest_host_second: f64,
}

/// Runs the chosen policies through the chosen cases.
///
/// # Errors
/// Fails if a name that is made up here is not an id.
pub fn run(options: &ShareOptions) -> miette::Result<Vec<ShareOutcome>> {
    let cases = if options.cases.is_empty() { &ALL_CASES[..] } else { &options.cases };
    let policies = if options.policies.is_empty() { &ALL_POLICIES[..] } else { &options.policies };
    let mut outcomes = Vec::new();
    for case in cases {
        for policy in policies {
            outcomes.push(run_case(options, *case, *policy)?);
        }
    }
    Ok(outcomes)
}

/// Runs one policy through one case.
///
/// # Errors
/// Fails if a name that is made up here is not an id.
pub fn run_case(
    options: &ShareOptions,
    case: ShareCase,
    policy: PolicyName,
) -> miette::Result<ShareOutcome> {
    let hosts = names::<HostId>("host", options.hosts)?;
    let teams = names::<TeamId>("team", 5)?;
    let mut fleet = FleetModel::new(policy.into(), ShareTimings::default(), options.seed);
    fleet.set_message_size(encoded_size);
    hosts.iter().for_each(|host| fleet.start(host));
    let rates = TeamEntry { rate: TokenRate::per_second(TEAM_RATE), burst: TokenCount(TEAM_BURST) };
    teams.iter().for_each(|team| fleet.set_team(team, rates.clone()));
    fleet.run(WARM_UP);
    let before = fleet.messages().clone();
    fleet.set_table(case != ShareCase::TableOutage);
    for (place, team) in teams.iter().enumerate() {
        fleet.add_load(load_of(case, team, place, &hosts));
    }
    let span = Duration::from_secs(options.seconds);
    fleet.run(span / 3);
    if case == ShareCase::HostLoss
        && let Some(lost) = fleet.ledger(&teams[0])
    {
        fleet.kill(&lost);
    }
    fleet.run(span - span / 3);
    // What still waits is admitted or refused before it is counted.
    teams.iter().for_each(|team| fleet.stop_load(team));
    let traffic = Traffic::between(&before, fleet.messages(), &hosts, span);
    fleet.run(PATIENCE * 2);
    let tallies: Vec<TeamTally> = teams.iter().map(|team| fleet.tally(team)).collect();
    Ok(outcome(case, policy, &fleet, &tallies, &traffic, span))
}

fn names<I>(kind: &str, count: usize) -> miette::Result<Vec<I>>
where
    I: std::str::FromStr,
    I::Err: std::error::Error + Send + Sync + 'static,
{
    (0..count).map(|number| format!("{kind}-{number}").parse().into_diagnostic()).collect()
}

fn encoded_size(message: &ShareMessage) -> usize {
    postcard::to_stdvec(&PeerMessage::Shares(message.clone())).map_or(0, |bytes| bytes.len())
}

fn load_of(case: ShareCase, team: &TeamId, place: usize, hosts: &[HostId]) -> LoadSource {
    let loud = case == ShareCase::LoudTeam && place == 0;
    let mean = (REQUEST_TOKENS.0 + REQUEST_TOKENS.1) as f64 / 2.0;
    let load = if loud { LOUD_LOAD } else { QUIET_LOAD };
    let weights = match case {
        ShareCase::Skew => hosts
            .iter()
            .enumerate()
            .map(|(number, host)| {
                let favoured = number == place % hosts.len();
                let rest = 0.3 / hosts.len().saturating_sub(1).max(1) as f64;
                (host.clone(), if favoured { 0.7 } else { rest })
            })
            .collect(),
        _ => Vec::new(),
    };
    LoadSource {
        team: team.clone(),
        requests: TEAM_RATE as f64 * load / mean,
        tokens: REQUEST_TOKENS,
        weights,
        max_wait: PATIENCE,
        unused: 0.0,
        shaped: !loud,
    }
}

/// What hosts sent each other while the load ran.
struct Traffic {
    messages: f64,
    bytes: f64,
    busiest: f64,
}

impl Traffic {
    fn between(
        before: &BTreeMap<HostId, (u64, u64)>,
        after: &BTreeMap<HostId, (u64, u64)>,
        hosts: &[HostId],
        span: Duration,
    ) -> Self {
        let sent = |host: &HostId| {
            let (then, now) = (before.get(host), after.get(host));
            let (then, now) = (then.copied().unwrap_or_default(), now.copied().unwrap_or_default());
            (now.0 - then.0, now.1 - then.1)
        };
        let sent: Vec<(u64, u64)> = hosts.iter().map(sent).collect();
        let host_seconds = span.as_secs_f64() * hosts.len() as f64;
        let sum = |part: fn(&(u64, u64)) -> u64| sent.iter().map(part).sum::<u64>() as f64;
        let busiest = sent.iter().map(|(_, bytes)| *bytes).max().unwrap_or(0);
        Self {
            messages: sum(|sent| sent.0) / host_seconds,
            bytes: sum(|sent| sent.1) / host_seconds,
            busiest: busiest as f64 / span.as_secs_f64(),
        }
    }
}

fn outcome(
    case: ShareCase,
    policy: PolicyName,
    fleet: &FleetModel,
    tallies: &[TeamTally],
    traffic: &Traffic,
    span: Duration,
) -> ShareOutcome {
    let loud = usize::from(case == ShareCase::LoudTeam);
    let quiet = &tallies[loud..];
    let refused = |tally: &TeamTally| tally.refused_in_rate as f64 / tally.sent.max(1) as f64;
    let mut waits: Vec<Duration> =
        quiet.iter().flat_map(|tally| tally.waits.iter().copied()).collect();
    waits.sort();
    let percentile = |part: usize| {
        let place = (waits.len() * part / 100).min(waits.len().saturating_sub(1));
        waits.get(place).map_or(0.0, |wait| wait.as_secs_f64() * 1e3)
    };
    let requests: u64 = tallies.iter().map(|tally| tally.sent).sum();
    // A whole burst and what the rate yields until the last waiting request is served.
    let entitled = TEAM_RATE as f64 * span.as_secs_f64() + TEAM_BURST as f64;
    ShareOutcome {
        case,
        policy,
        sent_in_rate: quiet.iter().map(|tally| tally.sent).sum(),
        refused_in_rate: quiet.iter().map(|tally| tally.refused_in_rate).sum(),
        worst_team_refused: quiet.iter().map(refused).fold(0.0, f64::max),
        loud_team_got: if loud == 1 { tallies[0].tokens as f64 / entitled } else { 0.0 },
        wait_p50_ms: percentile(50),
        wait_p99_ms: percentile(99),
        wait_max_ms: percentile(100),
        overshoot_tokens: fleet.overshoot().0,
        table_trips_per_request: fleet.table_trips() as f64 / requests.max(1) as f64,
        messages_per_host_second: traffic.messages,
        bytes_per_host_second: traffic.bytes,
        bytes_busiest_host_second: traffic.busiest,
    }
}
