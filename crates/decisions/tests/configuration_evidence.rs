//! Tests which configurations may serve requests without a key.

use std::time::Duration;

use dotterellane_decisions::configuration_evidence::ConfigurationEvidence;
use googletest::prelude::*;

const BOUND: Duration = Duration::from_secs(3);
const RECENT: Option<Duration> = Some(Duration::from_millis(2_999));
const OLD: Option<Duration> = Some(BOUND);

fn allows_open(
    confirmed: Option<Duration>,
    shown: Option<Duration>,
    knows_newer: bool,
    store_fails: bool,
) -> bool {
    ConfigurationEvidence { confirmed, shown, knows_newer, store_fails }.allows_open(BOUND)
}

#[gtest]
fn open_request_is_allowed_while_the_configuration_is_confirmed() {
    expect_that!(allows_open(RECENT, RECENT, false, false), eq(true));
    // A newer one that was heard of has its bound to come into force.
    expect_that!(allows_open(RECENT, RECENT, true, true), eq(true));
}

// Guards against an outdated document in use for good at a host that the store turns away.
#[gtest]
fn open_request_is_refused_once_a_newer_configuration_must_be_in_force() {
    expect_that!(allows_open(OLD, OLD, true, true), eq(false));
    expect_that!(allows_open(OLD, RECENT, true, false), eq(false));
    expect_that!(allows_open(None, RECENT, true, false), eq(false));
}

// Guards against a host that is too slow to read the configuration in time and does not notice.
#[gtest]
fn open_request_is_refused_while_nothing_was_shown_for_long_though_the_store_answers() {
    expect_that!(allows_open(OLD, OLD, false, false), eq(false));
    expect_that!(allows_open(OLD, None, false, false), eq(false));
}

// Guards against refusals while nothing can change.
#[gtest]
fn open_request_is_allowed_while_the_store_fails_and_nothing_newer_is_known() {
    expect_that!(allows_open(OLD, OLD, false, true), eq(true));
    // The store has an older copy, or no row at all.
    expect_that!(allows_open(OLD, RECENT, false, false), eq(true));
}
