//! Which software versions serve a service, and which did a short while ago.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterellane_units::{ServiceId, SoftwareVersion, StoreEra, StoreInstant};
use serde::{Deserialize, Serialize};

use super::{STREAM_LIFETIME, VERSION_SETTLE};

/// Longest time for which a write whose answer was lost may still take effect.
const LATE_WRITE_BOUND: Duration = Duration::from_secs(10);

/// Time before the expiry of a version at which some host may already count it as expired.
const EXPIRY_MARGIN: Duration = Duration::from_secs(5);

/// The software versions that each service's upstreams run now; `None` for an unknown one.
pub type VersionMap = BTreeMap<ServiceId, BTreeSet<Option<SoftwareVersion>>>;

/// A software version that serves a service, or did.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServedVersion {
    /// The version; `None` for an unknown one, which equals no other.
    pub version: Option<SoftwareVersion>,
    /// Time from which streams may begin there.
    pub usable_from: StoreInstant,
    /// Time since when no upstream runs it; `None` while one does.
    pub gone_since: Option<StoreInstant>,
}

/// The software versions of all services, as the leader writes them to the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VersionHistory {
    /// Era of the store in which it was written, to which its times belong.
    pub era: StoreEra,
    /// Time since when all versions are recorded; zero if nothing was served before.
    pub complete_since: StoreInstant,
    /// Versions by service.
    pub services: BTreeMap<ServiceId, Vec<ServedVersion>>,
}

impl VersionHistory {
    /// Creates a history that starts at `complete_since`.
    pub fn new(era: StoreEra, complete_since: StoreInstant) -> Self {
        Self { era, complete_since, services: BTreeMap::new() }
    }

    /// Returns the history with the versions that serve at `now`; `None` if it is the same.
    pub fn updated(&self, now: StoreInstant, present: &VersionMap) -> Option<Self> {
        let mut next = self.clone();
        for (service, versions) in &mut next.services {
            let present = present.get(service);
            for served in versions.iter_mut() {
                let is_present = present.is_some_and(|present| present.contains(&served.version));
                let may_be_expired = served
                    .gone_since
                    .is_some_and(|since| elapsed(now, since) + EXPIRY_MARGIN >= STREAM_LIFETIME);
                if is_present && may_be_expired {
                    served.usable_from = settled_at(now);
                }
                served.gone_since = if is_present { None } else { served.gone_since.or(Some(now)) };
            }
        }
        for (service, versions) in present {
            let known = next.services.entry(service.clone()).or_default();
            let is_first = known.is_empty();
            for version in versions {
                if !known.iter().any(|served| served.version == *version) {
                    known.push(first_use(now, version.clone(), is_first));
                }
            }
        }
        if next == *self {
            return None;
        }
        next.drop_expired(now);
        Some(next)
    }

    /// Returns the history in a later era of the store, whose clock shows `now` where the one before
    /// would have shown `before`.
    #[must_use]
    pub fn carried_over(&self, era: StoreEra, before: StoreInstant, now: StoreInstant) -> Self {
        let shift = |at: StoreInstant| match at {
            StoreInstant(0) => at,
            at => StoreInstant(now.0.saturating_sub(before.0.saturating_sub(at.0)).max(1)),
        };
        let mut next = self.clone();
        next.era = era;
        next.complete_since = shift(next.complete_since);
        for served in next.services.values_mut().flatten() {
            served.usable_from = shift(served.usable_from);
            served.gone_since = served.gone_since.map(shift);
        }
        next
    }

    /// Returns the history as a new leader writes it: what was added shortly before may have been
    /// written late and settles again.
    #[must_use]
    pub fn settled_again(&self, now: StoreInstant) -> Self {
        let mut next = self.clone();
        for served in next.services.values_mut().flatten() {
            if served.usable_from != StoreInstant(0)
                && elapsed(now, served.usable_from) < LATE_WRITE_BOUND
            {
                served.usable_from = settled_at(now);
            }
        }
        next
    }

    fn drop_expired(&mut self, now: StoreInstant) {
        for versions in self.services.values_mut() {
            versions.retain(|served| !is_expired(served, now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Returns whether a stream of `service` may begin at `version`. A history that the leader did
    /// not announce may have been written late; its versions settle for longer.
    pub fn is_usable(
        &self,
        service: &ServiceId,
        version: Option<&SoftwareVersion>,
        now: StoreInstant,
        is_announced: bool,
    ) -> bool {
        let margin = if is_announced { Duration::ZERO } else { LATE_WRITE_BOUND };
        let serves = |served: &ServedVersion| {
            let is_settled = served.usable_from == StoreInstant(0)
                || (served.usable_from <= now && elapsed(now, served.usable_from) >= margin);
            served.version.as_ref() == version && served.gone_since.is_none() && is_settled
        };
        self.services.get(service).is_some_and(|versions| versions.iter().any(serves))
    }

    /// Returns whether no upstream of `service` runs `version` any more.
    pub fn is_gone(&self, service: &ServiceId, version: &SoftwareVersion) -> bool {
        let runs = |served: &ServedVersion| {
            served.version.as_ref() == Some(version) && served.gone_since.is_none()
        };
        !self.services.get(service).is_some_and(|versions| versions.iter().any(runs))
    }

    /// Returns the version that began every stream of `service` that may still be resumed; `None` if
    /// several may have.
    pub fn sole_version(&self, service: &ServiceId, now: StoreInstant) -> Option<&SoftwareVersion> {
        let is_complete = self.complete_since == StoreInstant(0)
            || elapsed(now, self.complete_since) >= STREAM_LIFETIME;
        let versions = self.services.get(service).filter(|_| is_complete)?;
        let mut recent = versions.iter().filter(|served| !is_expired(served, now));
        let sole = recent.next()?;
        if recent.next().is_some() { None } else { sole.version.as_ref() }
    }
}

/// Returns the entry of a version that is seen for the first time. Where none has served before,
/// nothing has to settle.
fn first_use(now: StoreInstant, version: Option<SoftwareVersion>, is_first: bool) -> ServedVersion {
    let usable_from = if is_first { StoreInstant(0) } else { settled_at(now) };
    ServedVersion { version, usable_from, gone_since: None }
}

/// Returns when a version that is written at `now` has settled.
fn settled_at(now: StoreInstant) -> StoreInstant {
    let settle = u64::try_from(VERSION_SETTLE.as_millis()).unwrap_or(u64::MAX);
    StoreInstant(now.0.saturating_add(settle))
}

fn is_expired(served: &ServedVersion, now: StoreInstant) -> bool {
    served.gone_since.is_some_and(|since| elapsed(now, since) >= STREAM_LIFETIME)
}

fn elapsed(now: StoreInstant, since: StoreInstant) -> Duration {
    Duration::from_millis(now.0.saturating_sub(since.0))
}
