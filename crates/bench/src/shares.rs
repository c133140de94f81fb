//! Compares the share ledgers with baselines, in a simulation of the fleet.
//!
//! Each team's rate is divided into share slots, which all hosts lend to the host with the role of
//! the team's ledger; the ledger grants credit to the hosts that receive requests. See
//! [`dotterellane_decisions::shares`].

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

/// Rate of each team, in tokens per second.
const TEAM_RATE: u64 = 2_000;

/// Burst of each team, in tokens.
const TEAM_BURST: u64 = 20_000;

/// Smallest and largest request, in tokens.
const REQUEST_TOKENS: (u64, u64) = (100, 900);

/// Load of a quiet team, as a fraction of its rate.
const QUIET_LOAD: f64 = 0.85;

/// Load of the loud team, as a multiple of its rate.
const LOUD_LOAD: f64 = 5.0;

/// Longest time that a request waits for its tokens.
const MAX_REQUEST_WAIT: Duration = Duration::from_secs(10);

/// Duration of the warm-up before the load begins.
const WARM_UP: Duration = Duration::from_secs(20);

/// Compare share ledgers with a static split of team rates and with one central bucket
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ShareOptions {
    /// Number of hosts
    #[arg(long, default_value_t = 8)]
    pub hosts: usize,
    /// Duration of the load in each case, in seconds
    #[arg(long, default_value_t = 120)]
    pub seconds: u64,
    /// Seed of arrivals, request sizes and latencies
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Cases to run; all by default
    #[arg(long = "case", value_enum)]
    pub cases: Vec<ShareCase>,
    /// Policies to run; all by default
    #[arg(long = "policy", value_enum)]
    pub policies: Vec<PolicyName>,
}

/// Scenario for the simulated fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(clap::ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShareCase {
    /// All hosts get the same number of requests.
    Even,
    /// One host gets 70 % of the requests of a team, and the hosts differ between teams.
    Skew,
    /// One team sends five times its rate, the other four stay below theirs.
    LoudTeam,
    /// The host of one ledger crashes after a third of the time.
    HostLoss,
    /// The platform's table is down all the time.
    TableOutage,
}

const ALL_CASES: [ShareCase; 5] = [
    ShareCase::Even,
    ShareCase::Skew,
    ShareCase::LoudTeam,
    ShareCase::HostLoss,
    ShareCase::TableOutage,
];

/// Policy by which the rates of teams are enforced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(clap::ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Share slots that hosts lend to the teams' ledgers.
    Ledgers,
    /// A bucket at every host with an even part of the rate and burst.
    StaticSplit,
    /// One bucket in the platform's table.
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

/// Result of one policy in one case.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct ShareOutcome {
    /// Case that was simulated.
    pub case: ShareCase,
    /// Policy that was simulated.
    pub policy: PolicyName,
    /// Requests sent by teams that stay within their rate.
    pub sent_in_rate: u64,
    /// Requests of these teams that were refused although they were within the rate.
    pub refused_in_rate: u64,
    /// Highest fraction of such refusals among the requests of one of these teams.
    pub worst_team_refused: f64,
    /// Tokens that the loud team got, as a fraction of its rate and burst; 0 in other cases.
    pub loud_team_got: f64,
    /// Median wait of admitted requests of teams within their rate, in milliseconds.
    pub wait_p50_ms: f64,
    /// 99th percentile of these waits, in milliseconds.
    pub wait_p99_ms: f64,
    /// Longest of these waits, in milliseconds.
    pub wait_max_ms: f64,
    /// Most tokens that a team got beyond rate x window + burst, over all windows.
    pub overshoot_tokens: u64,
    /// Round trips to the table per request, without retries.
    pub table_trips_per_request: f64,
    /// Mean number of messages that a host sent, per second.
    pub messages_per_host_second: f64,
    /// Mean number of bytes that a host sent, per second, without envelopes.
    pub bytes_per_host_second: f64,
    /// Bytes that the busiest host sent, per second, without envelopes.
    pub bytes_busiest_host_second: f64,
}

/// Runs the chosen policies through the chosen cases.
///
/// # Errors
/// Fails if a generated host or team name is not a valid id.
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
/// Fails if a generated host or team name is not a valid id.
pub fn run_case(
    options: &ShareOptions,
    case: ShareCase,
    policy: PolicyName,
) -> miette::Result<ShareOutcome> {
    let hosts = make_ids::<HostId>("host", options.hosts)?;
    let teams = make_ids::<TeamId>("team", 5)?;
    let mut fleet = FleetModel::new(policy.into(), ShareTimings::default(), options.seed);
    fleet.set_message_size(encoded_size);
    hosts.iter().for_each(|host| fleet.start(host));
    let rates = TeamEntry { rate: TokenRate::per_second(TEAM_RATE), burst: TokenCount(TEAM_BURST) };
    teams.iter().for_each(|team| fleet.set_team(team, rates.clone()));
    fleet.run(WARM_UP);
    let before = fleet.messages().clone();
    fleet.set_table(case != ShareCase::TableOutage);
    for (index, team) in teams.iter().enumerate() {
        fleet.add_load(make_load(case, team, index, &hosts));
    }
    let span = Duration::from_secs(options.seconds);
    fleet.run(span / 3);
    if case == ShareCase::HostLoss
        && let Some(lost) = fleet.ledger(&teams[0])
    {
        fleet.kill(&lost);
    }
    fleet.run(span - span / 3);
    // Requests that still wait are admitted or refused before the counts are read.
    teams.iter().for_each(|team| fleet.stop_load(team));
    let traffic = Traffic::between(&before, fleet.messages(), &hosts, span);
    fleet.run(MAX_REQUEST_WAIT * 2);
    let tallies: Vec<TeamTally> = teams.iter().map(|team| fleet.tally(team)).collect();
    Ok(make_outcome(case, policy, &fleet, &tallies, &traffic, span))
}

fn make_ids<I>(kind: &str, count: usize) -> miette::Result<Vec<I>>
where
    I: std::str::FromStr,
    I::Err: std::error::Error + Send + Sync + 'static,
{
    (0..count).map(|number| format!("{kind}-{number}").parse().into_diagnostic()).collect()
}

fn encoded_size(message: &ShareMessage) -> usize {
    postcard::to_stdvec(&PeerMessage::Shares(message.clone())).map_or(0, |bytes| bytes.len())
}

fn make_load(case: ShareCase, team: &TeamId, index: usize, hosts: &[HostId]) -> LoadSource {
    let loud = case == ShareCase::LoudTeam && index == 0;
    let mean = (REQUEST_TOKENS.0 + REQUEST_TOKENS.1) as f64 / 2.0;
    let load = if loud { LOUD_LOAD } else { QUIET_LOAD };
    let weights = match case {
        ShareCase::Skew => hosts
            .iter()
            .enumerate()
            .map(|(position, host)| {
                let is_favoured = position == index % hosts.len();
                let rest = 0.3 / hosts.len().saturating_sub(1).max(1) as f64;
                (host.clone(), if is_favoured { 0.7 } else { rest })
            })
            .collect(),
        _ => Vec::new(),
    };
    LoadSource {
        team: team.clone(),
        requests: TEAM_RATE as f64 * load / mean,
        tokens: REQUEST_TOKENS,
        weights,
        max_wait: MAX_REQUEST_WAIT,
        unused: 0.0,
        shaped: !loud,
    }
}

/// Messages between hosts during the load.
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

fn make_outcome(
    case: ShareCase,
    policy: PolicyName,
    fleet: &FleetModel,
    tallies: &[TeamTally],
    traffic: &Traffic,
    span: Duration,
) -> ShareOutcome {
    let loud = usize::from(case == ShareCase::LoudTeam);
    let in_rate = &tallies[loud..];
    let refused = |tally: &TeamTally| tally.refused_in_rate as f64 / tally.sent.max(1) as f64;
    let mut waits: Vec<Duration> =
        in_rate.iter().flat_map(|tally| tally.waits.iter().copied()).collect();
    waits.sort();
    let percentile = |part: usize| {
        let index = (waits.len() * part / 100).min(waits.len().saturating_sub(1));
        waits.get(index).map_or(0.0, |wait| wait.as_secs_f64() * 1e3)
    };
    let requests: u64 = tallies.iter().map(|tally| tally.sent).sum();
    // One burst and the rate over the duration of the load.
    let entitlement = TEAM_RATE as f64 * span.as_secs_f64() + TEAM_BURST as f64;
    ShareOutcome {
        case,
        policy,
        sent_in_rate: in_rate.iter().map(|tally| tally.sent).sum(),
        refused_in_rate: in_rate.iter().map(|tally| tally.refused_in_rate).sum(),
        worst_team_refused: in_rate.iter().map(refused).fold(0.0, f64::max),
        loud_team_got: if loud == 1 { tallies[0].tokens as f64 / entitlement } else { 0.0 },
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
