//! Random sequences of faults: the limit on admissions is never exceeded, and after the faults
//! teams get their rate again.
//!
//! `PROPTEST_CASES` sets the number of sequences, `SHARE_ORDER_SEED` replaces the fixed seed.

use std::time::Duration;

use dotterellane_decisions::shares::ShareTimings;
use dotterellane_decisions::shares::fleet_model::{
    FleetModel, LoadSource, NetworkFaults, SharePolicy,
};
use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{HostId, TeamId, TokenCount, TokenRate};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

const HOST_COUNT: usize = 5;
const DEFAULT_CASES: u32 = 40;
const FIXED_SEED: u64 = 20_261_204;

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    KillLedger,
    Start(usize),
    Pause(usize),
    PauseLedger,
    ResumeAll,
    Cut { host: usize, reaches_table: bool },
    HealAll,
    Table(bool),
    Network { lost: f64, doubled: f64, late: f64 },
    Drift { host: usize, ppm: i64 },
    Rates { rate: u64, burst: u64 },
    Wait(u64),
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let host = 0..HOST_COUNT;
    let part = prop_oneof![Just(0.0), Just(0.1), Just(0.3)];
    let fault = prop_oneof![
        2 => host.clone().prop_map(Fault::Kill),
        2 => Just(Fault::KillLedger),
        4 => host.clone().prop_map(Fault::Start),
        2 => host.clone().prop_map(Fault::Pause),
        2 => Just(Fault::PauseLedger),
        4 => Just(Fault::ResumeAll),
        2 => (host.clone(), any::<bool>())
            .prop_map(|(host, reaches_table)| Fault::Cut { host, reaches_table }),
        3 => Just(Fault::HealAll),
        2 => any::<bool>().prop_map(Fault::Table),
        2 => (part.clone(), part.clone(), part)
            .prop_map(|(lost, doubled, late)| Fault::Network { lost, doubled, late }),
        1 => (host, prop_oneof![Just(500), Just(-500)])
            .prop_map(|(host, ppm)| Fault::Drift { host, ppm }),
        1 => (100_u64..3_000, 200_u64..6_000)
            .prop_map(|(rate, burst)| Fault::Rates { rate, burst }),
        14 => (20_u64..6_000).prop_map(Fault::Wait),
    ];
    prop::collection::vec(fault, 10..60)
}

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().unwrap()
}

fn team() -> TeamId {
    "red".parse().unwrap()
}

fn rates(rate: u64, burst: u64) -> TeamEntry {
    TeamEntry { rate: TokenRate::per_second(rate), burst: TokenCount(burst) }
}

fn load(requests: f64, unused: f64, shaped: bool) -> LoadSource {
    LoadSource {
        team: team(),
        requests,
        tokens: (10, 100),
        weights: Vec::new(),
        max_wait: Duration::from_secs(if shaped { 60 } else { 8 }),
        unused,
        shaped,
    }
}

fn apply(fleet: &mut FleetModel, fault: &Fault) {
    let ledger = fleet.ledger(&team());
    match *fault {
        Fault::Kill(number) => fleet.kill(&host(number)),
        Fault::KillLedger => ledger.iter().for_each(|host| fleet.kill(host)),
        Fault::Start(number) => fleet.start(&host(number)),
        Fault::Pause(number) => fleet.pause(&host(number)),
        Fault::PauseLedger => ledger.iter().for_each(|host| fleet.pause(host)),
        Fault::ResumeAll => (0..HOST_COUNT).for_each(|number| fleet.resume(&host(number))),
        Fault::Cut { host: number, reaches_table } => {
            fleet.set_group(&host(number), 1, reaches_table);
        }
        Fault::HealAll => {
            (0..HOST_COUNT).for_each(|number| fleet.set_group(&host(number), 0, true));
        }
        Fault::Table(up) => fleet.set_table(up),
        Fault::Network { lost, doubled, late } => {
            fleet.network = NetworkFaults { lost, doubled, late, ..NetworkFaults::default() };
        }
        Fault::Drift { host: number, ppm } => fleet.set_drift(&host(number), ppm),
        Fault::Rates { rate, burst } => fleet.set_team(&team(), rates(rate, burst)),
        Fault::Wait(millis) => fleet.run(Duration::from_millis(millis)),
    }
}

// Guards against a refund that counts from when the entry gives it back. It must count from when
// the ledger adds it to its balance, which is later if the ledger is paused.
#[gtest]
fn shares_order_ledger_pauses_with_refunds_open() {
    let sequence =
        [Fault::Wait(20), Fault::Pause(0), Fault::Wait(1_363), Fault::ResumeAll, Fault::Wait(20)];
    expect_that!(run_faults(254_915_461_271_411_788, &sequence).is_ok(), eq(true));
}

fn check_limits(fleet: &FleetModel) -> std::result::Result<(), TestCaseError> {
    prop_assert_eq!(fleet.violation(), None);
    prop_assert_eq!(fleet.overshoot(), TokenCount(0));
    Ok(())
}

/// Ends all faults and restarts dead hosts.
fn recover(fleet: &mut FleetModel) {
    fleet.network = NetworkFaults::default();
    fleet.set_table(true);
    apply(fleet, &Fault::HealAll);
    for number in 0..HOST_COUNT {
        fleet.resume(&host(number));
        if !fleet.is_running(&host(number)) {
            fleet.start(&host(number));
        }
    }
}

fn run_faults(seed: u64, faults: &[Fault]) -> std::result::Result<(), TestCaseError> {
    let mut fleet = FleetModel::new(SharePolicy::Ledgers, ShareTimings::default(), seed);
    (0..HOST_COUNT).for_each(|number| fleet.start(&host(number)));
    fleet.set_team(&team(), rates(1_000, 2_000));
    fleet.add_load(load(100.0, if seed.is_multiple_of(2) { 0.5 } else { 0.0 }, false));
    fleet.run(Duration::from_secs(5));
    for fault in faults {
        apply(&mut fleet, fault);
        check_limits(&fleet)?;
    }
    fleet.stop_load(&team());
    recover(&mut fleet);
    // Long enough to list five hosts one by one and then move the last slots.
    fleet.run(Duration::from_secs(150));
    check_limits(&fleet)?;
    prop_assert_eq!(fleet.tally(&team()).waiting, 0);
    fleet.set_team(&team(), rates(1_000, 2_000));
    fleet.run(Duration::from_secs(30));
    let before = fleet.tally(&team());
    fleet.add_load(load(16.0, 0.0, true));
    fleet.run(Duration::from_secs(30));
    fleet.stop_load(&team());
    fleet.run(Duration::from_secs(5));
    let after = fleet.tally(&team());
    prop_assert_eq!(after.refused_in_rate, before.refused_in_rate);
    prop_assert_eq!(after.waiting, 0);
    check_limits(&fleet)
}

#[gtest]
fn shares_random_orders() {
    let seed = std::env::var("SHARE_ORDER_SEED").ok().and_then(|text| text.parse().ok());
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.unwrap_or(FIXED_SEED).to_le_bytes());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, random);
    let outcome = runner.run(&(any::<u64>(), faults()), |(seed, faults)| run_faults(seed, &faults));
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
