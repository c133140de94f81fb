//! Tests the age of data that another host read from the store, with clocks of different origin and
//! rate.

use std::time::Duration;

use dotterellane_decisions::store_clock::StoreClock;
use dotterellane_units::{ClockInstant, StoreInstant};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Greatest drift of a clock from true time, in parts per million.
const MAX_DRIFT_PPM: i64 = 200;

/// A clock with a random origin and drift; its methods take true time in nanoseconds.
#[derive(Clone, Copy)]
struct TestClock {
    origin: u64,
    drift: i64,
}

impl TestClock {
    fn random(random: &mut Pcg64Mcg) -> Self {
        let origin = random.random_range(0..1_000_000_000_000_000_000);
        Self { origin, drift: random.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM) }
    }

    fn at(&self, time: u64) -> ClockInstant {
        let time = i128::from(time);
        let reading = i128::from(self.origin) + time + time * i128::from(self.drift) / 1_000_000;
        ClockInstant(u64::try_from(reading).expect("in range"))
    }

    fn store_time(&self, time: u64) -> StoreInstant {
        StoreInstant(self.at(time).0 / 1_000_000)
    }
}

fn millis(count: u64) -> u64 {
    count * 1_000_000
}

fn add_reading_of_call(
    clock: &mut StoreClock,
    own: &TestClock,
    store: &TestClock,
    asked: u64,
    call: u64,
    random: &mut Pcg64Mcg,
) {
    let store_time = store.store_time(asked + random.random_range(0..=call));
    assert_that!(clock.add_reading(own.at(asked), own.at(asked + call), store_time), eq(true));
}

#[gtest]
fn evidence_passed_on_is_never_taken_for_newer_than_it_is() {
    for seed in 0..400 {
        let random = &mut Pcg64Mcg::seed_from_u64(seed);
        let (first, second) = (TestClock::random(random), TestClock::random(random));
        let store = TestClock::random(random);
        let (mut first_clock, mut second_clock) = (StoreClock::default(), StoreClock::default());
        let mut time = millis(random.random_range(0..5_000));
        for _ in 0..60 {
            let call = millis(random.random_range(1..600));
            for (clock, own) in [(&mut first_clock, &first), (&mut second_clock, &second)] {
                if random.random_bool(0.3) {
                    add_reading_of_call(clock, own, &store, time, call, random);
                }
            }
            // The first host read the store some time ago; the second is told after an arbitrary
            // delay.
            let read_at = time.saturating_sub(millis(random.random_range(0..3_000)));
            let received_at = time + call + millis(random.random_range(0..20_000));
            if let Some(store_time) = first_clock.to_store(first.at(read_at))
                && let Some(evidence) = second_clock.to_local(second.at(received_at), store_time)
            {
                expect_that!(evidence, le(second.at(read_at)), "seed {seed}");
            }
            time += call + millis(random.random_range(0..2_000));
        }
    }
}

#[gtest]
fn evidence_passed_on_is_little_older_than_it_is() {
    let random = &mut Pcg64Mcg::seed_from_u64(1);
    let (first, second) = (TestClock::random(random), TestClock::random(random));
    let store = TestClock::random(random);
    let (mut first_clock, mut second_clock) = (StoreClock::default(), StoreClock::default());
    add_reading_of_call(&mut first_clock, &first, &store, millis(100), millis(4), random);
    add_reading_of_call(&mut second_clock, &second, &store, millis(300), millis(4), random);
    // A long call gives wider bounds than the short call before it.
    add_reading_of_call(&mut second_clock, &second, &store, millis(400), millis(500), random);
    let read_at = millis(5_000);
    let store_time = first_clock.to_store(first.at(read_at)).expect("a reading");
    let evidence = second_clock.to_local(second.at(millis(6_000)), store_time).expect("a reading");
    let lost = second.at(read_at).since(evidence);
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
