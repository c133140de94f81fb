//! The keeper: the one host that gives orders to runners and grants tokens of teams, by a lease in the
//! platform's table.

mod lease;
mod orders;

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_decisions::holdings_updates::HoldingsUpdates;
use dotterellane_decisions::leader_lease::LeaderLease;
use dotterellane_decisions::weight_plan::{HeldModel, HostDemand, RunnerReport, WeightPlan};
use dotterellane_units::{
    ClockInstant, FenceNumber, HostId, HostIncarnation, ServiceId, UpstreamId,
};

pub use self::lease::{keep_lease, release};
pub use self::orders::carry_out_plans;
use crate::document::RoutingDocument;
use crate::messages::{KeeperMark, RunnerHoldings};
use crate::state::Host;

/// Time without a beat of the keeper after which it is not asked, and the first candidate looks at the
/// lease.
pub const KEEPER_SILENCE: Duration = Duration::from_millis(700);

/// What this host knows as keeper or candidate.
#[derive(Debug)]
pub struct KeeperDesk {
    lease: LeaderLease,
    plans: BTreeMap<ServiceId, WeightPlan>,
    news: HoldingsUpdates<(u64, Vec<HeldModel>)>,
    /// Runners that were asked what they hold, and when they may be asked again.
    asked: BTreeMap<UpstreamId, ClockInstant>,
    /// Questions that wait for an answer.
    asking: usize,
    keeping: bool,
    /// When this host took the lease.
    taken: ClockInstant,
}

/// The desk of a host; locked only between two waits, never while the host's state is.
#[derive(Debug)]
pub struct SharedDesk(Mutex<KeeperDesk>);

impl SharedDesk {
    /// Returns the desk of a host that does not keep.
    pub fn new(own: HostId, incarnation: HostIncarnation, gap: Duration) -> Self {
        Self(Mutex::new(KeeperDesk {
            lease: LeaderLease::new(own, incarnation, gap),
            plans: BTreeMap::new(),
            news: HoldingsUpdates::default(),
            asked: BTreeMap::new(),
            asking: 0,
            keeping: false,
            taken: ClockInstant::default(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, KeeperDesk> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the mark that beats carry while this host holds the lease.
pub fn mark(host: &Host) -> Option<KeeperMark> {
    let (fence, row) = host.desk.lock().lease.held(host.now())?;
    Some(KeeperMark { fence, row })
}

/// Takes in the mark of another host's beat.
pub fn on_mark(host: &Host, mark: KeeperMark) {
    host.desk.lock().lease.on_holder_report(host.now(), mark.fence, mark.row);
}

/// Takes in that the keeper no longer claims the lease: its row has to be looked at.
pub fn on_given_up(host: &Host) {
    host.desk.lock().lease.require_read();
}

/// Tells whether this host holds the lease.
pub fn is_keeping(host: &Host) -> bool {
    host.desk.lock().keeping
}

/// Tells whether this host waits for a load to end.
pub fn is_loading(host: &Host) -> bool {
    let desk = host.desk.lock();
    desk.keeping && desk.plans.values().any(WeightPlan::is_loading)
}

/// Takes in what a host asks for.
pub fn on_demand(
    host: &Host,
    from: &HostId,
    demands: &[(ServiceId, HostDemand)],
    unreachable: &[UpstreamId],
) {
    let now = host.now();
    let mut desk = host.desk.lock();
    if !desk.keeping {
        return;
    }
    for plan in desk.plans.values_mut() {
        for runner in unreachable {
            plan.on_unreachable(now, runner);
        }
    }
    for (service, plan) in &mut desk.plans {
        let demand = demands.iter().find(|(of, _)| of == service);
        plan.on_demand(
            now,
            from.clone(),
            demand.map(|(_, demand)| demand.clone()).unwrap_or_default(),
        );
    }
    drop(desk);
    host.plan_wanted.notify_one();
}

/// Takes in what the keeper says that runners hold.
pub fn adopt_holdings(host: &Host, fence: FenceNumber, holdings: Vec<RunnerHoldings>) {
    let now = host.now();
    let mut state = host.state();
    if state.keeper.as_ref().is_some_and(|keeper| keeper.mark.fence > fence) {
        return;
    }
    for RunnerHoldings { runner, born, held } in holdings {
        state.directory.set_held(now, &runner, born, held);
    }
    drop(state);
    host.holdings_changed.notify_waiters();
}

/// Takes in a new configuration.
pub fn on_document(host: &Host, document: &RoutingDocument) {
    let mut desk = host.desk.lock();
    if desk.keeping {
        set_facts(&mut desk, document, host.now());
    }
}

fn set_facts(desk: &mut KeeperDesk, document: &RoutingDocument, now: ClockInstant) {
    let with_models =
        |service: &ServiceId| document.services.get(service).and_then(|entry| entry.models.clone());
    desk.plans.retain(|service, _| with_models(service).is_some());
    for service in document.services.keys() {
        let Some(facts) = with_models(service) else { continue };
        match desk.plans.get_mut(service) {
            Some(plan) => plan.set_profile(facts),
            None => {
                desk.plans.insert(service.clone(), WeightPlan::after_takeover(now, facts));
            }
        }
    }
}

/// Takes in the directory after it changed.
pub fn on_directory(host: &Host) {
    let now = host.now();
    let mut reports: BTreeMap<ServiceId, Vec<(UpstreamId, RunnerReport)>> = BTreeMap::new();
    {
        let state = host.state();
        for (name, known) in state.directory.iter() {
            let mut report = known.entry.report.clone();
            report.draining = state.directory.is_leaving(name);
            let entry = (name.clone(), report);
            reports.entry(known.entry.service.clone()).or_default().push(entry);
        }
    }
    let mut desk = host.desk.lock();
    if !desk.keeping {
        return;
    }
    for (service, plan) in &mut desk.plans {
        let reports = reports.remove(service).unwrap_or_default();
        plan.retain_runners(|runner| reports.iter().any(|(name, _)| name == runner));
        for (name, report) in reports {
            plan.on_row(now, &name, report);
        }
    }
    drop(desk);
    host.plan_wanted.notify_one();
}
