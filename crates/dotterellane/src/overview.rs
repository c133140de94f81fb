//! The state of the fleet that a daemon shows to operators.

use dotterellane_admin::overview::{FleetOverview, HostState, RunnerUse, TableHealth, TeamUse};
use dotterellane_fleet::{FleetPorts, MemberFeed};
use dotterellane_settings::document::{ConfigurationDocument, UpstreamRole};

/// Returns a function that reads the current state of the fleet. What this daemon does not know
/// keeps its default.
///
/// `table_reachable` tells whether a read of the platform's table, by this daemon or a peer, is
/// recent.
pub fn reader<T>(
    members: MemberFeed,
    ports: FleetPorts,
    table_reachable: T,
) -> impl Fn() -> FleetOverview + Send + Sync
where
    T: Fn() -> bool + Send + Sync,
{
    move || {
        let snapshot = ports.configuration.current();
        FleetOverview {
            teams: team_states(&snapshot.document),
            runners: runner_states(&snapshot.document),
            hosts: host_states(&members),
            table: TableHealth { reachable: table_reachable(), ..TableHealth::default() },
            ..FleetOverview::default()
        }
    }
}

fn team_states(document: &ConfigurationDocument) -> Vec<TeamUse> {
    let team_state = |(team, entry): (&_, &dotterellane_settings::document::TeamEntry)| TeamUse {
        team: ToString::to_string(team),
        rate: entry.rate.milli_tokens() as f64 / 1_000.0,
        burst: entry.burst.0,
        ..TeamUse::default()
    };
    document.teams.iter().map(team_state).collect()
}

fn runner_states(document: &ConfigurationDocument) -> Vec<RunnerUse> {
    let upstreams = document.upstreams.iter();
    let runners = upstreams.filter_map(|(name, entry)| match &entry.role {
        UpstreamRole::Runner(runner) => Some(RunnerUse {
            runner: name.to_string(),
            domain: entry.domain.to_string(),
            memory: runner.memory.0,
            leaving: entry.leaving,
            ..RunnerUse::default()
        }),
        UpstreamRole::Service(_) => None,
    });
    runners.collect()
}

fn host_states(members: &MemberFeed) -> Vec<HostState> {
    let view = members.borrow();
    let states = view.members.iter().map(|member| HostState {
        host: member.host.to_string(),
        domain: member.domain.to_string(),
        alive: member.alive,
        leaving: member.leaving,
    });
    states.collect()
}
