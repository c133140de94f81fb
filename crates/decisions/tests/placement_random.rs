//! Runs random sequences of faults and orders and checks the invariants by the runners' own counts.
//!
//! `PLACEMENT_CASES` sets the number of cases and `PLACEMENT_SEED` the seed.

mod placement_sim;

use std::time::Duration;

use dotterellane_units::ByteSize;
use googletest::prelude::*;
use placement_sim::{HostState, PlacementSim, TableFault};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngSeed, TestRunner};

const DEFAULT_CASES: u32 = 300;
const DEFAULT_SEED: u64 = 20_261_204;
const HOSTS: [&str; 3] = ["a", "b", "c"];
const RUNNERS: [&str; 3] = ["r1", "r2", "r3"];
const MODELS: [&str; 4] = ["m1", "m2", "m3", "m4"];

type RandomStep = (u8, usize, usize, usize, u64);

fn environment_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn fresh_sim() -> PlacementSim {
    let mut sim = PlacementSim::default();
    for (index, runner) in RUNNERS.iter().enumerate() {
        sim.add_runner(runner, index < 2, ByteSize::gibibytes(80));
    }
    for (index, model) in MODELS.iter().enumerate() {
        sim.add_model(model, ByteSize::gibibytes(20 + 8 * index as u64));
        sim.add_slot(model, RUNNERS[index % 3]);
        sim.add_slot(model, RUNNERS[(index + 1) % 3]);
    }
    HOSTS.iter().for_each(|host| sim.add_host(host));
    sim.run(Duration::from_secs(1));
    sim
}

fn take_step(sim: &mut PlacementSim, (kind, host, runner, model, amount): RandomStep) {
    let (host, runner, model) = (HOSTS[host], RUNNERS[runner], MODELS[model]);
    match kind {
        0..=15 => {
            HOSTS.iter().for_each(|host| {
                sim.wake(host, runner, model);
            });
        }
        16..=23 => HOSTS.iter().for_each(|host| sim.unload(host, runner, model)),
        24 | 25 => sim.retire_slot(model, runner),
        26 | 27 => sim.add_slot(model, runner),
        28 => sim.set_host(host, HostState::Paused),
        29 => {
            sim.set_host(host, HostState::Crashed);
            if amount.is_multiple_of(2) {
                sim.announce_dead(host);
            }
        }
        30..=33 => sim.set_host(host, HostState::Up),
        34 => sim.set_cut(host, runner, true),
        35..=38 => HOSTS.iter().for_each(|host| sim.set_cut(host, runner, false)),
        39 => sim.table = TableFault::Down,
        40 => sim.table = TableFault::AnswersLost,
        41..=44 => sim.table = TableFault::Up,
        45 => sim.order_delay = Duration::from_millis(amount % 12_000),
        46..=49 => sim.order_delay = Duration::ZERO,
        50 | 51 => sim.copy_after = Some(Duration::from_millis(amount % 12_000)),
        52 => sim.copy_after = None,
        53 => sim.slowdown = 10,
        54..=56 => sim.slowdown = 1,
        57 => sim.crash_runner(runner),
        58..=75 => {
            sim.run(Duration::from_millis(amount % 250));
        }
        _ => {
            sim.run(Duration::from_millis(amount % 6_000));
        }
    }
}

#[gtest]
fn keepers_random_faults() {
    let config = Config {
        cases: u32::try_from(environment_number("PLACEMENT_CASES", u64::from(DEFAULT_CASES)))
            .unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(environment_number("PLACEMENT_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = vec((0_u8..95, 0_usize..3, 0_usize..3, 0_usize..4, 0_u64..30_000), 40..250);
    let outcome = TestRunner::new(config).run(&steps, |steps| {
        let mut sim = fresh_sim();
        for step in steps {
            take_step(&mut sim, step);
        }
        sim.run(Duration::from_secs(5));
        proptest::prop_assert_eq!(&sim.violations, &Vec::<String>::new());
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}

#[gtest]
fn keepers_after_faults_wake_again() {
    let mut sim = fresh_sim();
    for host in HOSTS {
        sim.set_host(host, HostState::Crashed);
        sim.run(Duration::from_secs(3));
        sim.set_host(host, HostState::Up);
        sim.run(Duration::from_secs(3));
    }
    sim.run(Duration::from_secs(120));
    for runner in RUNNERS {
        HOSTS.iter().for_each(|host| {
            sim.wake(host, runner, "m1");
        });
    }
    sim.run(Duration::from_secs(20));
    // The first model has slots on the first two runners.
    expect_that!(sim.state(), contains_substring("holds [\"m1\"]").times(eq(2)));
}
