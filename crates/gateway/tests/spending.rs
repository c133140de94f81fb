//! Who grants tokens to a host.

use std::time::Duration;

use dotterellane_decisions::team_buckets::GrantSource;
use dotterellane_gateway::keeper::KEEPER_SILENCE;
use dotterellane_gateway::messages::KeeperMark;
use dotterellane_gateway::spending::grant_source;
use dotterellane_gateway::state::KnownKeeper;
use dotterellane_units::{ClockInstant, FenceNumber, HostId, RowVersion};
use googletest::prelude::*;

const HEARD: ClockInstant = ClockInstant::from_millis(1_000_000);

fn name(text: &str) -> HostId {
    text.parse().expect("valid id")
}

fn source(keeper: Option<&str>, holds_lease: bool, age: Duration) -> GrantSource {
    let mark = KeeperMark { fence: FenceNumber(1), row: RowVersion(1) };
    let keeper = keeper.map(|host| KnownKeeper { host: name(host), mark, heard: HEARD });
    grant_source(&name("own"), keeper.as_ref(), holds_lease, HEARD + age)
}

#[gtest]
fn source_is_the_host_itself_while_it_holds_the_lease() {
    let later = Duration::from_secs(9);
    expect_that!(source(Some("own"), true, later), eq(GrantSource::Itself));
    // It stood still or lost the store: another host may keep by now.
    expect_that!(source(Some("own"), false, later), eq(GrantSource::Nobody));
}

#[gtest]
fn source_is_a_keeper_that_was_heard_of_late() {
    expect_that!(source(Some("other"), false, Duration::ZERO), eq(GrantSource::Leader));
    expect_that!(source(Some("other"), false, KEEPER_SILENCE), eq(GrantSource::Nobody));
    expect_that!(source(None, false, Duration::ZERO), eq(GrantSource::Nobody));
}
