//! The keepers of this host.
//!
//! The keeper of a runner is the daemon that holds the runner's lease. It alone orders the runner:
//! it loads models that dispatchers ask for ("wakes"), evicts idle ones to make room, and unloads
//! those that have been idle for long or have lost their slot.
//!
//! Loads from the shared weight store also need a grant of the fleet's load queue, which one host
//! runs for all.

mod driver;
mod orders;

use std::collections::BTreeMap;

use dotterellane_decisions::keeper::{RunnerKeeper, RunnerProfile};
use dotterellane_decisions::leases::HeldItem;
use dotterellane_decisions::load_queue::{LoadGrant, LoadKey, LoadQueue, LoadRequest};
use dotterellane_platform::TableRow;
use dotterellane_protocol::PlacementMessage;
use dotterellane_settings::document::UpstreamRole;
use dotterellane_units::{ClockInstant, HostId, UpstreamId};

use self::driver::{KeeperDriver, ModelUsage, PendingWake};
pub(crate) use self::orders::KeeperEvent;
use crate::placement::RuntimeContext;

/// All keepers of this host, and the fleet's load queue, used only while this host holds that role.
#[derive(Default)]
pub(crate) struct KeeperService {
    drivers: BTreeMap<UpstreamId, KeeperDriver>,
    load_queue: LoadQueue,
}

impl KeeperService {
    /// Returns the runners that this host has a driver for.
    pub(crate) fn runners(&self) -> impl Iterator<Item = &UpstreamId> {
        self.drivers.keys()
    }

    /// Returns whether a keeper needs its lease row read before the next periodic read.
    pub(crate) fn needs_read(&self) -> bool {
        self.drivers.values().any(|driver| driver.needs_read)
    }

    /// Adds drivers for the runners that this host is a candidate for, and drops those of runners
    /// that are no longer configured.
    ///
    /// A driver stays when the host stops being a candidate: a claim of the lease may be in flight.
    pub(crate) fn update_runners<L>(&mut self, context: &RuntimeContext, mut is_candidate: L)
    where
        L: FnMut(&UpstreamId) -> bool,
    {
        for (runner, upstream) in &context.document().upstreams {
            let UpstreamRole::Runner(entry) = &upstream.role else { continue };
            if self.drivers.contains_key(runner) || !is_candidate(runner) {
                continue;
            }
            let profile = RunnerProfile {
                runner: runner.clone(),
                capacity: entry.memory,
                honours_fencing: entry.honours_fencing,
            };
            let keeper = RunnerKeeper::new(profile, context.host.clone(), context.incarnation);
            let orders = (context.orders)(runner, upstream.address);
            self.drivers.insert(runner.clone(), KeeperDriver::new(keeper, orders));
        }
        self.drivers.retain(|runner, _| context.document().upstreams.contains_key(runner));
    }

    /// Advances the load queue and all keepers.
    pub(crate) fn on_tick(&mut self, context: &RuntimeContext) {
        let grants = self.load_queue.on_tick(context.now());
        send_grants(context, grants);
        for (runner, driver) in &mut self.drivers {
            driver.on_tick(context, runner);
        }
    }

    /// Handles the lease and slot rows read at `asked_at` or later; `None` if the read failed.
    pub(crate) fn on_rows(
        &mut self,
        context: &RuntimeContext,
        asked_at: ClockInstant,
        rows: Option<&[TableRow]>,
    ) {
        let found: Option<BTreeMap<String, TableRow>> =
            rows.map(|rows| rows.iter().map(|row| (row.key.clone(), row.clone())).collect());
        for (runner, driver) in &mut self.drivers {
            driver.on_rows(context, runner, asked_at, found.as_ref());
        }
    }

    /// Handles the result of an order or write of the keeper of `runner`.
    pub(crate) fn on_event(
        &mut self,
        context: &RuntimeContext,
        runner: &UpstreamId,
        event: KeeperEvent,
    ) {
        if let Some(driver) = self.drivers.get_mut(runner) {
            driver.on_event(context, runner, event);
        }
    }

    /// Handles a message to a keeper or to the load queue.
    pub(crate) fn on_message(
        &mut self,
        context: &RuntimeContext,
        from: &HostId,
        message: PlacementMessage,
    ) {
        let now = context.now();
        match message {
            PlacementMessage::Wake { model, adapter, runner, team, remaining } => {
                let Some(driver) = self.drivers.get_mut(&runner) else { return };
                let wake =
                    PendingWake { team, deadline: now + remaining, asked: None, granted: false };
                driver.add_wake(HeldItem { model, adapter }, wake);
                driver.process_wakes(context, &runner);
            }
            PlacementMessage::LoadRequest { runner, model, adapter, team, remaining, .. } => {
                let key = LoadKey { runner: runner.clone(), item: HeldItem { model, adapter } };
                let HeldItem { model, adapter } = key.item.clone();
                let ask =
                    LoadRequest { key, keeper: from.clone(), team, deadline: now + remaining };
                let queued = PlacementMessage::LoadQueued { runner, model, adapter };
                context.send_placement(from, queued);
                send_grants(context, self.load_queue.ask(now, ask));
            }
            PlacementMessage::LoadDone { runner, model, adapter } => {
                let key = LoadKey { runner, item: HeldItem { model, adapter } };
                send_grants(context, self.load_queue.done(now, &key));
            }
            PlacementMessage::LoadGrant { runner, model, adapter } => {
                let item = HeldItem { model, adapter };
                let Some(driver) = self.drivers.get_mut(&runner) else { return };
                driver.on_load_grant(context, &runner, item);
            }
            PlacementMessage::LoadQueued { runner, model, adapter } => {
                let item = HeldItem { model, adapter };
                let wake =
                    self.drivers.get_mut(&runner).and_then(|driver| driver.wakes.get_mut(&item));
                if let Some((_, _, heard)) = wake.and_then(|wake| wake.asked.as_mut()) {
                    *heard = now;
                }
            }
            PlacementMessage::Usage { model, runner, busy, idle, hold } => {
                let Some(driver) = self.drivers.get_mut(&runner) else { return };
                let usage = ModelUsage { busy, last_used: now - idle, hold, heard_at: now };
                driver.usage.insert(model, usage);
                driver.drain(context, &runner);
            }
            PlacementMessage::Replica(_) => (),
        }
    }

    /// Gives back every lease whose runner has no order in flight.
    pub(crate) fn release_all(&mut self, context: &RuntimeContext) {
        for (runner, driver) in &mut self.drivers {
            let actions = driver.keeper.release();
            driver.perform(context, runner, actions);
        }
    }
}

/// Tells the keepers that have been granted a load by this host's load queue.
fn send_grants(context: &RuntimeContext, grants: Vec<LoadGrant>) {
    for LoadGrant { key, keeper } in grants {
        let HeldItem { model, adapter } = key.item;
        let grant = PlacementMessage::LoadGrant { runner: key.runner, model, adapter };
        context.send_placement(&keeper, grant);
    }
}
