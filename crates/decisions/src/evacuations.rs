//! Failure domains that operators asked to evacuate: nothing more is sent to their upstreams.
//!
//! An operator asks by a row of the store and takes it back by removing that row. Only this ends an
//! evacuation: a tombstone, or a later snapshot of the same era of the store that lacks the row. In
//! a store that came back from an older copy, a missing row shows nothing. What hosts tell each
//! other carries the version at which it held; the later version wins, so that it may arrive late,
//! twice or out of order.

use std::collections::BTreeMap;

use dotterellane_units::{ClockInstant, DomainId, RowVersion, StoreEra};
use serde::{Deserialize, Serialize};

/// Maximum number of failure domains that are remembered as no longer evacuated.
const MAX_ENDED: usize = 32;

/// Maximum number of reports in one message.
const MAX_REPORTS: usize = 64;

/// What the store said of one failure domain, as hosts report it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EvacuationReport {
    /// The failure domain.
    pub domain: DomainId,
    /// Version of the row, of its tombstone, or of the snapshot that lacked it.
    pub version: RowVersion,
    /// Whether the row was there.
    pub is_asked: bool,
}

/// A change of what is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: DomainId,
    /// Version of the store that shows the change.
    pub version: RowVersion,
    /// What changed.
    pub kind: EvacuationChangeKind,
}

/// What changed about an evacuation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationChangeKind {
    /// It is in force from now on.
    Begun,
    /// It is in force from now on although it was taken back before: the store came back from an
    /// older copy that has the row, or an operator asked again.
    BegunAgain,
    /// An operator took it back.
    Ended,
    /// It stays in force although the store came back from an older copy that lacks its row.
    RowMissing,
}

#[derive(Clone, Copy, Debug)]
struct EvacuationRecord {
    version: RowVersion,
    is_asked: bool,
    since: ClockInstant,
    /// Last era in which a snapshot lacked the row.
    missing_in: Option<StoreEra>,
}

/// The evacuations that one host knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    records: BTreeMap<DomainId, EvacuationRecord>,
}

impl Evacuations {
    /// Applies what the store or another host said of one failure domain; older reports are
    /// ignored. Returns what changed.
    pub fn on_report(
        &mut self,
        now: ClockInstant,
        report: &EvacuationReport,
    ) -> Option<EvacuationChange> {
        let EvacuationReport { domain, version, is_asked } = report;
        let known = self.records.get(domain).copied();
        // If both have the same version, what was asked for holds.
        if known.is_some_and(|known| (known.version, known.is_asked) >= (*version, *is_asked)) {
            return None;
        }
        let was_asked = known.is_some_and(|known| known.is_asked);
        let since = known.filter(|_| was_asked == *is_asked).map_or(now, |known| known.since);
        let record =
            EvacuationRecord { version: *version, is_asked: *is_asked, since, missing_in: None };
        self.records.insert(domain.clone(), record);
        self.forget_ended();
        let kind = match (was_asked, *is_asked) {
            (false, true) if known.is_some() => EvacuationChangeKind::BegunAgain,
            (false, true) => EvacuationChangeKind::Begun,
            (true, false) => EvacuationChangeKind::Ended,
            (true, true) | (false, false) => return None,
        };
        Some(EvacuationChange { domain: domain.clone(), version: *version, kind })
    }

    /// Applies a snapshot of all rows as of `version`. Returns what changed.
    pub fn on_snapshot(
        &mut self,
        now: ClockInstant,
        version: RowVersion,
        rows: &[(DomainId, RowVersion)],
    ) -> Vec<EvacuationChange> {
        let asked = rows.iter().map(|(domain, version)| EvacuationReport {
            domain: domain.clone(),
            version: *version,
            is_asked: true,
        });
        let mut reports: Vec<EvacuationReport> = asked.collect();
        let mut changes = Vec::new();
        let is_listed = |domain: &DomainId| rows.iter().any(|(listed, _)| listed == domain);
        let in_force = self.records.iter_mut().filter(|(_, record)| record.is_asked);
        for (domain, record) in in_force.filter(|(domain, _)| !is_listed(domain)) {
            let domain = domain.clone();
            if record.version.era == version.era && record.version <= version {
                reports.push(EvacuationReport { domain, version, is_asked: false });
            } else if record.version.era < version.era && record.missing_in != Some(version.era) {
                record.missing_in = Some(version.era);
                let kind = EvacuationChangeKind::RowMissing;
                changes.push(EvacuationChange { domain, version, kind });
            }
        }
        changes.extend(reports.iter().filter_map(|report| self.on_report(now, report)));
        changes
    }

    /// Returns whether nothing may be sent to the upstreams of `domain`.
    pub fn is_evacuated(&self, domain: &DomainId) -> bool {
        self.records.get(domain).is_some_and(|record| record.is_asked)
    }

    /// Returns the evacuated failure domains, each with the time at which this host learned of it.
    pub fn in_force(&self) -> impl Iterator<Item = (&DomainId, ClockInstant)> {
        let asked = self.records.iter().filter(|(_, record)| record.is_asked);
        asked.map(|(domain, record)| (domain, record.since))
    }

    /// Returns all that is known, to be told to other hosts. What has ended is part of it: another
    /// host may know only the beginning.
    pub fn reports(&self) -> Vec<EvacuationReport> {
        let (in_force, ended): (Vec<_>, Vec<_>) =
            self.records.iter().partition(|(_, record)| record.is_asked);
        let reports = in_force.into_iter().chain(ended).map(|(domain, record)| EvacuationReport {
            domain: domain.clone(),
            version: record.version,
            is_asked: record.is_asked,
        });
        reports.take(MAX_REPORTS).collect()
    }

    /// Forgets the oldest of those that ended if there are too many.
    fn forget_ended(&mut self) {
        let ended = || self.records.iter().filter(|(_, record)| !record.is_asked);
        if ended().count() <= MAX_ENDED {
            return;
        }
        let oldest = ended().min_by_key(|(_, record)| record.version);
        if let Some(domain) = oldest.map(|(domain, _)| domain.clone()) {
            self.records.remove(&domain);
        }
    }
}
