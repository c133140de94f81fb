//! Rate limits that upstreams announce: how many requests per second they take from all hosts
//! together.
//!
//! Hosts report what they learn to each other. Of two announcements, the one in the response to the
//! later request counts, so that a slow response cannot undo a newer one. A limit has no expiry: a
//! later response without one ends it, or a new start of the upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_units::{ClockInstant, RequestRate, UpstreamId};

/// Limits from which on an upstream counts as not limited; above what a whole fleet sends.
const MAX_ENFORCED_RATE: RequestRate = RequestRate::per_second(10_000);

/// Time for which the end of a limit, and the limit of an unlisted upstream, are remembered.
const RETENTION: Duration = Duration::from_secs(600);

/// What an upstream last announced about its limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitEntry {
    /// Start time of the upstream, in milliseconds, as its row states it.
    pub started_at: u64,
    /// The limit; `None` if it has ended.
    pub limit: Option<RequestRate>,
    /// When the request was sent whose response announced this.
    pub asked_at: ClockInstant,
    /// When the other hosts were last known to need this.
    noted: ClockInstant,
}

/// Effect of an announcement on what is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// The limit is new, another one than before, or has ended.
    Changed,
    /// The announcement says what is known.
    Confirmed,
    /// A newer announcement is known, or the upstream has no limit to end.
    Ignored,
}

/// The announced limits of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    entries: BTreeMap<UpstreamId, LimitEntry>,
}

impl RateLimits {
    /// Notes what `upstream`, started at `started_at`, announced in its response to a request sent
    /// at `asked_at`: a limit, or none.
    pub fn note(
        &mut self,
        now: ClockInstant,
        upstream: &UpstreamId,
        started_at: u64,
        limit: Option<RequestRate>,
        asked_at: ClockInstant,
    ) -> LimitChange {
        let limit = limit.filter(|limit| *limit < MAX_ENFORCED_RATE);
        let entry = LimitEntry { started_at, limit, asked_at, noted: now };
        let Some(known) = self.entries.get_mut(upstream) else {
            if limit.is_none() {
                return LimitChange::Ignored;
            }
            self.entries.insert(upstream.clone(), entry);
            return LimitChange::Changed;
        };
        if (started_at, asked_at) < (known.started_at, known.asked_at) {
            // Whoever reported this does not know the newer announcement.
            if known.limit != limit {
                known.noted = now;
            }
            return LimitChange::Ignored;
        }
        if known.limit == limit && known.started_at == started_at {
            known.asked_at = asked_at;
            return LimitChange::Confirmed;
        }
        *known = entry;
        LimitChange::Changed
    }

    /// Returns the limit of `upstream` as started at `started_at`; `None` if it has none. A limit
    /// announced by a later start also holds, as the caller's row is out of date.
    pub fn limit(&self, upstream: &UpstreamId, started_at: u64) -> Option<RequestRate> {
        let entry = self.entries.get(upstream).filter(|entry| started_at <= entry.started_at)?;
        entry.limit
    }

    /// Returns what is known of `upstream`.
    pub fn get(&self, upstream: &UpstreamId) -> Option<&LimitEntry> {
        self.entries.get(upstream)
    }

    /// Returns what was noted within the last `span`, or everything without a span.
    pub fn recent(
        &self,
        now: ClockInstant,
        span: Option<Duration>,
    ) -> impl Iterator<Item = (&UpstreamId, &LimitEntry)> {
        self.entries
            .iter()
            .filter(move |(_, entry)| span.is_none_or(|span| now.since(entry.noted) < span))
    }

    /// Drops limits that have ended, and those of upstreams that are not listed in the directory,
    /// once they are old enough.
    pub fn sweep<L>(&mut self, now: ClockInstant, mut is_listed: L)
    where
        L: FnMut(&UpstreamId) -> bool,
    {
        self.entries.retain(|upstream, entry| {
            let is_recent = now.since(entry.noted.max(entry.asked_at)) < RETENTION;
            is_recent || (entry.limit.is_some() && is_listed(upstream))
        });
    }
}
