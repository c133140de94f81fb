//! The upstreams that the platform's directory names, and what is known of them.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_decisions::weight_plan::HeldModel;
use dotterellane_units::{ClockInstant, ServiceId, UpstreamId};

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
    /// Tells whether it may get requests.
    pub fn is_usable(&self, now: ClockInstant) -> bool {
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
}

impl Directory {
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
        let listed = self.upstreams.iter().filter(|(_, known)| known.used_until.is_none());
        for (name, known) in listed {
            let entry = &known.entry;
            let (report, address) = (&entry.report, entry.address);
            let text = format!(
                "{name} {} {} {address} {} {} {}\n",
                entry.service, entry.domain, entry.places, report.born, report.draining,
            );
            hasher.update(text.as_bytes());
        }
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(digest)
    }

    /// Returns one upstream.
    pub fn get(&self, name: &UpstreamId) -> Option<&KnownUpstream> {
        self.upstreams.get(name)
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &KnownUpstream)> {
        self.upstreams.iter()
    }

    /// Returns the upstreams of one service that may get requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceId,
        now: ClockInstant,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a KnownUpstream)> {
        let of_service =
            move |known: &KnownUpstream| known.entry.service == *service && known.is_usable(now);
        self.upstreams.iter().filter(move |(_, known)| of_service(known))
    }
}
