//! Orders to runners and writes of lease rows, which run in tasks of their own so that the task
//! that owns the keepers' state never waits.

use std::collections::BTreeMap;

use dotterellane_decisions::keeper::{KeeperAction, OrderResult, WriteResult};
use dotterellane_decisions::leases::{HeldItem, RunnerLease};
use dotterellane_decisions::placement::PlacementRow;
use dotterellane_platform::{CommitOutcome, PlatformTable, TableError, TableRow, TableTransaction};
use dotterellane_protocol::placement::RunnerListing;
use dotterellane_units::{ClockInstant, ModelId, RowVersion, UpstreamId, VersionLabel};
use dotterellane_upstream::orders::{FenceOrder, LoadOrder, OrderError, RunnerOrders, UnloadOrder};

use crate::placement::{
    RunnerSlots, RuntimeContext, decode, lease_key, placement_key, put_row, slots_key,
};

/// Result of an order or write that a keeper started.
pub(crate) enum KeeperEvent {
    Written(WriteResult),
    Fence(Result<RunnerListing, OrderError>),
    /// Time at which the listing was requested, and the listing.
    Listed(ClockInstant, Result<RunnerListing, OrderError>),
    Loaded(HeldItem, Result<(), OrderError>),
    Unloaded(HeldItem, Result<(), OrderError>),
}

/// Clients needed to perform one action of a keeper.
pub(super) struct OrderTask {
    pub(super) orders: RunnerOrders,
    pub(super) table: PlatformTable,
    pub(super) runner: UpstreamId,
}

impl OrderTask {
    /// Performs `action` and returns its result; `version` is the configured version of the item
    /// that a load order is for.
    pub(super) async fn perform(
        self,
        action: KeeperAction,
        now: ClockInstant,
        version: Option<VersionLabel>,
    ) -> KeeperEvent {
        match action {
            KeeperAction::ReadLease | KeeperAction::List => {
                KeeperEvent::Listed(now, self.orders.list().await)
            }
            KeeperAction::WriteLease { expected, lease, removed } => {
                KeeperEvent::Written(self.write(expected, &lease, removed).await)
            }
            KeeperAction::RaiseFence(fence) => {
                KeeperEvent::Fence(self.orders.raise_fence(FenceOrder { fence }).await)
            }
            KeeperAction::Load { item, memory, fence } => {
                let Some(version) = version else {
                    let (step, peer) = ("load", self.runner.to_string());
                    let cause = "no longer configured".to_owned();
                    return KeeperEvent::Loaded(
                        item,
                        Err(OrderError::Refused { step, peer, cause }),
                    );
                };
                let (model, adapter) = (item.model.clone(), item.adapter.clone());
                let order = LoadOrder { fence, model, adapter, version, memory };
                KeeperEvent::Loaded(item, self.orders.load(order).await)
            }
            KeeperAction::Unload { item, fence } => {
                let (model, adapter) = (item.model.clone(), item.adapter.clone());
                let order = UnloadOrder { fence, model, adapter };
                KeeperEvent::Unloaded(item, self.orders.unload(order).await)
            }
        }
    }

    /// Writes the lease row and, if `removed` is set, removes that model's slot on the runner.
    async fn write(
        &self,
        expected: RowVersion,
        lease: &RunnerLease,
        removed: Option<ModelId>,
    ) -> WriteResult {
        let mut found = BTreeMap::new();
        if let Some(model) = &removed {
            let keys = vec![placement_key(model), slots_key(&self.runner)];
            match self.table.read(keys).await {
                Ok(rows) => found.extend(rows.into_iter().map(|row| (row.key.clone(), row))),
                Err(_) => return WriteResult::Unavailable,
            }
        }
        let Some(transaction) = self.lease_transaction(expected, lease, removed.as_ref(), &found)
        else {
            return WriteResult::Conflict;
        };
        match self.table.commit(transaction).await {
            Ok(CommitOutcome::Committed(versions)) => {
                WriteResult::Committed(versions.first().copied().unwrap_or_default())
            }
            Ok(CommitOutcome::Conflict(_)) => WriteResult::Conflict,
            Err(TableError::Unavailable { .. }) => WriteResult::Unavailable,
            Err(TableError::AnswerLost { .. }) => WriteResult::Lost,
        }
    }

    /// Returns the transaction; `None` if the slot to remove is not retiring any more or its rows
    /// are malformed.
    fn lease_transaction(
        &self,
        expected: RowVersion,
        lease: &RunnerLease,
        removed: Option<&ModelId>,
        found: &BTreeMap<String, TableRow>,
    ) -> Option<TableTransaction> {
        let mut transaction = TableTransaction::default();
        let key = lease_key(&self.runner);
        let current = TableRow { key: key.clone(), version: expected, value: Vec::new() };
        put_row(&mut transaction, &BTreeMap::from([(key.clone(), current)]), key, lease);
        if let Some(model) = removed {
            let mut row: PlacementRow = decode(found, &placement_key(model))?;
            let mut slots: RunnerSlots = decode(found, &slots_key(&self.runner))?;
            if !row.remove_retiring(&self.runner) {
                return None;
            }
            slots.slots.remove(model);
            put_row(&mut transaction, found, placement_key(model), &row);
            put_row(&mut transaction, found, slots_key(&self.runner), &slots);
        }
        Some(transaction)
    }
}

/// Returns the configured version of what `action` loads; `None` if it is no load or the item is no
/// longer configured.
pub(super) fn load_version(
    context: &RuntimeContext,
    action: &KeeperAction,
) -> Option<VersionLabel> {
    let KeeperAction::Load { item, .. } = action else { return None };
    match &item.adapter {
        None => Some(context.document().models.get(&item.model)?.version.clone()),
        Some(adapter) => Some(context.document().adapters.get(adapter)?.version.clone()),
    }
}

/// Converts the result of an order to the form of the keeper state machine.
pub(super) fn order_result(result: &Result<(), OrderError>) -> OrderResult {
    match result {
        Ok(()) => OrderResult::Done,
        Err(OrderError::Stale { current, .. }) => OrderResult::Stale(*current),
        Err(OrderError::Refused { .. }) => OrderResult::Refused,
        Err(OrderError::Unanswered { .. }) => OrderResult::Unanswered,
    }
}
