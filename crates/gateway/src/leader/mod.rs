//! The leader: the one host that gives orders to runners and grants tokens to teams. It holds the
//! leader lease, a row in the platform's table.

mod lease;
mod orders;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_decisions::holdings_updates::HoldingsUpdates;
use dotterellane_decisions::leader_lease::LeaderLease;
use dotterellane_decisions::weight_plan::{HeldModel, HostDemand, RunnerReport, WeightPlan};
use dotterellane_units::{
    ClockInstant, FenceNumber, HostId, HostIncarnation, ServiceId, UpstreamId,
};

pub use self::lease::{release_lease, run_election};
pub use self::orders::run_plans;
use crate::document::RoutingDocument;
use crate::messages::{LeaseMark, RunnerHoldings};
use crate::state::Host;

/// Time without a heartbeat of the leader after which it gets no grant requests, and the first
/// candidate checks the lease.
pub const LEADER_TIMEOUT: Duration = Duration::from_millis(700);

/// This host's state as the leader or a candidate.
#[derive(Debug)]
pub struct Leadership {
    lease: LeaderLease,
    plans: BTreeMap<ServiceId, WeightPlan>,
    updates: HoldingsUpdates<(u64, Vec<HeldModel>)>,
    /// Runners that were queried, and when they may be queried again.
    next_query: BTreeMap<UpstreamId, ClockInstant>,
    /// Number of queries in flight.
    pending_queries: usize,
    is_leader: bool,
    /// When this host acquired the lease.
    acquired_at: ClockInstant,
}

/// Leadership state behind a lock. The lock must not be held across an await point nor taken while
/// the host's state is locked.
#[derive(Debug)]
pub struct SharedLeadership(Mutex<Leadership>);

impl SharedLeadership {
    /// Creates the state of a host that is not the leader.
    pub fn new(own: HostId, incarnation: HostIncarnation, gap: Duration) -> Self {
        Self(Mutex::new(Leadership {
            lease: LeaderLease::new(own, incarnation, gap),
            plans: BTreeMap::new(),
            updates: HoldingsUpdates::default(),
            next_query: BTreeMap::new(),
            pending_queries: 0,
            is_leader: false,
            acquired_at: ClockInstant::default(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, Leadership> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns what heartbeats announce of the lease; `None` unless this host holds it.
pub fn lease_mark(host: &Host) -> Option<LeaseMark> {
    let (fence, row) = host.leadership.lock().lease.held(host.now())?;
    Some(LeaseMark { fence, row })
}

/// Handles the lease announced in another host's heartbeat.
pub fn on_lease_mark(host: &Host, mark: LeaseMark) {
    host.leadership.lock().lease.on_holder_report(host.now(), mark.fence, mark.row);
}

/// Handles that the leader no longer claims the lease: the row has to be read again.
pub fn on_leader_resigned(host: &Host) {
    host.leadership.lock().lease.require_read();
}

/// Returns whether this host is the leader.
pub fn is_leader(host: &Host) -> bool {
    host.leadership.lock().is_leader
}

/// Returns when this host last acquired the lease.
pub fn acquired_at(host: &Host) -> ClockInstant {
    host.leadership.lock().acquired_at
}

/// Returns whether this host, as the leader, waits for a load to complete.
pub fn has_pending_load(host: &Host) -> bool {
    let leadership = host.leadership.lock();
    leadership.is_leader && leadership.plans.values().any(WeightPlan::is_loading)
}

/// Handles a host's demand report.
pub fn on_demand(
    host: &Host,
    from: &HostId,
    demands: &[(ServiceId, HostDemand)],
    unreachable: &[UpstreamId],
) {
    let now = host.now();
    let mut leadership = host.leadership.lock();
    if !leadership.is_leader {
        return;
    }
    for plan in leadership.plans.values_mut() {
        for runner in unreachable {
            plan.on_unreachable(now, runner);
        }
    }
    for (service, plan) in &mut leadership.plans {
        let demand = demands.iter().find(|(of, _)| of == service);
        plan.on_demand(
            now,
            from.clone(),
            demand.map(|(_, demand)| demand.clone()).unwrap_or_default(),
        );
    }
    drop(leadership);
    host.plan_wanted.notify_one();
}

/// Adopts what the leader with the fencing number `fence` says that runners hold.
pub fn adopt_holdings(host: &Host, fence: FenceNumber, holdings: Vec<RunnerHoldings>) {
    let now = host.now();
    let mut state = host.state();
    if state.leader.as_ref().is_some_and(|leader| leader.mark.fence > fence) {
        return;
    }
    for RunnerHoldings { runner, started_at, held } in holdings {
        state.directory.set_held(now, &runner, started_at, held);
    }
    drop(state);
    host.holdings_changed.notify_waiters();
}

/// Handles a new configuration.
pub fn on_document(host: &Host, document: &RoutingDocument) {
    let mut leadership = host.leadership.lock();
    if leadership.is_leader {
        set_profiles(&mut leadership, document, host.now());
    }
}

fn set_profiles(leadership: &mut Leadership, document: &RoutingDocument, now: ClockInstant) {
    let with_models =
        |service: &ServiceId| document.services.get(service).and_then(|entry| entry.models.clone());
    leadership.plans.retain(|service, _| with_models(service).is_some());
    for service in document.services.keys() {
        let Some(profile) = with_models(service) else { continue };
        match leadership.plans.get_mut(service) {
            Some(plan) => plan.set_profile(profile),
            None => {
                leadership.plans.insert(service.clone(), WeightPlan::after_takeover(now, profile));
            }
        }
    }
}

/// Handles a change of the directory, of the runners' rate limits, or of evacuations.
pub fn on_directory(host: &Host) {
    let now = host.now();
    let mut limited = BTreeSet::new();
    let mut evacuated = BTreeSet::new();
    let mut regions = BTreeMap::new();
    let mut reports: BTreeMap<ServiceId, Vec<(UpstreamId, RunnerReport)>> = BTreeMap::new();
    {
        let state = host.state();
        for (name, known) in state.directory.iter() {
            let mut report = known.entry.report.clone();
            report.draining = state.directory.is_leaving(name);
            // A cold runner is soon as good as any, so it counts as one.
            if state.directory.announced_limit(name).is_some() {
                limited.insert(name.clone());
            }
            if let Some(region) = state.directory.region_of(known) {
                regions.insert(name.clone(), region.clone());
            }
            if state.directory.is_evacuated(name) {
                evacuated.insert(name.clone());
            }
            let entry = (name.clone(), report);
            reports.entry(known.entry.service.clone()).or_default().push(entry);
        }
    }
    let mut leadership = host.leadership.lock();
    if !leadership.is_leader {
        return;
    }
    for (service, plan) in &mut leadership.plans {
        let reports = reports.remove(service).unwrap_or_default();
        plan.retain_runners(|runner| reports.iter().any(|(name, _)| name == runner));
        for (name, report) in reports {
            plan.on_row(now, &name, report);
        }
        plan.set_limited(&limited);
        plan.set_evacuated(&evacuated);
        plan.set_regions(&regions);
    }
    drop(leadership);
    host.plan_wanted.notify_one();
    host.versions_wanted.notify_one();
}
