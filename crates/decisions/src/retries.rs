//! Budgets that keep retries from multiplying load when upstreams fail.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{TeamId, UpstreamId};

/// Retries earned by one first attempt, in thousandths.
const EARNED_PER_REQUEST: u64 = 100;
/// Cost of one retry, in thousandths.
const RETRY_COST: u64 = 1_000;
/// Most that can be saved up, in thousandths.
const MAX_SAVED: u64 = 10_000;
/// Delay before the first retry.
const FIRST_DELAY: Duration = Duration::from_millis(50);
/// Most doublings of the delay.
const MAX_DOUBLINGS: u32 = 6;

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDenial {
    /// The upstreams or the team used their retries up.
    Budget,
    /// The deadline comes before the retry could start.
    Deadline,
}

/// Retries that each upstream and each team has left.
///
/// A first attempt earns a tenth of a retry for its team and for its upstream, a retry costs a
/// whole one of the team and of the upstream that failed. Budgets start empty, so that over any
/// time the attempts sent are at most 1.1 times the requests.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    upstreams: BTreeMap<UpstreamId, u64>,
    teams: BTreeMap<TeamId, u64>,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn note_request(&mut self, upstream: &UpstreamId, team: &TeamId) {
        let earn = |saved: &mut u64| *saved = (*saved + EARNED_PER_REQUEST).min(MAX_SAVED);
        earn(self.upstreams.entry(upstream.clone()).or_default());
        earn(self.teams.entry(team.clone()).or_default());
    }

    /// Asks for a retry after `failed` failed; `attempt` is 1 for the first retry, `random` is
    /// uniform in 0 to 1, `remaining` is the time to the deadline. Returns the delay before it.
    ///
    /// # Errors
    /// Fails if a budget is used up or the time does not suffice.
    pub fn take_retry(
        &mut self,
        failed: &UpstreamId,
        team: &TeamId,
        attempt: u32,
        random: f64,
        remaining: Duration,
    ) -> Result<Duration, RetryDenial> {
        let delay = retry_delay(attempt, random);
        if delay >= remaining {
            return Err(RetryDenial::Deadline);
        }
        let upstream = self.upstreams.entry(failed.clone()).or_default();
        let team = self.teams.entry(team.clone()).or_default();
        if *upstream < RETRY_COST || *team < RETRY_COST {
            return Err(RetryDenial::Budget);
        }
        *upstream -= RETRY_COST;
        *team -= RETRY_COST;
        Ok(delay)
    }

    /// Forgets upstreams and teams that `kept` does not name.
    pub fn retain<U, T>(&mut self, mut upstream_kept: U, mut team_kept: T)
    where
        U: FnMut(&UpstreamId) -> bool,
        T: FnMut(&TeamId) -> bool,
    {
        self.upstreams.retain(|upstream, _| upstream_kept(upstream));
        self.teams.retain(|team, _| team_kept(team));
    }
}

/// Returns the delay before a retry: doubled with each, spread over half to one and a half.
fn retry_delay(attempt: u32, random: f64) -> Duration {
    let doublings = attempt.saturating_sub(1).min(MAX_DOUBLINGS);
    (FIRST_DELAY * 2_u32.pow(doublings)).mul_f64(0.5 + random.clamp(0.0, 1.0))
}
