//! The upstreams that the platform's directory names, and what is known of them.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_decisions::leaving_marks::{LeavingMark, LeavingMarks};
use dotterellane_decisions::send_pauses::SendPauses;
use dotterellane_decisions::weight_plan::HeldModel;
use dotterellane_units::{ClockInstant, RowVersion, ServiceId, UpstreamId};

use crate::call::{DirectoryEntry, ModelChoice};

/// Longest time for which an upstream whose row went missing after trouble of the store is used on.
pub const LAPSE_GRACE: Duration = Duration::from_millis(1_500);

/// Time after trouble of the store within which rows that lapsed meanwhile come back.
pub const RETURN_SPAN: Duration = Duration::from_millis(2_200);

/// Time for which an upstream that failed is passed over while others are sound.
pub const FAILURE_PAUSE: Duration = Duration::from_millis(1_500);

/// Time for which an upstream where nobody listens gets no requests, unless it is heard of.
pub const REFUSED_PAUSE: Duration = Duration::from_secs(4);

/// Time for which an upstream to which no connection opened in time gets no requests.
pub const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);

/// Time after a refused connection in which the directory may still show rows from before.
const UNREACHABLE_LAG: Duration = Duration::from_millis(1_500);

/// Time after the keeper told what an upstream holds in which rows do not overrule it.
const KEEPER_MEMORY: Duration = Duration::from_millis(2_800);

/// Time for which the version of a row that is gone is remembered.
const VERSION_MEMORY: Duration = Duration::from_secs(60);

/// Time for which an upstream is taken not to hold what it said that it does not hold.
const MISS_PAUSE: Duration = Duration::from_millis(400);

/// One upstream.
#[derive(Clone, Debug)]
pub struct KnownUpstream {
    /// The directory's row.
    pub entry: DirectoryEntry,
    /// Models that it holds, as the directory or the keeper said last.
    pub held: Vec<HeldModel>,
    /// When the keeper last said what it holds.
    told: Option<ClockInstant>,
    /// Until when it is used although its row is missing.
    used_until: Option<ClockInstant>,
    failed: Option<ClockInstant>,
    /// When no connection opened, and until when it gets no requests for that.
    unreachable: Option<(ClockInstant, ClockInstant)>,
    misses: BTreeMap<ModelChoice, ClockInstant>,
}

impl KnownUpstream {
    /// Tells whether rows and connections speak for sending it requests.
    fn is_usable(&self, now: ClockInstant) -> bool {
        !self.entry.report.draining
            && !self.is_unreachable(now)
            && self.used_until.is_none_or(|until| now < until)
    }

    /// Tells whether it accepted no connection a moment ago.
    fn is_unreachable(&self, now: ClockInstant) -> bool {
        self.unreachable.is_some_and(|(_, until)| now < until)
    }

    /// Tells whether it failed a moment ago.
    pub fn is_failing(&self, now: ClockInstant) -> bool {
        self.failed.is_some_and(|failed| now.since(failed) < FAILURE_PAUSE)
    }

    /// Tells whether it holds what `choice` names.
    pub fn holds(&self, choice: &ModelChoice, now: ClockInstant) -> bool {
        let missed = self.misses.get(choice).is_some_and(|at| now.since(*at) < MISS_PAUSE);
        !missed
            && self.held.iter().any(|held| {
                held.model == choice.model
                    && choice.adapter.as_ref().is_none_or(|name| held.adapters.contains(name))
            })
    }
}

/// All upstreams by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: BTreeMap<UpstreamId, KnownUpstream>,
    /// Newest version of each row, and when it was seen; also of rows that are gone.
    versions: BTreeMap<UpstreamId, (RowVersion, ClockInstant)>,
    /// Upstreams that said that they leave, whatever their rows say.
    leaving: LeavingMarks,
    /// Upstreams that want nothing from this host for a while.
    pauses: SendPauses,
}

impl Directory {
    /// Notes the version of a row; tells whether none that is newer was seen. Rows come from the store and
    /// from other hosts, so an older one may come later.
    pub fn note_version(
        &mut self,
        now: ClockInstant,
        name: &UpstreamId,
        version: RowVersion,
    ) -> bool {
        if self.versions.get(name).is_some_and(|(known, _)| version < *known) {
            return false;
        }
        self.versions.insert(name.clone(), (version, now));
        true
    }

    /// Takes in a row; a row that is older than what is known is left out. Tells whether it is used.
    pub fn put(&mut self, now: ClockInstant, name: UpstreamId, entry: DirectoryEntry) -> bool {
        let report = &entry.report;
        if let Some(known) = self.upstreams.get_mut(&name)
            && known.entry.report.born == report.born
        {
            if report.beat < known.entry.report.beat {
                known.entry.report.draining |= report.draining;
                return false;
            }
            if known.told.is_none_or(|told| now.since(told) > KEEPER_MEMORY) {
                known.held.clone_from(&report.held);
            }
            let alive = report.beat > known.entry.report.beat;
            let recent = |at: ClockInstant| now.since(at) < UNREACHABLE_LAG;
            known.unreachable = known.unreachable.filter(|(at, _)| !alive || recent(*at));
            known.entry = entry;
            known.used_until = None;
            return true;
        }
        let known = KnownUpstream {
            held: report.held.clone(),
            told: None,
            entry,
            used_until: None,
            failed: None,
            unreachable: None,
            misses: BTreeMap::new(),
        };
        self.upstreams.insert(name, known);
        true
    }

    /// Takes in that a row is gone. It may have lapsed in trouble of the store, last seen at `trouble`,
    /// and come back; after that it is gone.
    pub fn remove(&mut self, now: ClockInstant, name: &UpstreamId, trouble: Option<ClockInstant>) {
        let until = trouble.map(|trouble| (trouble + RETURN_SPAN).min(now + LAPSE_GRACE));
        match (self.upstreams.get_mut(name), until.filter(|until| *until > now)) {
            (Some(known), Some(until)) => known.used_until = known.used_until.or(Some(until)),
            _ => {
                self.upstreams.remove(name);
            }
        }
    }

    /// Drops upstreams whose rows have been gone for long.
    pub fn sweep(&mut self, now: ClockInstant) {
        self.upstreams.retain(|_, known| known.used_until.is_none_or(|until| now < until));
        self.leaving.sweep(now, |name| self.upstreams.contains_key(name));
        self.versions.retain(|name, (_, seen)| {
            now.since(*seen) < VERSION_MEMORY || self.upstreams.contains_key(name)
        });
    }

    /// Notes that an upstream, started at `born` or later, said that it leaves. Tells whether that is
    /// news.
    pub fn note_leaving(&mut self, now: ClockInstant, name: &UpstreamId, born: u64) -> bool {
        self.leaving.note(now, name, born)
    }

    /// Tells whether an upstream leaves, by its row or by what it said.
    pub fn is_leaving(&self, name: &UpstreamId) -> bool {
        self.upstreams.get(name).is_some_and(|known| {
            let report = &known.entry.report;
            report.draining || self.leaving.is_leaving(name, report.born)
        })
    }

    /// Returns the upstreams that said that they leave: all of them, or those that did so within `span`.
    pub fn leaving_marks(&self, now: ClockInstant, span: Option<Duration>) -> Vec<LeavingMark> {
        span.map_or_else(|| self.leaving.all(), |span| self.leaving.recent(now, span))
    }

    /// Notes that an upstream wants nothing from this host for `span`.
    pub fn note_pause(&mut self, now: ClockInstant, name: &UpstreamId, span: Duration) {
        self.pauses.note(now, name, span);
    }

    /// Returns when an upstream takes requests of this host again; `None` if it does now.
    pub fn pause_end(&self, now: ClockInstant, name: &UpstreamId) -> Option<ClockInstant> {
        self.pauses.end(now, name)
    }

    /// Returns when the first upstream that holds `choice` takes requests again, if all that hold it
    /// want nothing now.
    pub fn first_pause_end(
        &self,
        now: ClockInstant,
        service: &ServiceId,
        choice: Option<&ModelChoice>,
    ) -> Option<ClockInstant> {
        let holders = self.reachable(service, now);
        let mut holders =
            holders.filter(|(_, known)| choice.is_none_or(|choice| known.holds(choice, now)));
        let first = self.pause_end(now, holders.next()?.0)?;
        holders.try_fold(first, |first, (name, _)| Some(first.min(self.pause_end(now, name)?)))
    }

    /// Takes in what the keeper knows an upstream to hold.
    pub fn set_held(
        &mut self,
        now: ClockInstant,
        name: &UpstreamId,
        born: u64,
        held: Vec<HeldModel>,
    ) {
        if let Some(known) = self.upstreams.get_mut(name)
            && known.entry.report.born == born
        {
            known.held = held;
            known.told = Some(now);
        }
    }

    /// Notes that an upstream failed a request.
    pub fn note_failure(&mut self, now: ClockInstant, name: &UpstreamId) {
        if let Some(known) = self.upstreams.get_mut(name) {
            known.failed = Some(now);
        }
    }

    /// Notes that an upstream accepted no connection.
    pub fn note_unreachable(&mut self, now: ClockInstant, name: &UpstreamId, pause: Duration) {
        if let Some(known) = self.upstreams.get_mut(name) {
            known.unreachable = Some((now, now + pause));
        }
    }

    /// Returns the upstreams that accepted no connection a moment ago.
    pub fn unreachable(&self, now: ClockInstant) -> Vec<UpstreamId> {
        let unreachable = self.upstreams.iter().filter(|(_, known)| known.is_unreachable(now));
        unreachable.map(|(name, _)| name.clone()).collect()
    }

    /// Notes that an upstream does not hold a model.
    pub fn note_miss(&mut self, now: ClockInstant, name: &UpstreamId, choice: ModelChoice) {
        if let Some(known) = self.upstreams.get_mut(name) {
            known.misses.retain(|_, at| now.since(*at) < MISS_PAUSE);
            known.misses.insert(choice, now);
        }
    }

    /// Returns a digest of who may get requests and where, without what changes all the time.
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for name in self.upstreams.keys() {
            if let Some(standing) = self.standing(name) {
                hasher.update(standing.as_bytes());
            }
        }
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(digest)
    }

    /// Returns what decides whether and where an upstream gets requests, as text; `None` if no row names
    /// it.
    pub fn standing(&self, name: &UpstreamId) -> Option<String> {
        let known = self.upstreams.get(name).filter(|known| known.used_until.is_none())?;
        let entry = &known.entry;
        let (report, address) = (&entry.report, entry.address);
        Some(format!(
            "{name} {} {} {address} {} {} {}\n",
            entry.service, entry.domain, entry.slots, report.born, report.draining,
        ))
    }

    /// Returns one upstream.
    pub fn get(&self, name: &UpstreamId) -> Option<&KnownUpstream> {
        self.upstreams.get(name)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &KnownUpstream)> {
        self.upstreams.iter()
    }

    /// Tells whether an upstream may get a request of this host now.
    pub fn may_get(&self, now: ClockInstant, name: &UpstreamId) -> bool {
        let usable = self.upstreams.get(name).is_some_and(|known| known.is_usable(now));
        usable && !self.is_leaving(name) && self.pause_end(now, name).is_none()
    }

    /// Returns the upstreams of one service that may get requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceId,
        now: ClockInstant,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a KnownUpstream)> {
        let reachable = self.reachable(service, now);
        reachable.filter(move |(name, _)| self.pause_end(now, name).is_none())
    }

    /// Returns the upstreams of one service that may get requests or want a pause before.
    fn reachable<'a>(
        &'a self,
        service: &'a ServiceId,
        now: ClockInstant,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a KnownUpstream)> {
        self.upstreams.iter().filter(move |(name, known)| {
            known.entry.service == *service && known.is_usable(now) && !self.is_leaving(name)
        })
    }
}
