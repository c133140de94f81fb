//! The budget of retries of a whole fleet, whose hosts start, are cut off from each other and stand
//! still by turns, without a network.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use dotterellane_decisions::fleet_size::FleetSize;
use dotterellane_decisions::retry_limiter::{RetryLimiter, RetryLimits};
use dotterellane_units::{ClockInstant, HostId};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Limits of the fleet.
const FLEET: RetryLimits =
    RetryLimits { ratio: 0.2, slack: 210.0, window: Duration::from_secs(10) };

/// Time that a step of the simulation takes, in milliseconds.
const STEP: u64 = 50;

/// Steps of a day.
const STEPS: u64 = 800;

/// Steps of a window.
const WINDOW: usize = 200;

/// Steps between two heartbeats.
const HEARTBEAT: u64 = 6;

/// Steps after which a host that is not heard counts as gone.
const EXPIRY: u64 = 400;

/// Steps at which hosts that miss others read the list again.
const LIST_READS: [u64; 5] = [10, 30, 70, 150, 310];

/// Retries that each request asks for.
const RETRIES: u32 = 7;

struct SimulatedHost {
    limiter: RetryLimiter,
    size: FleetSize,
    /// Whether this is the first start of a whole fleet.
    first_start: bool,
    started: u64,
    /// When each host was last heard.
    heard: Vec<Option<u64>>,
    /// Hosts hear only those of their own side.
    side: u32,
    /// Step until which the host is down or stands still.
    away_until: u64,
    /// Retries that were reserved and wait for an upstream.
    waiting: VecDeque<u64>,
}

impl SimulatedHost {
    fn new(hosts: usize, started: u64) -> Self {
        let heard = vec![None; hosts];
        let (limiter, size, waiting) =
            (RetryLimiter::default(), FleetSize::default(), VecDeque::new());
        let (first_start, side, away_until) = (false, 0, 0);
        Self { limiter, size, first_start, started, heard, side, away_until, waiting }
    }

    /// Reads a list that holds the others of the first `registered` hosts.
    fn read_list(&mut self, own: usize, registered: usize, step: u64) {
        let others = (0..registered).filter(|number| *number != own).map(host_id);
        let heard: BTreeSet<HostId> = (0..)
            .zip(&self.heard)
            .filter(|(_, at)| at.is_some())
            .map(|(h, _)| host_id(h))
            .collect();
        self.size.note_listed(instant(step), others.collect(), |other| heard.contains(other));
    }

    fn limits(&self, step: u64) -> RetryLimits {
        let running = instant(step).since(instant(self.started));
        let knows_all = self.first_start && self.size.hears_all_listed();
        let unsettled = running < FLEET.window && !knows_all;
        FLEET.part(self.size.hosts(instant(step)), unsettled)
    }

    /// Handles one request whose retries wait for up to a second each. Returns nothing: what is sent
    /// is counted when it leaves `waiting`.
    fn handle_request(&mut self, step: u64, random: &mut Pcg64Mcg) {
        let (now, limits) = (instant(step), self.limits(step));
        self.limiter.note_request(now, &limits);
        for _ in 0..RETRIES {
            if !self.limiter.reserve(now, &limits) {
                break;
            }
            self.waiting.push_back(step + random.random_range(0..20));
        }
    }

    /// Sends the retries whose upstream has come; returns how many.
    fn send_due(&mut self, step: u64) -> u32 {
        let due = self.waiting.iter().filter(|at| **at <= step).count();
        self.waiting.retain(|at| *at > step);
        (0..due).for_each(|_| self.limiter.spend(instant(step)));
        u32::try_from(due).expect("few")
    }
}

fn host_id(number: usize) -> HostId {
    format!("h{number}").parse().expect("an id")
}

fn instant(step: u64) -> ClockInstant {
    ClockInstant::from_millis(1_000_000 + step * STEP)
}

/// What happens to the hosts of a day.
#[derive(Clone, Copy, Debug)]
struct Troubles {
    /// Fraction of the hosts that is killed at each of three times within a window.
    killed: f64,
    /// Fraction of the hosts each of which is cut off from all others.
    cut_off: f64,
    /// Fraction of the hosts that stands still for a while.
    frozen: f64,
    /// Whether hosts that start cannot read which hosts there are.
    no_list: bool,
    /// Whether all hosts start for the first time, one after the other, and read the list just after
    /// they are registered; those that are cut off are so from then on.
    starts: bool,
}

/// Starts the hosts of a day. Those of a fleet that starts for the first time list only the hosts
/// before them, the others all.
fn start_fleet(hosts: usize, troubles: Troubles, random: &mut Pcg64Mcg) -> Vec<SimulatedHost> {
    let start = |own| {
        let mut host = SimulatedHost::new(hosts, 0);
        host.first_start = troubles.starts;
        host.read_list(own, if troubles.starts { own + 1 } else { hosts }, 0);
        if troubles.starts && random.random_bool(troubles.cut_off) {
            host.side = u32::try_from(own + 1).expect("few");
        }
        host
    };
    (0..hosts).map(start).collect()
}

/// Plays a day on which callers repeat at an outage of all upstreams; returns by how many retries the
/// worst window exceeds the fleet's budget.
fn worst_excess(hosts: usize, troubles: Troubles, seed: u64) -> f64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = start_fleet(hosts, troubles, &mut random);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..STEPS {
        if [300, 360, 420].contains(&step) {
            for (own, host) in fleet.iter_mut().enumerate() {
                if random.random_bool(troubles.killed) {
                    let side = host.side;
                    *host = SimulatedHost::new(hosts, step + 10);
                    (host.side, host.away_until) = (side, step + 10);
                    if !troubles.no_list {
                        host.read_list(own, hosts, step + 10);
                    }
                }
            }
        }
        if step == 290 || step == 560 {
            for (number, host) in (1..).zip(&mut fleet) {
                let is_cut = step == 290 && random.random_bool(troubles.cut_off);
                host.side = if is_cut { number } else { 0 };
            }
        }
        if step == 310 {
            for host in &mut fleet {
                if random.random_bool(troubles.frozen) {
                    host.away_until = host.away_until.max(step + 60);
                }
            }
        }
        if troubles.starts && LIST_READS.contains(&step) {
            for (own, host) in fleet.iter_mut().enumerate() {
                host.read_list(own, hosts, step);
            }
        }
        if step % HEARTBEAT == 0 {
            exchange_heartbeats(&mut fleet, step);
        }
        let (mut asked, mut sent) = (0, 0);
        for host in &mut fleet {
            if step < host.away_until {
                continue;
            }
            // Some 1.3 requests a second each, as on the deployment of 85 hosts.
            if random.random_bool(0.065) {
                asked += 1;
                host.handle_request(step, &mut random);
            }
            sent += host.send_due(step);
        }
        requests.push(asked);
        retries.push(sent);
    }
    excess(&requests, &retries)
}

fn exchange_heartbeats(fleet: &mut [SimulatedHost], step: u64) {
    let now = instant(step);
    let told: Vec<(u32, usize, bool)> = fleet
        .iter()
        .map(|host| (host.side, host.size.observed(now), step >= host.away_until))
        .collect();
    for (own, host) in fleet.iter_mut().enumerate() {
        if step < host.away_until {
            continue;
        }
        for (other, (side, hosts, is_up)) in told.iter().enumerate() {
            if other != own && *is_up && *side == host.side {
                if host.heard[other].replace(step).is_none() {
                    host.size.note_heard(&host_id(other));
                }
                host.size.note_stated(now, *hosts);
            }
        }
        let peers = host.heard.iter().flatten().filter(|at| step - **at < EXPIRY).count();
        if peers > 0 {
            host.size.note_observed(now, peers + 1);
        }
    }
}

/// Returns by how many retries the worst window exceeds what its requests, those of the window before
/// or of the one half a window before allow.
fn excess(requests: &[u32], retries: &[u32]) -> f64 {
    let sum = |counts: &[u32], end: usize| -> u32 {
        counts[end.saturating_sub(WINDOW)..end].iter().sum()
    };
    let excess_at = |end: usize| {
        let ends = [end, end.saturating_sub(WINDOW / 2), end.saturating_sub(WINDOW)];
        let most = ends.into_iter().map(|end| sum(requests, end)).max().unwrap_or(0);
        f64::from(sum(retries, end)) - f64::from(most) * FLEET.ratio - FLEET.slack
    };
    (1..=requests.len()).map(excess_at).fold(f64::MIN, f64::max)
}

fn expect_within_budget(troubles: Troubles) {
    for hosts in [1, 9, 85, 300] {
        for seed in 0..4 {
            let excess = worst_excess(hosts, troubles, seed);
            expect_that!(excess, le(0.0), "{hosts} hosts, seed {seed}, {troubles:?}");
        }
    }
}

const CALM: Troubles =
    Troubles { killed: 0.0, cut_off: 0.0, frozen: 0.0, no_list: false, starts: false };

#[gtest]
fn fleet_keeps_to_its_budget_while_all_hosts_run() {
    expect_within_budget(CALM);
}

// Guards against spending that restarts forget.
#[gtest]
fn fleet_keeps_to_its_budget_while_most_hosts_restart_three_times() {
    expect_within_budget(Troubles { killed: 0.6, ..CALM });
    expect_within_budget(Troubles { killed: 1.0, ..CALM });
}

// Guards against hosts that hear nobody and take the whole slack for their own.
#[gtest]
fn fleet_keeps_to_its_budget_while_hosts_that_start_are_cut_off() {
    expect_within_budget(Troubles { killed: 0.6, cut_off: 0.7, ..CALM });
    expect_within_budget(Troubles { killed: 1.0, cut_off: 0.7, no_list: true, ..CALM });
}

#[gtest]
fn fleet_keeps_to_its_budget_while_hosts_are_cut_off_and_stand_still() {
    expect_within_budget(Troubles { cut_off: 0.7, frozen: 0.4, ..CALM });
}

// Guards against hosts that go by a list which they read before the others were registered.
#[gtest]
fn fleet_keeps_to_its_budget_while_hosts_start_one_after_another() {
    expect_within_budget(Troubles { starts: true, ..CALM });
    expect_within_budget(Troubles { starts: true, cut_off: 0.7, ..CALM });
    expect_within_budget(Troubles { starts: true, cut_off: 1.0, ..CALM });
}

// Guards against a fleet that has no retries left to it: the slack is there to be used.
#[gtest]
fn fleet_uses_its_slack_while_all_hosts_run() {
    let left = -worst_excess(85, CALM, 1);
    expect_that!(left, le(FLEET.slack / 2.0));
}
