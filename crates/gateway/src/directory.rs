//! The upstreams in the platform's directory, and what this host knows about them beyond their
//! rows.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_decisions::allowed_regions::AllowedRegions;
use dotterellane_decisions::brittle_upstreams::BrittleUpstreams;
use dotterellane_decisions::cold_upstreams::{ColdLimit, ColdMark, ColdUpstreams};
use dotterellane_decisions::evacuations::Evacuations;
use dotterellane_decisions::leaving_marks::{LeavingMark, LeavingMarks};
use dotterellane_decisions::rate_limits::RateLimits;
use dotterellane_decisions::send_pauses::SendPauses;
use dotterellane_decisions::weight_plan::HeldModel;
use dotterellane_units::{
    ClockInstant, DomainId, RegionId, RequestRate, RowVersion, ServiceId, UpstreamId,
};

use crate::call::{DirectoryEntry, ModelChoice};

/// Maximum time for which an upstream stays in use after its row went missing around a store
/// failure.
pub const MISSING_ROW_GRACE: Duration = Duration::from_millis(1_500);

/// Time after a store failure within which rows that expired during it are expected to come back.
pub const ROW_RECOVERY_WINDOW: Duration = Duration::from_millis(2_200);

/// Time for which an upstream that failed a request is avoided while others are available.
pub const FAILURE_COOLDOWN: Duration = Duration::from_millis(1_500);

/// Time for which an upstream that refused a connection gets no requests, unless a newer row shows
/// that it is alive.
pub const REFUSED_COOLDOWN: Duration = Duration::from_secs(4);

/// Time for which an upstream to which connecting timed out gets no requests.
pub const UNREACHABLE_COOLDOWN: Duration = Duration::from_secs(1);

/// Time after a failed connection in which a newer row may still have been written before the
/// failure.
const STALE_ROW_WINDOW: Duration = Duration::from_millis(1_500);

/// Time after a report from the leader in which rows do not override the models that it named.
const LEADER_OVERRIDE: Duration = Duration::from_millis(2_800);

/// Time for which the version of a removed row is remembered.
const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// Time for which a model is taken as not held after the upstream rejected a request for it.
const MODEL_MISS_COOLDOWN: Duration = Duration::from_millis(400);

/// An upstream with its row and this host's own observations.
#[derive(Clone, Debug)]
pub struct KnownUpstream {
    /// Newest row of the directory.
    pub entry: DirectoryEntry,
    /// Models that it holds, as last reported by the directory or the leader.
    pub held: Vec<HeldModel>,
    /// When the leader last reported what it holds.
    leader_reported_at: Option<ClockInstant>,
    /// End of its use after its row went missing; `None` while the row exists.
    grace_until: Option<ClockInstant>,
    failed_at: Option<ClockInstant>,
    /// When connecting failed, and until when it gets no requests for that.
    unreachable: Option<(ClockInstant, ClockInstant)>,
    misses: BTreeMap<ModelChoice, ClockInstant>,
}

impl KnownUpstream {
    /// Returns whether its row and recent connections allow sending it requests.
    fn is_usable(&self, now: ClockInstant) -> bool {
        self.is_listed(now) && !self.is_unreachable(now)
    }

    /// Returns whether its row, or one that may come back, allows sending it requests.
    fn is_listed(&self, now: ClockInstant) -> bool {
        !self.entry.report.draining && self.grace_until.is_none_or(|until| now < until)
    }

    /// Returns whether connecting to it failed recently.
    fn is_unreachable(&self, now: ClockInstant) -> bool {
        self.unreachable.is_some_and(|(_, until)| now < until)
    }

    /// Returns whether it failed a request recently.
    pub fn is_failing(&self, now: ClockInstant) -> bool {
        self.failed_at.is_some_and(|at| now.since(at) < FAILURE_COOLDOWN)
    }

    /// Returns whether it holds the model, and the adapter if any, of `choice`.
    pub fn holds(&self, choice: &ModelChoice, now: ClockInstant) -> bool {
        let missed = self.misses.get(choice).is_some_and(|at| now.since(*at) < MODEL_MISS_COOLDOWN);
        !missed
            && self.held.iter().any(|held| {
                held.model == choice.model
                    && choice.adapter.as_ref().is_none_or(|name| held.adapters.contains(name))
            })
    }
}

/// All known upstreams by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: BTreeMap<UpstreamId, KnownUpstream>,
    /// Newest version of each row and when it was seen, for a while also of removed rows.
    versions: BTreeMap<UpstreamId, (RowVersion, ClockInstant)>,
    /// Upstreams that announced in a response that they are leaving, whatever their rows say.
    leaving: LeavingMarks,
    /// Upstreams that asked this host to send them nothing for a while.
    pauses: SendPauses,
    /// Upstreams that announced how many requests they take from all hosts together.
    pub rate_limits: RateLimits,
    /// Upstreams that fall over if they turn too many requests away.
    pub brittle: BrittleUpstreams,
    /// Failure domains to whose upstreams nothing may be sent.
    pub evacuations: Evacuations,
    /// Upstreams that take few requests until they are warm.
    cold: ColdUpstreams,
    /// Limits of cold upstreams, by service; services that have none are not in it.
    cold_limits: BTreeMap<ServiceId, ColdLimit>,
    /// Regions of the failure domains, as far as known.
    regions: BTreeMap<DomainId, RegionId>,
}

impl Directory {
    /// Returns an empty directory of upstreams in failure domains of these regions.
    pub fn of_regions(regions: BTreeMap<DomainId, RegionId>) -> Self {
        Self { regions, ..Self::default() }
    }

    /// Records the version of a row; returns `false` if a newer version was seen before. Rows
    /// arrive from the store and from other hosts, so an older one may arrive late.
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

    /// Returns whether a row of this version is newer than all that were seen.
    pub fn is_newer(&self, name: &UpstreamId, version: RowVersion) -> bool {
        self.versions.get(name).is_none_or(|(known, _)| *known < version)
    }

    /// Updates an upstream from its row. A row with a later start time replaces all that is known, as
    /// the upstream was restarted; one with an earlier start time is ignored. A row with a lower
    /// revision than the known one is ignored, except that it may mark the upstream as draining.
    /// Returns whether the row is used.
    pub fn put(&mut self, now: ClockInstant, name: UpstreamId, entry: DirectoryEntry) -> bool {
        let report = &entry.report;
        let known_start = self.upstreams.get(&name).map(|known| known.entry.report.started_at);
        if known_start.is_some_and(|known| report.started_at < known) {
            return false;
        }
        if let Some(known) = self.upstreams.get_mut(&name)
            && known.entry.report.started_at == report.started_at
        {
            if report.revision < known.entry.report.revision {
                known.entry.report.draining |= report.draining;
                return false;
            }
            if known.leader_reported_at.is_none_or(|at| now.since(at) > LEADER_OVERRIDE) {
                known.held.clone_from(&report.held);
            }
            let is_newer = report.revision > known.entry.report.revision;
            let recent = |at: ClockInstant| now.since(at) < STALE_ROW_WINDOW;
            known.unreachable = known.unreachable.filter(|(at, _)| !is_newer || recent(*at));
            known.entry = entry;
            known.grace_until = None;
            return true;
        }
        let known = KnownUpstream {
            held: report.held.clone(),
            leader_reported_at: None,
            entry,
            grace_until: None,
            failed_at: None,
            unreachable: None,
            misses: BTreeMap::new(),
        };
        self.upstreams.insert(name, known);
        true
    }

    /// Handles the removal of an upstream's row. If the store failed recently, last at
    /// `store_failed_at`, the row may have expired meanwhile and come back; the upstream is then
    /// kept for a grace period.
    pub fn remove(
        &mut self,
        now: ClockInstant,
        name: &UpstreamId,
        store_failed_at: Option<ClockInstant>,
    ) {
        let until =
            store_failed_at.map(|at| (at + ROW_RECOVERY_WINDOW).min(now + MISSING_ROW_GRACE));
        match (self.upstreams.get_mut(name), until.filter(|until| *until > now)) {
            (Some(known), Some(until)) => known.grace_until = known.grace_until.or(Some(until)),
            _ => {
                self.upstreams.remove(name);
            }
        }
    }

    /// Removes upstreams whose grace period is over, and outdated versions and leaving marks.
    pub fn sweep(&mut self, now: ClockInstant) {
        self.upstreams.retain(|_, known| known.grace_until.is_none_or(|until| now < until));
        self.leaving.sweep(now, |name| self.upstreams.contains_key(name));
        self.rate_limits.sweep(now, |name| self.upstreams.contains_key(name));
        self.cold.sweep(now);
        self.versions.retain(|name, (_, seen)| {
            now.since(*seen) < VERSION_RETENTION || self.upstreams.contains_key(name)
        });
    }

    /// Records that an upstream, started at `started_at` or later, announced that it is
    /// leaving. Returns whether that was not known before.
    pub fn note_leaving(&mut self, now: ClockInstant, name: &UpstreamId, started_at: u64) -> bool {
        self.leaving.note(now, name, started_at)
    }

    /// Returns whether an upstream is leaving, according to its row or its own announcement.
    pub fn is_leaving(&self, name: &UpstreamId) -> bool {
        self.upstreams.get(name).is_some_and(|known| {
            let report = &known.entry.report;
            report.draining || self.leaving.is_leaving(name, report.started_at)
        })
    }

    /// Returns the upstreams that announced that they are leaving, all of them or those recorded
    /// within `span`.
    pub fn leaving_marks(&self, now: ClockInstant, span: Option<Duration>) -> Vec<LeavingMark> {
        span.map_or_else(|| self.leaving.all(), |span| self.leaving.recent(now, span))
    }

    /// Records that an upstream asked this host to send it nothing for `span`.
    pub fn note_pause(&mut self, now: ClockInstant, name: &UpstreamId, span: Duration) {
        self.pauses.note(now, name, span);
    }

    /// Returns when an upstream accepts requests of this host again; `None` if it does now.
    pub fn pause_end(&self, now: ClockInstant, name: &UpstreamId) -> Option<ClockInstant> {
        self.pauses.end(now, name)
    }

    /// Returns the rate limit of an upstream as started at `started_at`, the lower one of what it
    /// announced and of what it takes while it is cold; `None` if it has none.
    pub fn rate_limit_of(
        &self,
        now: ClockInstant,
        name: &UpstreamId,
        started_at: u64,
    ) -> Option<RequestRate> {
        let announced = self.rate_limits.limit(name, started_at);
        let cold = self.cold_limit(name).filter(|_| self.cold.is_cold(now, name, started_at));
        announced.into_iter().chain(cold.map(|limit| limit.rate)).min()
    }

    /// Returns the rate limit of an upstream as its row describes it; `None` if it has none.
    pub fn rate_limit(&self, now: ClockInstant, name: &UpstreamId) -> Option<RequestRate> {
        let known = self.upstreams.get(name)?;
        self.rate_limit_of(now, name, known.entry.report.started_at)
    }

    /// Returns the rate limit that an upstream announced itself, cold or not.
    pub fn announced_limit(&self, name: &UpstreamId) -> Option<RequestRate> {
        let known = self.upstreams.get(name)?;
        self.rate_limits.limit(name, known.entry.report.started_at)
    }

    /// Sets the limits of cold upstreams, by service.
    pub fn set_cold_limits(&mut self, limits: BTreeMap<ServiceId, ColdLimit>) {
        self.cold_limits = limits;
    }

    /// Returns the limit that an upstream has while it is cold; `None` if its service states none.
    fn cold_limit(&self, name: &UpstreamId) -> Option<ColdLimit> {
        let known = self.upstreams.get(name)?;
        self.cold_limits.get(&known.entry.service).copied()
    }

    /// Returns when an upstream is warm; `None` if it is, or if it has no limit while it is cold.
    pub fn cold_end(&self, now: ClockInstant, name: &UpstreamId) -> Option<ClockInstant> {
        self.cold_limit(name)?;
        let known = self.upstreams.get(name)?;
        self.cold.end(now, name, known.entry.report.started_at)
    }

    /// Notes that an upstream may have become cold just now, for the span that its service states,
    /// which begins after `delay`. Returns whether it was not known to be cold.
    pub fn note_possibly_cold(
        &mut self,
        now: ClockInstant,
        name: &UpstreamId,
        delay: Duration,
    ) -> bool {
        let (Some(limit), Some(known)) = (self.cold_limit(name), self.upstreams.get(name)) else {
            return false;
        };
        if limit.span.is_zero() {
            return false;
        }
        self.cold.note(now, name, known.entry.report.started_at, delay + limit.span)
    }

    /// Notes that all upstreams of a failure domain may have become cold just now, as when they come
    /// back into use. Returns those that were not known to be cold.
    pub fn note_domain_possibly_cold(
        &mut self,
        now: ClockInstant,
        domain: &DomainId,
    ) -> Vec<UpstreamId> {
        let names = self.upstreams.iter().filter(|(_, known)| known.entry.domain == *domain);
        let mut names: Vec<UpstreamId> = names.map(|(name, _)| name.clone()).collect();
        names.retain(|name| self.note_possibly_cold(now, name, Duration::ZERO));
        names
    }

    /// Notes what a new version of an upstream's row says: for how long it is cold, and whether the
    /// upstream `appeared`, so that it may have started just now. Returns whether it was not known
    /// to be cold.
    pub fn note_cold_row(&mut self, now: ClockInstant, name: &UpstreamId, appeared: bool) -> bool {
        let possibly = appeared && self.note_possibly_cold(now, name, Duration::ZERO);
        let Some(known) = self.upstreams.get(name) else { return possibly };
        let (left, started_at) = (known.entry.cold_left, known.entry.report.started_at);
        // A span beyond that of the service is an odd row, not a colder upstream.
        let longest = self.cold_limit(name).map(|limit| limit.span).filter(|span| !span.is_zero());
        let left = longest.map_or(left, |longest| left.min(longest));
        let stated = !left.is_zero() && self.cold.note(now, name, started_at, left);
        possibly || (stated && self.cold_limit(name).is_some())
    }

    /// Returns whether the row of an upstream says that it is cold, and it has a limit then.
    pub fn states_cold(&self, name: &UpstreamId) -> bool {
        let stated = |known: &KnownUpstream| !known.entry.cold_left.is_zero();
        self.upstreams.get(name).is_some_and(stated) && self.cold_limit(name).is_some()
    }

    /// Notes another host's report of a cold upstream; returns whether that was not known.
    pub fn absorb_cold(&mut self, now: ClockInstant, mark: &ColdMark) -> bool {
        self.cold.absorb(now, mark) && self.cold_limit(&mark.upstream).is_some()
    }

    /// Returns what other hosts are told of an upstream that is cold; `None` if it is not, or if it
    /// has no limit then.
    pub fn cold_mark(&self, now: ClockInstant, name: &UpstreamId) -> Option<ColdMark> {
        self.cold_limit(name)?;
        self.cold.mark(now, name)
    }

    /// Returns the marks of all upstreams that are cold and have a limit then.
    pub fn cold_marks(&self, now: ClockInstant) -> impl Iterator<Item = ColdMark> {
        self.cold.marks(now).filter(|mark| self.cold_limit(&mark.upstream).is_some())
    }

    /// Returns the earliest end of a pause of an upstream that holds `choice`; `None` if none of
    /// them has asked for one.
    pub fn next_pause_end(
        &self,
        now: ClockInstant,
        service: &ServiceId,
        choice: Option<&ModelChoice>,
        regions: &AllowedRegions,
    ) -> Option<ClockInstant> {
        let holders = self.holders(now, service, choice, regions);
        holders.filter_map(|(name, _)| self.pause_end(now, name)).min()
    }

    /// Returns the earliest time at which an upstream that holds `choice` accepts requests again;
    /// `None` if there is no such upstream or one accepts them now.
    pub fn first_pause_end(
        &self,
        now: ClockInstant,
        service: &ServiceId,
        choice: Option<&ModelChoice>,
        regions: &AllowedRegions,
    ) -> Option<ClockInstant> {
        let mut holders = self.holders(now, service, choice, regions);
        let first = self.pause_end(now, holders.next()?.0)?;
        holders.try_fold(first, |first, (name, _)| Some(first.min(self.pause_end(now, name)?)))
    }

    /// Sets the models that an upstream holds, as reported by the leader. Ignored if the upstream
    /// was restarted since.
    pub fn set_held(
        &mut self,
        now: ClockInstant,
        name: &UpstreamId,
        started_at: u64,
        held: Vec<HeldModel>,
    ) {
        if let Some(known) = self.upstreams.get_mut(name)
            && known.entry.report.started_at == started_at
        {
            known.held = held;
            known.leader_reported_at = Some(now);
        }
    }

    /// Records that an upstream failed a request.
    pub fn note_failure(&mut self, now: ClockInstant, name: &UpstreamId) {
        if let Some(known) = self.upstreams.get_mut(name) {
            known.failed_at = Some(now);
        }
    }

    /// Records that connecting to an upstream failed; it gets no requests for `pause`.
    pub fn note_unreachable(&mut self, now: ClockInstant, name: &UpstreamId, pause: Duration) {
        if let Some(known) = self.upstreams.get_mut(name) {
            known.unreachable = Some((now, now + pause));
        }
    }

    /// Forgets that connecting to upstreams failed, as that lay with this host.
    pub fn forget_unreachable(&mut self) {
        self.upstreams.values_mut().for_each(|known| known.unreachable = None);
    }

    /// Returns the upstreams to which connecting failed recently.
    pub fn unreachable(&self, now: ClockInstant) -> Vec<UpstreamId> {
        let unreachable = self.upstreams.iter().filter(|(_, known)| known.is_unreachable(now));
        unreachable.map(|(name, _)| name.clone()).collect()
    }

    /// Records that an upstream rejected a request as it does not hold the model.
    pub fn note_miss(&mut self, now: ClockInstant, name: &UpstreamId, choice: ModelChoice) {
        if let Some(known) = self.upstreams.get_mut(name) {
            known.misses.retain(|_, at| now.since(*at) < MODEL_MISS_COOLDOWN);
            known.misses.insert(choice, now);
        }
    }

    /// Returns a digest of the fields that decide which upstreams get requests, leaving out those
    /// that change all the time. Hosts compare it to find out whether their directories agree.
    pub fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        for name in self.upstreams.keys() {
            if let Some(routing_summary) = self.routing_summary(name) {
                hasher.update(routing_summary.as_bytes());
            }
        }
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(digest)
    }

    /// Returns the fields that decide whether and where an upstream gets requests, as text; `None`
    /// if it has no row.
    pub fn routing_summary(&self, name: &UpstreamId) -> Option<String> {
        let known = self.upstreams.get(name).filter(|known| known.grace_until.is_none())?;
        let entry = &known.entry;
        let (report, address) = (&entry.report, entry.address);
        Some(format!(
            "{name} {} {} {address} {} {} {} {:?}\n",
            entry.service,
            entry.domain,
            entry.slots,
            report.started_at,
            report.draining,
            entry.version,
        ))
    }

    /// Returns the upstream with this name.
    pub fn get(&self, name: &UpstreamId) -> Option<&KnownUpstream> {
        self.upstreams.get(name)
    }

    /// Returns all upstreams, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, &KnownUpstream)> {
        self.upstreams.iter()
    }

    /// Returns whether an upstream may get a request of this host now.
    pub fn may_get(&self, now: ClockInstant, name: &UpstreamId) -> bool {
        let usable = self.upstreams.get(name).is_some_and(|known| known.is_usable(now));
        usable
            && !self.is_leaving(name)
            && !self.is_evacuated(name)
            && self.pause_end(now, name).is_none()
    }

    /// Returns whether the upstream is in an evacuated failure domain.
    pub fn is_evacuated(&self, name: &UpstreamId) -> bool {
        let known = self.upstreams.get(name);
        known.is_some_and(|known| self.evacuations.is_evacuated(&known.entry.domain))
    }

    /// Returns the region of an upstream; `None` if it is unknown.
    pub fn region_of(&self, known: &KnownUpstream) -> Option<&RegionId> {
        self.regions.get(&known.entry.domain)
    }

    /// Returns whether an upstream is in a region that `regions` allow.
    pub fn is_in(&self, known: &KnownUpstream, regions: &AllowedRegions) -> bool {
        regions.allow(self.region_of(known))
    }

    /// Returns why no upstream of `service` may get a request that may run in `regions`, whichever
    /// models are loaded: there is none in them, or all in them are in evacuated failure domains.
    /// `None` if one may, or if there is none at all where any region is allowed.
    pub fn displacement(
        &self,
        now: ClockInstant,
        service: &ServiceId,
        regions: &AllowedRegions,
    ) -> Option<&'static str> {
        let listed = self.listed(service, now).filter(|(_, known)| self.is_in(known, regions));
        let mut listed = listed.peekable();
        if listed.peek().is_none() {
            return regions.is_restricted().then_some("no_upstream_in_region");
        }
        listed.all(|(name, _)| self.is_evacuated(name)).then_some("evacuated")
    }

    /// Returns the upstreams of a service that may get requests now.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceId,
        now: ClockInstant,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a KnownUpstream)> {
        let reachable = self.reachable(service, now);
        reachable.filter(move |(name, _)| self.pause_end(now, name).is_none())
    }

    /// Returns the upstreams of a service that hold `choice` and may get requests now or after a
    /// pause that they asked for.
    fn holders<'a>(
        &'a self,
        now: ClockInstant,
        service: &'a ServiceId,
        choice: Option<&'a ModelChoice>,
        regions: &'a AllowedRegions,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a KnownUpstream)> {
        let reachable = self.reachable(service, now);
        let reachable = reachable.filter(|(_, known)| self.is_in(known, regions));
        reachable.filter(move |(_, known)| choice.is_none_or(|choice| known.holds(choice, now)))
    }

    /// Returns the upstreams of a service that may get requests now or after a pause that they
    /// asked for.
    fn reachable<'a>(
        &'a self,
        service: &'a ServiceId,
        now: ClockInstant,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a KnownUpstream)> {
        self.serving(service, now).filter(|(name, _)| !self.is_evacuated(name))
    }

    /// Returns the upstreams of `service` that are listed and do not leave, whether or not they are
    /// evacuated or could be reached last.
    fn listed<'a>(
        &'a self,
        service: &'a ServiceId,
        now: ClockInstant,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a KnownUpstream)> {
        self.upstreams.iter().filter(move |(name, known)| {
            known.entry.service == *service && known.is_listed(now) && !self.is_leaving(name)
        })
    }

    /// Returns the upstreams of `service` that can be reached and do not leave, whether or not they
    /// are evacuated.
    fn serving<'a>(
        &'a self,
        service: &'a ServiceId,
        now: ClockInstant,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a KnownUpstream)> {
        self.upstreams.iter().filter(move |(name, known)| {
            known.entry.service == *service && known.is_usable(now) && !self.is_leaving(name)
        })
    }
}
