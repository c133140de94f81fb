//! The state of the fleet as one daemon shows it to operators.

use dotterellane_admin::overview::{FleetOverview, HostState, RunnerUse, TableHealth, TeamUse};
use dotterellane_fleet::{FleetPorts, MemberFeed};
use dotterellane_settings::document::{ConfigurationDocument, UpstreamRole};

/// Returns what reads the state.
///
/// `table_reaches` tells whether evidence of the platform's table reaches the daemon.
pub fn reader<T>(
    members: MemberFeed,
    ports: FleetPorts,
    table_reaches: T,
) -> impl Fn() -> FleetOverview + Send + Sync
where
    T: Fn() -> bool + Send + Sync,
{
    move || {
        let snapshot = ports.configuration.current();
        FleetOverview {
            teams: teams(&snapshot.document),
            runners: runners(&snapshot.document),
            hosts: hosts(&members),
            table: TableHealth { reachable: table_reaches(), ..TableHealth::default() },
            ..FleetOverview::default()
        }
    }
}

fn teams(document: &ConfigurationDocument) -> Vec<TeamUse> {
    let team_use = |(team, entry): (&_, &dotterellane_settings::document::TeamEntry)| TeamUse {
        team: ToString::to_string(team),
        rate: entry.rate.milli_tokens() as f64 / 1_000.0,
        burst: entry.burst.0,
        ..TeamUse::default()
    };
    document.teams.iter().map(team_use).collect()
}

fn runners(document: &ConfigurationDocument) -> Vec<RunnerUse> {
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

fn hosts(members: &MemberFeed) -> Vec<HostState> {
    let view = members.borrow();
    let state = view.members.iter().map(|member| HostState {
        host: member.host.to_string(),
        domain: member.domain.to_string(),
        alive: member.alive,
        leaving: member.leaving,
    });
    state.collect()
}
