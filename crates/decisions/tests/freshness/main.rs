//! Tests that no daemon that lacks an entry admits requests once the entry is in force.

mod script;
mod simulation;

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use script::{ScenarioCommand, ScenarioRunner, scenario_paths};
use simulation::Simulation;

#[gtest]
fn scenarios_all() {
    let paths = scenario_paths();
    expect_that!(paths.len(), ge(10));
    for path in paths {
        goldenscript::run(&mut ScenarioRunner::default(), path).unwrap();
    }
}

fn host(count: usize) -> impl Strategy<Value = String> {
    (0..u8::try_from(count).unwrap()).prop_map(|index| char::from(b'a' + index).to_string())
}

fn command(count: usize) -> impl Strategy<Value = ScenarioCommand> {
    let groups = prop::collection::vec(0..2_u32, count);
    prop_oneof![
        4 => host(count).prop_map(ScenarioCommand::Change),
        8 => (1..40_u64).prop_map(|tenths| ScenarioCommand::Run(tenths as f64 / 10.0)),
        1 => Just(ScenarioCommand::Table("down".to_owned())),
        1 => Just(ScenarioCommand::Table("up".to_owned())),
        1 => Just(ScenarioCommand::Answers("lost".to_owned())),
        1 => Just(ScenarioCommand::Answers("kept".to_owned())),
        2 => prop::collection::vec(host(count), 1..=count).prop_map(ScenarioCommand::Cut),
        2 => groups.prop_map(split),
        1 => Just(ScenarioCommand::Heal),
        2 => host(count).prop_map(ScenarioCommand::Restart),
        1 => host(count).prop_map(ScenarioCommand::Stop),
        2 => (host(count), 1..80_u64).prop_map(|(host, tenths)| ScenarioCommand::Pause {
            host,
            seconds: tenths as f64 / 10.0,
        }),
        1 => host(count).prop_map(ScenarioCommand::Leave),
        1 => host(count).prop_map(ScenarioCommand::Reclaim),
        1 => (0..60_u32).prop_map(ScenarioCommand::Loss),
    ]
}

fn split(groups: Vec<u32>) -> ScenarioCommand {
    let hosts = |group: u32| -> String {
        let members = groups.iter().zip('a'..).filter(|(found, _)| **found == group);
        members.map(|(_, host)| host).collect()
    };
    ScenarioCommand::Split(vec![hosts(0), hosts(1)])
}

fn cases() -> u32 {
    std::env::var("FRESHNESS_CASES").ok().and_then(|count| count.parse().ok()).unwrap_or(150)
}

/// Runs random sequences of commands and faults, then ends the faults and checks for progress.
fn check_random_commands(count: usize, seed: u8) {
    let config = Config { cases: cases(), failure_persistence: None, ..Config::default() };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    // In half of the cases all members have joined before the first command.
    let settling = prop_oneof![Just(0.0), Just(20.0)];
    let sequences = (any::<u64>(), settling, prop::collection::vec(command(count), 1..40));
    let checked = runner.run(&sequences, |(seed, settling, commands)| {
        let mut simulation = Simulation::new(count, seed);
        simulation.run(Duration::from_secs_f64(settling)).map_err(TestCaseError::fail)?;
        let mut scenario = ScenarioRunner::with(&mut simulation);
        for command in &commands {
            scenario.apply(command).map_err(TestCaseError::fail)?;
        }
        drop(scenario);
        progress_after_healing(&mut simulation).map_err(TestCaseError::fail)
    });
    checked.unwrap();
}

fn progress_after_healing(simulation: &mut Simulation) -> std::result::Result<(), String> {
    simulation.heal();
    for host in simulation.hosts() {
        simulation.start(&host);
    }
    // Stopped members are replaced one list after another, and only a few lists can be in use at a
    // time.
    simulation.run(Duration::from_secs(60))?;
    if !simulation.all_fresh() {
        return Err(format!("not all are fresh after healing:\n{}", simulation.describe()));
    }
    let first = simulation.newest().0 + 1;
    simulation.change("a");
    simulation.run(Duration::from_secs(6))?;
    let within =
        |delay: &Option<Duration>| delay.is_some_and(|delay| delay < Duration::from_secs(5));
    let delays = simulation.delays(first);
    match !delays.is_empty() && delays.values().all(within) {
        true => Ok(()),
        false => Err(format!("not in force within 5 s: {delays:?}")),
    }
}

#[gtest]
fn orders_five_hosts() {
    check_random_commands(5, 1);
}

#[gtest]
fn orders_four_hosts() {
    check_random_commands(4, 2);
}

#[gtest]
fn orders_two_hosts() {
    check_random_commands(2, 3);
}

/// Budget of a daemon for all control messages, sent and received, in bytes per second.
const CONTROL_BYTES: u64 = 13_000;

/// Most bytes that the envelope, UDP and IP add to a message.
const ENVELOPE_BYTES: u64 = 120;

/// Reads per second that the platform's table handles.
const TABLE_READS: u64 = 2_000;

#[gtest]
fn rounds_400_members() {
    let (members, seconds) = (400, 3);
    let mut simulation = Simulation::listed(members, 4);
    simulation.run(Duration::from_secs(6)).unwrap();
    for (table_up, settling) in [(true, 4), (false, 4), (true, 0)] {
        simulation.table_up = table_up;
        simulation.run(Duration::from_secs(settling)).unwrap();
        let (traffic, calls) = (simulation.traffic(), simulation.table_calls());
        simulation.run(Duration::from_secs(seconds)).unwrap();
        expect_that!(simulation.all_fresh(), eq(true));
        let calls = (simulation.table_calls() - calls) / seconds;
        let messages = simulation.traffic().0 - traffic.0;
        let bytes = simulation.traffic().1 - traffic.1 + messages * ENVELOPE_BYTES;
        // Each message is sent by one daemon and received by another.
        let bytes = 2 * bytes / seconds / u64::try_from(members).unwrap();
        println!("table up {table_up}: {bytes} bytes/s a daemon, {calls} table calls/s");
        expect_that!(bytes, lt(CONTROL_BYTES));
        expect_that!(calls, lt(TABLE_READS / 4));
    }
}
