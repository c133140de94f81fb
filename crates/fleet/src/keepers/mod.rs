//! The keepers of this host: they wake, evict and unload what dispatchers ask for.

mod orders;
mod seat;

use std::collections::BTreeMap;

use dotterellane_decisions::keeper::{RunnerKeeper, RunnerProfile};
use dotterellane_decisions::leases::HeldItem;
use dotterellane_decisions::load_queue::{LoadGrant, LoadKey, LoadQueue, LoadRequest};
use dotterellane_platform::TableRow;
use dotterellane_protocol::PlacementMessage;
use dotterellane_settings::document::UpstreamRole;
use dotterellane_units::{ClockInstant, HostId, UpstreamId};

pub(crate) use self::orders::KeeperNews;
use self::seat::{KeeperSeat, ModelUsage, PendingWake};
use crate::placement::DeskContext;

/// All keepers of this host, and the fleet's load queue if this host holds it.
#[derive(Default)]
pub(crate) struct KeeperDesk {
    seats: BTreeMap<UpstreamId, KeeperSeat>,
    load_queue: LoadQueue,
}

impl KeeperDesk {
    pub(crate) fn runners(&self) -> impl Iterator<Item = &UpstreamId> {
        self.seats.keys()
    }

    pub(crate) fn wants_read(&self) -> bool {
        self.seats.values().any(|seat| seat.wants_read)
    }

    /// Follows the runners of the document; a seat is made once this host may have to keep its
    /// runner, and stays, since a claim may be under way.
    pub(crate) fn follow<L>(&mut self, context: &DeskContext, mut is_in_line: L)
    where
        L: FnMut(&UpstreamId) -> bool,
    {
        for (runner, upstream) in &context.document().upstreams {
            let UpstreamRole::Runner(entry) = &upstream.role else { continue };
            if self.seats.contains_key(runner) || !is_in_line(runner) {
                continue;
            }
            let profile = RunnerProfile {
                runner: runner.clone(),
                capacity: entry.memory,
                honours_fencing: entry.honours_fencing,
            };
            let keeper = RunnerKeeper::new(profile, context.host.clone(), context.incarnation);
            let orders = (context.orders)(runner, upstream.address);
            self.seats.insert(runner.clone(), KeeperSeat::new(keeper, orders));
        }
        self.seats.retain(|runner, _| context.document().upstreams.contains_key(runner));
    }

    pub(crate) fn on_tick(&mut self, context: &DeskContext) {
        let turns = self.load_queue.on_tick(context.now());
        give_turns(context, turns);
        for (runner, seat) in &mut self.seats {
            seat.on_tick(context, runner);
        }
    }

    /// Takes in the lease and slot rows, `None` if the table did not answer.
    pub(crate) fn on_rows(
        &mut self,
        context: &DeskContext,
        asked_at: ClockInstant,
        rows: Option<&[TableRow]>,
    ) {
        let found: Option<BTreeMap<String, TableRow>> =
            rows.map(|rows| rows.iter().map(|row| (row.key.clone(), row.clone())).collect());
        for (runner, seat) in &mut self.seats {
            seat.on_rows(context, runner, asked_at, found.as_ref());
        }
    }

    pub(crate) fn on_news(&mut self, context: &DeskContext, runner: &UpstreamId, news: KeeperNews) {
        if let Some(seat) = self.seats.get_mut(runner) {
            seat.on_news(context, runner, news);
        }
    }

    pub(crate) fn on_message(
        &mut self,
        context: &DeskContext,
        from: &HostId,
        message: PlacementMessage,
    ) {
        let now = context.now();
        match message {
            PlacementMessage::Wake { model, adapter, runner, team, remaining } => {
                let Some(seat) = self.seats.get_mut(&runner) else { return };
                let wake =
                    PendingWake { team, deadline: now + remaining, asked: None, turn: false };
                seat.add_wake(HeldItem { model, adapter }, wake);
                seat.process_wakes(context, &runner);
            }
            PlacementMessage::LoadRequest { runner, model, adapter, team, remaining, .. } => {
                let key = LoadKey { runner: runner.clone(), item: HeldItem { model, adapter } };
                let HeldItem { model, adapter } = key.item.clone();
                let ask =
                    LoadRequest { key, keeper: from.clone(), team, deadline: now + remaining };
                let queued = PlacementMessage::LoadQueued { runner, model, adapter };
                context.send_placement(from, queued);
                give_turns(context, self.load_queue.ask(now, ask));
            }
            PlacementMessage::LoadDone { runner, model, adapter } => {
                let key = LoadKey { runner, item: HeldItem { model, adapter } };
                give_turns(context, self.load_queue.done(now, &key));
            }
            PlacementMessage::LoadGrant { runner, model, adapter } => {
                let item = HeldItem { model, adapter };
                let Some(seat) = self.seats.get_mut(&runner) else { return };
                seat.take_turn(context, &runner, item);
            }
            PlacementMessage::LoadQueued { runner, model, adapter } => {
                let item = HeldItem { model, adapter };
                let wake = self.seats.get_mut(&runner).and_then(|seat| seat.wakes.get_mut(&item));
                if let Some((_, _, heard)) = wake.and_then(|wake| wake.asked.as_mut()) {
                    *heard = now;
                }
            }
            PlacementMessage::Usage { model, runner, busy, idle, hold } => {
                let Some(seat) = self.seats.get_mut(&runner) else { return };
                let usage = ModelUsage { busy, last_used: now - idle, hold, heard_at: now };
                seat.usage.insert(model, usage);
                seat.drain(context, &runner);
            }
            PlacementMessage::Replica(_) => (),
        }
    }

    /// Gives back every lease whose runner has no order under way.
    pub(crate) fn release_all(&mut self, context: &DeskContext) {
        for (runner, seat) in &mut self.seats {
            let actions = seat.keeper.release();
            seat.act(context, runner, actions);
        }
    }
}

fn give_turns(context: &DeskContext, turns: Vec<LoadGrant>) {
    for LoadGrant { key, keeper } in turns {
        let HeldItem { model, adapter } = key.item;
        let grant = PlacementMessage::LoadGrant { runner: key.runner, model, adapter };
        context.send_placement(&keeper, grant);
    }
}
