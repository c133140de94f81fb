//! Orders and writes, away from the task that owns the keepers' state.

use std::collections::BTreeMap;

use dotterellane_decisions::keeper::{KeeperAction, OrderResult, WriteResult};
use dotterellane_decisions::leases::{HeldItem, RunnerLease};
use dotterellane_decisions::placement::PlacementRow;
use dotterellane_platform::{CommitOutcome, PlatformTable, TableError, TableRow, TableTransaction};
use dotterellane_protocol::placement::RunnerListing;
use dotterellane_units::{ClockInstant, ModelId, RowVersion, UpstreamId, VersionLabel};
use dotterellane_upstream::orders::{FenceOrder, LoadOrder, OrderError, RunnerOrders, UnloadOrder};

use crate::placement::{
    DeskContext, RunnerSlots, decode, lease_key, placement_key, put, slots_key,
};

/// What became of something that a keeper had done.
pub(crate) enum KeeperNews {
    Written(WriteResult),
    Fence(Result<RunnerListing, OrderError>),
    Listed(ClockInstant, Result<RunnerListing, OrderError>),
    Loaded(HeldItem, Result<(), OrderError>),
    Unloaded(HeldItem, Result<(), OrderError>),
}

/// Carries one action out, away from the task that owns the state.
pub(super) struct OrderTask {
    pub(super) orders: RunnerOrders,
    pub(super) table: PlatformTable,
    pub(super) runner: UpstreamId,
}

impl OrderTask {
    pub(super) async fn carry_out(
        self,
        action: KeeperAction,
        now: ClockInstant,
        version: Option<VersionLabel>,
    ) -> KeeperNews {
        match action {
            KeeperAction::ReadLease | KeeperAction::List => {
                KeeperNews::Listed(now, self.orders.list().await)
            }
            KeeperAction::WriteLease { expected, lease, removed } => {
                KeeperNews::Written(self.write(expected, &lease, removed).await)
            }
            KeeperAction::RaiseFence(fence) => {
                KeeperNews::Fence(self.orders.raise_fence(FenceOrder { fence }).await)
            }
            KeeperAction::Load { item, memory, fence } => {
                let Some(version) = version else {
                    let (step, peer) = ("load", self.runner.to_string());
                    let cause = "no longer configured".to_owned();
                    return KeeperNews::Loaded(
                        item,
                        Err(OrderError::Refused { step, peer, cause }),
                    );
                };
                let (model, adapter) = (item.model.clone(), item.adapter.clone());
                let order = LoadOrder { fence, model, adapter, version, memory };
                KeeperNews::Loaded(item, self.orders.load(order).await)
            }
            KeeperAction::Unload { item, fence } => {
                let (model, adapter) = (item.model.clone(), item.adapter.clone());
                let order = UnloadOrder { fence, model, adapter };
                KeeperNews::Unloaded(item, self.orders.unload(order).await)
            }
        }
    }

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

    /// Returns the transaction, `None` if the slot to remove is not retiring any more.
    fn lease_transaction(
        &self,
        expected: RowVersion,
        lease: &RunnerLease,
        removed: Option<&ModelId>,
        found: &BTreeMap<String, TableRow>,
    ) -> Option<TableTransaction> {
        let mut transaction = TableTransaction::default();
        let key = lease_key(&self.runner);
        let held = TableRow { key: key.clone(), version: expected, value: Vec::new() };
        put(&mut transaction, &BTreeMap::from([(key.clone(), held)]), key, lease);
        if let Some(model) = removed {
            let mut row: PlacementRow = decode(found, &placement_key(model))?;
            let mut slots: RunnerSlots = decode(found, &slots_key(&self.runner))?;
            if !row.remove_retiring(&self.runner) {
                return None;
            }
            slots.slots.remove(model);
            put(&mut transaction, found, placement_key(model), &row);
            put(&mut transaction, found, slots_key(&self.runner), &slots);
        }
        Some(transaction)
    }
}

pub(super) fn load_version(context: &DeskContext, action: &KeeperAction) -> Option<VersionLabel> {
    let KeeperAction::Load { item, .. } = action else { return None };
    match &item.adapter {
        None => Some(context.document().models.get(&item.model)?.version.clone()),
        Some(adapter) => Some(context.document().adapters.get(adapter)?.version.clone()),
    }
}

pub(super) fn order_result(result: &Result<(), OrderError>) -> OrderResult {
    match result {
        Ok(()) => OrderResult::Done,
        Err(OrderError::Stale { current, .. }) => OrderResult::Stale(*current),
        Err(OrderError::Refused { .. }) => OrderResult::Refused,
        Err(OrderError::Unanswered { .. }) => OrderResult::Unanswered,
    }
}
