//! Finds a permit for a request that waits for an upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_decisions::send_permits::{PERMIT_VALIDITY, PermitRequest, SendPermit};
use dotterellane_decisions::upstream_choice::{UpstreamCandidate, choose_soonest};
use dotterellane_units::{ClockInstant, TeamId, UpstreamId};

use crate::permits::PermitOutcome;
use crate::state::HostState;

/// Fraction of the time until its deadline for which a request waits for a slot.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Interval at which a host offers a request to an upstream with a rate limit although others could
/// run it. Without requests, the upstream could not announce that its limit has ended. A cold one
/// becomes warm without that.
const OFFER_INTERVAL: Duration = Duration::from_secs(1);

/// Result of the search for a permit among upstreams with a rate limit.
#[derive(Debug)]
pub enum PermitStep {
    /// This permit is to be requested next.
    Request(PermitRequest),
    /// A permit is held, but its slot lies ahead.
    Wait,
    /// The earliest slot of all upstreams is at this time, which is too late.
    TooLate(ClockInstant),
    /// There is no upstream.
    Nothing,
}

/// The search of one request for a permit.
#[derive(Debug)]
pub struct PermitSearch {
    team: Option<TeamId>,
    priority: u8,
    deadline: ClockInstant,
    /// Time until which the request waits for an upstream.
    latest: ClockInstant,
    /// Permit for this upstream, whose slot may lie ahead.
    held: Option<(UpstreamId, SendPermit)>,
    /// Upstreams that take the request too late, with their earliest slots.
    too_late: BTreeMap<UpstreamId, ClockInstant>,
}

impl PermitSearch {
    /// Starts the search of a request of `team` that waits for an upstream until `latest`.
    pub fn new(
        team: Option<TeamId>,
        priority: u8,
        deadline: ClockInstant,
        latest: ClockInstant,
    ) -> Self {
        Self { team, priority, deadline, latest, held: None, too_late: BTreeMap::new() }
    }

    /// Returns the permit for `upstream` if its slot has come.
    pub fn due(&self, now: ClockInstant, upstream: &UpstreamId) -> Option<&SendPermit> {
        let (_, permit) = self.held.as_ref().filter(|(of, _)| of == upstream)?;
        (permit.slot <= now).then_some(permit)
    }

    /// Returns the time until the slot of the permit that is held.
    pub fn slot_in(&self, now: ClockInstant) -> Option<Duration> {
        self.held.as_ref().map(|(_, permit)| permit.slot.since(now))
    }

    /// Records the outcome of a request for a permit for `upstream`.
    pub fn record(&mut self, upstream: UpstreamId, outcome: PermitOutcome) {
        match outcome {
            PermitOutcome::Issued(permit) => self.held = Some((upstream, permit)),
            PermitOutcome::TooLate(slot) => {
                self.too_late.insert(upstream, slot);
            }
            PermitOutcome::LimitChanged => {}
        }
    }

    /// Drops a permit whose time is over, and slots that were too late and have passed: the next one
    /// is worth a question again.
    pub fn expire(&mut self, now: ClockInstant) {
        self.too_late.retain(|_, slot| *slot > now);
        self.held.take_if(|(_, permit)| permit.slot + PERMIT_VALIDITY < now);
    }

    /// Returns the next step if only upstreams with a rate limit can run the request.
    pub fn next_step(
        &self,
        state: &HostState,
        now: ClockInstant,
        limited: &[UpstreamCandidate],
    ) -> PermitStep {
        if self.held.is_some() {
            return PermitStep::Wait;
        }
        let in_time = |candidate: &&UpstreamCandidate| !self.is_too_late(candidate);
        let candidates: Vec<UpstreamCandidate> = limited.iter().filter(in_time).cloned().collect();
        let Some(chosen) = choose_soonest(&candidates) else {
            if self.becomes_open_in_time(state, now, limited) {
                return PermitStep::Wait;
            }
            let slots = limited.iter().filter_map(|candidate| self.too_late.get(&candidate.name));
            return slots.min().map_or(PermitStep::Nothing, |slot| PermitStep::TooLate(*slot));
        };
        let request = self.request(state, now, &chosen.name, self.longest_wait(now));
        request.map_or(PermitStep::Nothing, PermitStep::Request)
    }

    /// Returns the request for a permit that can be used at once, if it is time to offer a request
    /// to one of the `limited` upstreams although others can run it.
    pub fn offer(
        &self,
        state: &mut HostState,
        now: ClockInstant,
        limited: &[UpstreamCandidate],
    ) -> Option<PermitRequest> {
        if self.held.is_some() || limited.is_empty() {
            return None;
        }
        state.limited_offers.retain(|_, at| now.since(*at) < OFFER_INTERVAL);
        let is_due = |candidate: &&UpstreamCandidate| {
            state.directory.announced_limit(&candidate.name).is_some()
                && !state.limited_offers.contains_key(&candidate.name)
                && !candidate.tried
                && !self.is_too_late(candidate)
        };
        let candidates: Vec<UpstreamCandidate> = limited.iter().filter(is_due).cloned().collect();
        let upstream = choose_soonest(&candidates)?.name.clone();
        state.limited_offers.insert(upstream.clone(), now);
        self.request(state, now, &upstream, Duration::ZERO)
    }

    /// Returns whether one of the upstreams is cold, and will be warm while the request waits.
    fn becomes_open_in_time(
        &self,
        state: &HostState,
        now: ClockInstant,
        limited: &[UpstreamCandidate],
    ) -> bool {
        limited.iter().any(|candidate| {
            state.directory.announced_limit(&candidate.name).is_none()
                && state
                    .directory
                    .cold_end(now, &candidate.name)
                    .is_some_and(|end| end < self.latest.min(self.deadline))
        })
    }

    fn is_too_late(&self, candidate: &UpstreamCandidate) -> bool {
        self.too_late.contains_key(&candidate.name)
    }

    /// Returns how long the request may wait for its slot. The lower its priority, the less, so that
    /// the slots ahead are left to more urgent requests.
    fn longest_wait(&self, now: ClockInstant) -> Duration {
        let until_deadline = self.deadline.since(now).mul_f64(MAX_WAIT_FRACTION);
        let longest = until_deadline.min(self.latest.since(now));
        longest.mul_f64(2.0 / (2.0 + f64::from(self.priority)))
    }

    /// Returns the request for a permit to send to `upstream`; `None` if it has no limit.
    fn request(
        &self,
        state: &HostState,
        now: ClockInstant,
        upstream: &UpstreamId,
        longest_wait: Duration,
    ) -> Option<PermitRequest> {
        let started_at = state.directory.get(upstream)?.entry.report.started_at;
        Some(PermitRequest {
            upstream: upstream.clone(),
            started_at,
            limit: state.directory.rate_limit_of(now, upstream, started_at)?,
            team: self.team.clone(),
            longest_wait,
        })
    }
}
