//! Heartbeat intervals and the silence timeout grow with the number of hosts.

use std::time::Duration;

use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_decisions::team_buckets::{ChargeOutcome, GrantSource, TeamBuckets, TeamLimit};
use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId, TokenCount};
use googletest::prelude::*;

/// Largest number of datagrams per second that a host sends, in a fleet of any size above a few
/// hosts.
const MAX_DATAGRAMS: f64 = 251.0;

#[gtest]
fn pace_small_fleet() {
    for peers in [0, 3, 25] {
        expect_that!(
            HeartbeatPace::of(peers).min_interval,
            eq(Duration::from_millis(100)),
            "{peers}"
        );
    }
    for peers in [0, 3, 75] {
        let pace = HeartbeatPace::of(peers);
        expect_that!(pace.max_interval, eq(Duration::from_millis(300)), "{peers}");
        expect_that!(pace.silence_timeout, eq(Duration::from_millis(700)), "{peers}");
    }
}

#[gtest]
fn pace_datagrams_do_not_grow() {
    for peers in [25, 76, 100, 300, 400] {
        let pace = HeartbeatPace::of(peers);
        let sent = peers as f64 / pace.min_interval.as_secs_f64();
        expect_that!(sent, le(MAX_DATAGRAMS), "{peers}");
        // One heartbeat may be lost.
        expect_that!(pace.silence_timeout, gt(pace.max_interval * 2), "{peers}");
    }
}

#[gtest]
fn pace_large_fleet_hears_all_its_hosts() {
    let hosts = 300;
    let pace = HeartbeatPace::of(hosts - 1);
    let team: TeamId = "team-a".parse().expect("an id");
    let limit = TeamLimit { rate: 1.0, burst: 3_000.0 };
    let mut buckets = TeamBuckets::new(ClockInstant(0), true);
    buckets.set_limits(ClockInstant(0), [(team.clone(), limit)]);
    let mut others: Vec<(HostId, TeamBuckets)> = (1..hosts)
        .map(|index| {
            let mut other = TeamBuckets::new(ClockInstant(0), true);
            other.set_limits(ClockInstant(0), [(team.clone(), limit)]);
            (format!("h{index}").parse().expect("an id"), other)
        })
        .collect();
    let mut now = ClockInstant(0);
    for round in 0..6 {
        for (index, (name, other)) in others.iter_mut().enumerate() {
            let at = now + pace.max_interval.mul_f64(index as f64 / hosts as f64);
            // Each host spends ten tokens once; every second of its heartbeats is lost.
            if round == 1 {
                let charged = other.charge(at, &team, TokenCount(10), GrantSource::Nobody);
                expect_that!(charged, eq(ChargeOutcome::Taken));
            }
            if round == 0 || (round + index) % 2 == 0 {
                let report = other.report(at, round == 0);
                buckets.absorb(at, name, HostIncarnation(1), &report, false);
            }
        }
        now = now + pace.max_interval;
        if round >= 2 {
            expect_that!(buckets.heard_fraction(now), eq(1.0), "round {round}");
        }
    }
    // All spending is known, although each host reported it only a few times.
    let spent: f64 = 10.0 * (hosts - 1) as f64;
    let gained = now.since(ClockInstant(0)).as_secs_f64();
    let balance = buckets.report(now, true).teams[0].balance as f64;
    expect_that!(
        balance,
        all![le(3_000.0), ge(3_000.0 - spent - 1.0), le(3_000.0 - spent + gained)]
    );
}
