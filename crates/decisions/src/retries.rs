//! Retry budgets, which keep retries from multiplying the load when upstreams fail.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{TeamId, UpstreamId};

/// Retries earned by one first attempt, in thousandths of a retry.
const EARNED_PER_REQUEST: u64 = 100;
/// Cost of one retry, in thousandths of a retry.
const RETRY_COST: u64 = 1_000;
/// Largest budget that can be saved up, in thousandths of a retry.
const MAX_BUDGET: u64 = 10_000;
/// Backoff before the first retry, without jitter.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Largest number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 6;

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDenial {
    /// The budget of the upstream or of the team is used up.
    Budget,
    /// The deadline passes before the backoff ends.
    Deadline,
}

/// Retry budgets of all upstreams and teams.
///
/// A first attempt earns a tenth of a retry for its team and for its upstream; a retry costs a
/// whole one of the team and of the upstream that failed. Budgets start empty, so since the start
/// of the host attempts are at most 1.1 times the requests.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    upstreams: BTreeMap<UpstreamId, u64>,
    teams: BTreeMap<TeamId, u64>,
}

impl RetryBudget {
    /// Counts the first attempt of a request of `team`, which is sent to `upstream`.
    pub fn note_request(&mut self, upstream: &UpstreamId, team: &TeamId) {
        let earn = |saved: &mut u64| *saved = (*saved + EARNED_PER_REQUEST).min(MAX_BUDGET);
        earn(self.upstreams.entry(upstream.clone()).or_default());
        earn(self.teams.entry(team.clone()).or_default());
    }

    /// Pays for a retry after an attempt at `failed` failed; returns the backoff before it.
    ///
    /// `attempt` is 1 for the first retry, `random` is uniform in 0 to 1, `remaining` is the time
    /// until the deadline.
    ///
    /// # Errors
    /// Fails if a budget is used up or the backoff is not shorter than `remaining`.
    pub fn take_retry(
        &mut self,
        failed: &UpstreamId,
        team: &TeamId,
        attempt: u32,
        random: f64,
        remaining: Duration,
    ) -> Result<Duration, RetryDenial> {
        let backoff = retry_backoff(attempt, random);
        if backoff >= remaining {
            return Err(RetryDenial::Deadline);
        }
        let upstream = self.upstreams.entry(failed.clone()).or_default();
        let team = self.teams.entry(team.clone()).or_default();
        if *upstream < RETRY_COST || *team < RETRY_COST {
            return Err(RetryDenial::Budget);
        }
        *upstream -= RETRY_COST;
        *team -= RETRY_COST;
        Ok(backoff)
    }

    /// Drops the budgets of upstreams and teams for which the predicates don't hold.
    pub fn retain<U, T>(&mut self, mut upstream_kept: U, mut team_kept: T)
    where
        U: FnMut(&UpstreamId) -> bool,
        T: FnMut(&TeamId) -> bool,
    {
        self.upstreams.retain(|upstream, _| upstream_kept(upstream));
        self.teams.retain(|team, _| team_kept(team));
    }
}

/// Returns the exponential backoff before a retry, with jitter from half to one and a half.
fn retry_backoff(attempt: u32, random: f64) -> Duration {
    let doublings = attempt.saturating_sub(1).min(MAX_DOUBLINGS);
    (FIRST_BACKOFF * 2_u32.pow(doublings)).mul_f64(0.5 + random.clamp(0.0, 1.0))
}
