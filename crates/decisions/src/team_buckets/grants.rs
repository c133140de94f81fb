//! Tokens that the leader granted and that the hosts have not reported as spent yet.
//!
//! The leader charges a grant at once. When the host reports the spending, the granted part of it
//! must not be charged again.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId};

#[derive(Clone, Copy, Debug)]
struct OpenGrant {
    incarnation: HostIncarnation,
    tokens: i64,
    at: ClockInstant,
}

/// Grants by host and team, less what was reported as spent.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenGrants {
    grants: BTreeMap<(HostId, TeamId), OpenGrant>,
}

impl OpenGrants {
    /// Adds a grant to one incarnation of a host; drops what an earlier incarnation was granted.
    pub(super) fn note(
        &mut self,
        now: ClockInstant,
        host: &HostId,
        incarnation: HostIncarnation,
        team: &TeamId,
        tokens: i64,
    ) {
        let key = (host.clone(), team.clone());
        let grant = self.grants.entry(key).or_insert(OpenGrant { incarnation, tokens: 0, at: now });
        if grant.incarnation != incarnation {
            *grant = OpenGrant { incarnation, tokens: 0, at: now };
        }
        grant.tokens = grant.tokens.saturating_add(tokens);
        grant.at = now;
    }

    /// Returns how much of the reported `spent` was granted before, and removes that much.
    pub(super) fn settle(
        &mut self,
        host: &HostId,
        incarnation: HostIncarnation,
        team: &TeamId,
        spent: i64,
    ) -> i64 {
        let key = (host.clone(), team.clone());
        let Some(grant) = self.grants.get_mut(&key) else { return 0 };
        if grant.incarnation != incarnation {
            return 0;
        }
        let settled = spent.clamp(0, grant.tokens);
        grant.tokens -= settled;
        if grant.tokens == 0 {
            self.grants.remove(&key);
        }
        settled
    }

    /// Removes grants whose last addition is older than `span`; returns their tokens, which the
    /// host never spent because the answer with the grant was lost.
    pub(super) fn expire(&mut self, now: ClockInstant, span: Duration) -> Vec<(TeamId, i64)> {
        if self.grants.is_empty() {
            return Vec::new();
        }
        let old = |grant: &OpenGrant| now.since(grant.at) >= span;
        let expired = self.grants.iter().filter(|(_, grant)| old(grant));
        let tokens = expired.map(|((_, team), grant)| (team.clone(), grant.tokens)).collect();
        self.grants.retain(|_, grant| !old(grant));
        tokens
    }
}
