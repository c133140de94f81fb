//! How old what another host saw at the store is, by clocks that differ and run apart.

use std::time::Duration;

use dotterellane_decisions::store_clock::StoreClock;
use dotterellane_units::{ClockInstant, StoreInstant};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Most by which a clock gains or loses, in parts of a million.
const MOST_DRIFT: i64 = 200;

/// A clock that started anywhere and runs a little fast or slow; times are true nanoseconds.
#[derive(Clone, Copy)]
struct TestClock {
    origin: u64,
    drift: i64,
}

impl TestClock {
    fn random(random: &mut Pcg64Mcg) -> Self {
        let origin = random.random_range(0..1_000_000_000_000_000_000);
        Self { origin, drift: random.random_range(-MOST_DRIFT..=MOST_DRIFT) }
    }

    fn at(&self, time: u64) -> ClockInstant {
        let time = i128::from(time);
        let shown = i128::from(self.origin) + time + time * i128::from(self.drift) / 1_000_000;
        ClockInstant(u64::try_from(shown).expect("in range"))
    }

    fn shown(&self, time: u64) -> StoreInstant {
        StoreInstant(self.at(time).0 / 1_000_000)
    }
}

fn millis(count: u64) -> u64 {
    count * 1_000_000
}

fn read(
    clock: &mut StoreClock,
    own: &TestClock,
    store: &TestClock,
    asked: u64,
    call: u64,
    random: &mut Pcg64Mcg,
) {
    let shown = store.shown(asked + random.random_range(0..=call));
    assert_that!(clock.add_reading(own.at(asked), own.at(asked + call), shown), eq(true));
}

#[gtest]
fn evidence_passed_on_is_never_taken_for_newer_than_it_is() {
    for seed in 0..400 {
        let random = &mut Pcg64Mcg::seed_from_u64(seed);
        let (one, other) = (TestClock::random(random), TestClock::random(random));
        let store = TestClock::random(random);
        let (mut of_one, mut of_other) = (StoreClock::default(), StoreClock::default());
        let mut time = millis(random.random_range(0..5_000));
        for _ in 0..60 {
            let call = millis(random.random_range(1..600));
            for (clock, own) in [(&mut of_one, &one), (&mut of_other, &other)] {
                if random.random_bool(0.3) {
                    read(clock, own, &store, time, call, random);
                }
            }
            // One host looked at the store a while ago; the other hears of it after any delay.
            let seen = time.saturating_sub(millis(random.random_range(0..3_000)));
            let heard = time + call + millis(random.random_range(0..20_000));
            if let Some(shown) = of_one.to_store(one.at(seen))
                && let Some(evidence) = of_other.to_local(other.at(heard), shown)
            {
                expect_that!(evidence, le(other.at(seen)), "seed {seed}");
            }
            time += call + millis(random.random_range(0..2_000));
        }
    }
}

#[gtest]
fn evidence_passed_on_is_little_older_than_it_is() {
    let random = &mut Pcg64Mcg::seed_from_u64(1);
    let (one, other) = (TestClock::random(random), TestClock::random(random));
    let store = TestClock::random(random);
    let (mut of_one, mut of_other) = (StoreClock::default(), StoreClock::default());
    read(&mut of_one, &one, &store, millis(100), millis(4), random);
    read(&mut of_other, &other, &store, millis(300), millis(4), random);
    // A long call tells less than the short one before.
    read(&mut of_other, &other, &store, millis(400), millis(500), random);
    let seen = millis(5_000);
    let shown = of_one.to_store(one.at(seen)).expect("a reading");
    let evidence = of_other.to_local(other.at(millis(6_000)), shown).expect("a reading");
    let lost = other.at(seen).since(evidence);
    expect_that!(lost, lt(Duration::from_millis(20)));
}

#[gtest]
fn evidence_is_unknown_before_any_reading() {
    let clock = StoreClock::default();
    expect_that!(clock.to_store(ClockInstant::from_millis(5)), none());
    expect_that!(clock.to_local(ClockInstant::from_millis(5), StoreInstant(3)), none());
}

#[gtest]
fn evidence_from_the_future_is_no_evidence() {
    let mut clock = StoreClock::default();
    let at = ClockInstant::from_millis;
    clock.add_reading(at(1_000), at(1_004), StoreInstant(50_000));
    expect_that!(clock.to_local(at(2_000), StoreInstant(51_500)), none());
}

#[gtest]
fn clock_that_jumped_is_noticed_and_read_anew() {
    let mut clock = StoreClock::default();
    let at = ClockInstant::from_millis;
    expect_that!(clock.add_reading(at(1_000), at(1_004), StoreInstant(50_000)), eq(true));
    expect_that!(clock.add_reading(at(2_000), at(2_004), StoreInstant(51_001)), eq(true));
    expect_that!(clock.add_reading(at(3_000), at(3_004), StoreInstant(9_000)), eq(false));
    expect_that!(clock.to_local(at(3_500), StoreInstant(9_100)), some(ge(at(3_090))));
}
