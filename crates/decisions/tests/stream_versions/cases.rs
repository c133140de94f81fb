//! Single cases of the history and of the origins.

use std::collections::BTreeSet;
use std::time::Duration;

use dotterellane_decisions::stream_versions::{
    OriginReport, STREAM_LIFETIME, StreamDigest, StreamOrigin, StreamOrigins, VERSION_SETTLE,
    VersionHistory, VersionMap,
};
use dotterellane_units::{
    ClockInstant, ServiceId, SoftwareVersion, StoreEra, StoreInstant, TeamId,
};
use googletest::prelude::*;

fn service() -> ServiceId {
    "models".parse().expect("valid id")
}

fn version(name: &str) -> SoftwareVersion {
    name.parse().expect("valid version")
}

fn after(start: u64, wait: Duration) -> StoreInstant {
    StoreInstant(start + u64::try_from(wait.as_millis()).expect("in range"))
}

/// Returns the versions with these names; an empty name is an unknown version.
fn present(names: &[&str]) -> VersionMap {
    let versions = names.iter().map(|name| (!name.is_empty()).then(|| version(name)));
    VersionMap::from([(service(), versions.collect::<BTreeSet<_>>())])
}

fn history(since: u64, now: u64, names: &[&str]) -> VersionHistory {
    let empty = VersionHistory::new(StoreEra(0), StoreInstant(since));
    empty.updated(StoreInstant(now), &present(names)).expect("changed")
}

fn is_usable(history: &VersionHistory, name: &str, now: StoreInstant) -> bool {
    history.is_usable(&service(), Some(&version(name)), now, true)
}

#[gtest]
fn history_second_version_settles() {
    let first = history(0, 1_000, &["a"]);
    expect_that!(is_usable(&first, "a", StoreInstant(1_000)), eq(true));
    expect_that!(first.sole_version(&service(), StoreInstant(1_000)), some(eq(&version("a"))));
    let both = first.updated(StoreInstant(5_000), &present(&["a", "b"])).expect("changed");
    expect_that!(both.sole_version(&service(), StoreInstant(5_000)), none());
    let settled = after(5_000, VERSION_SETTLE);
    expect_that!(is_usable(&both, "b", StoreInstant(settled.0 - 1)), eq(false));
    expect_that!(is_usable(&both, "b", settled), eq(true));
    expect_that!(both.is_usable(&service(), Some(&version("b")), settled, false), eq(false));
    expect_that!(both.updated(StoreInstant(9_000), &present(&["a", "b"])), none());
}

#[gtest]
fn history_gone_version_counts_for_the_lifetime_of_its_streams() {
    let both = history(0, 1_000, &["a", "b"]);
    let one = both.updated(StoreInstant(2_000), &present(&["b"])).expect("changed");
    expect_that!(one.is_gone(&service(), &version("a")), eq(true));
    let end = after(2_000, STREAM_LIFETIME);
    expect_that!(one.sole_version(&service(), StoreInstant(end.0 - 1)), none());
    expect_that!(one.sole_version(&service(), end), some(eq(&version("b"))));
    let back = one.updated(StoreInstant(3_000), &present(&["a", "b"])).expect("changed");
    expect_that!(back.is_gone(&service(), &version("a")), eq(false));
}

// Guards against a version that is back after its streams' lifetime and begins streams at once, while
// some host still counts it as expired.
#[gtest]
fn history_version_back_after_its_expiry_settles_again() {
    let both = history(0, 1_000, &["a", "b"]);
    let left = both.updated(StoreInstant(5_000), &present(&["a"])).expect("changed");
    let now = after(6_000, STREAM_LIFETIME);
    let back = left.updated(now, &present(&["a", "b"])).expect("changed");
    expect_that!(is_usable(&back, "b", now), eq(false));
    expect_that!(is_usable(&back, "b", after(now.0, VERSION_SETTLE)), eq(true));
}

#[gtest]
fn history_unknown_version_is_never_the_sole_one() {
    let unknown = history(0, 1_000, &[""]);
    expect_that!(unknown.sole_version(&service(), StoreInstant(900_000)), none());
}

#[gtest]
fn history_carried_over_keeps_ages() {
    let carried = history(5_000, 5_000, &["a"]).carried_over(
        StoreEra(1),
        StoreInstant(9_000),
        StoreInstant(50_000),
    );
    expect_that!(carried.era, eq(StoreEra(1)));
    expect_that!(carried.complete_since, eq(StoreInstant(46_000)));
    let end = after(46_000, STREAM_LIFETIME);
    expect_that!(carried.sole_version(&service(), StoreInstant(end.0 - 1)), none());
    expect_that!(carried.sole_version(&service(), end), some(eq(&version("a"))));
}

#[gtest]
fn history_settled_again_delays_what_was_added_shortly_before() {
    let both = history(0, 1_000, &["a"]).updated(StoreInstant(5_000), &present(&["a", "b"]));
    let again = both.expect("changed").settled_again(StoreInstant(9_000));
    expect_that!(is_usable(&again, "a", StoreInstant(9_000)), eq(true));
    expect_that!(is_usable(&again, "b", StoreInstant(9_000)), eq(false));
    expect_that!(is_usable(&again, "b", after(9_000, VERSION_SETTLE)), eq(true));
}

fn origin(name: &str) -> StreamOrigin {
    StreamOrigin { service: service(), version: version(name) }
}

#[gtest]
fn origins_of_two_versions_are_unknown() {
    let (now, stream) = (ClockInstant::from_millis(1_000), StreamDigest::of(None, b"one"));
    let mut origins = StreamOrigins::default();
    origins.note_own(now, stream, origin("a"));
    expect_that!(origins.get(&stream), some(eq(&origin("a"))));
    origins.absorb(now, &OriginReport { origin: origin("b"), streams: vec![stream] });
    expect_that!(origins.get(&stream), none());
    expect_that!(origins.take_untold(|_| true), len(eq(0)));
}

#[gtest]
fn origins_are_told_and_written_once() {
    let (now, stream) = (ClockInstant::from_millis(1_000), StreamDigest::of(None, b"one"));
    let mut origins = StreamOrigins::default();
    origins.note_own(now, stream, origin("a"));
    expect_that!(origins.take_untold(|_| false), len(eq(0)));
    expect_that!(origins.take_untold(|_| true), len(eq(1)));
    expect_that!(origins.take_untold(|_| true), len(eq(0)));
    let written = origins.take_unwritten(10, |_| true);
    expect_that!(written, len(eq(1)));
    expect_that!(origins.take_unwritten(10, |_| true), len(eq(0)));
    origins.put_back_unwritten(&written);
    expect_that!(origins.take_unwritten(10, |_| true), eq(&written));
    origins.note_own(now + STREAM_LIFETIME, StreamDigest::of(None, b"two"), origin("a"));
    expect_that!(origins.get(&stream), none());
}

#[gtest]
fn digest_differs_by_team() {
    let team: TeamId = "red".parse().expect("valid id");
    expect_that!(StreamDigest::of(Some(&team), b"one"), not(eq(StreamDigest::of(None, b"one"))));
}
