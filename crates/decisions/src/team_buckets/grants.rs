//! Tokens that the keeper granted and that their hosts have not reported as spent yet.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, HostId, HostIncarnation, TeamId};

#[derive(Clone, Copy, Debug)]
struct OpenGrant {
    incarnation: HostIncarnation,
    tokens: i64,
    at: ClockInstant,
}

/// Open grants by host and team.
#[derive(Clone, Debug, Default)]
pub(super) struct OpenGrants {
    grants: BTreeMap<(HostId, TeamId), OpenGrant>,
}

impl OpenGrants {
    /// Notes a grant to one incarnation of a host.
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
        grant.tokens += tokens;
        grant.at = now;
    }

    /// Returns how much of `spent`, which a host reports, was granted before.
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

    /// Ends grants that were not heard of for `span`: their answers were lost. Returns the tokens that
    /// are free again.
    pub(super) fn expire(&mut self, now: ClockInstant, span: Duration) -> Vec<(TeamId, i64)> {
        if self.grants.is_empty() {
            return Vec::new();
        }
        let old = |grant: &OpenGrant| now.since(grant.at) >= span;
        let ended = self.grants.iter().filter(|(_, grant)| old(grant));
        let freed = ended.map(|((_, team), grant)| (team.clone(), grant.tokens)).collect();
        self.grants.retain(|_, grant| !old(grant));
        freed
    }
}
