//! Charges and permits that are given back however a request ends.

use dotterellane_fleet::{CallOutcome, ChargeReceipt, DispatchPermit};
use dotterellane_units::TokenCount;

use crate::context::SharedContext;

/// A charge; what was not used goes back when it is settled or dropped.
#[derive(Debug)]
pub struct ChargeHold {
    context: SharedContext,
    receipt: Option<ChargeReceipt>,
    used: TokenCount,
}

impl ChargeHold {
    /// Holds `receipt`.
    pub fn new(context: SharedContext, receipt: ChargeReceipt) -> Self {
        Self { context, receipt: Some(receipt), used: TokenCount(0) }
    }

    /// Sets the number of tokens used so far.
    pub fn set_used(&mut self, used: TokenCount) {
        self.used = used;
    }
}

impl Drop for ChargeHold {
    fn drop(&mut self) {
        if let Some(receipt) = self.receipt.take() {
            let unused = receipt.tokens - self.used;
            self.context.ports.refund(receipt, unused);
        }
    }
}

/// A permit; goes back as abandoned unless it is finished before.
#[derive(Debug)]
pub struct PermitHold {
    context: SharedContext,
    permit: Option<DispatchPermit>,
}

impl PermitHold {
    /// Holds `permit`.
    pub fn new(context: SharedContext, permit: DispatchPermit) -> Self {
        Self { context, permit: Some(permit) }
    }

    /// Gives the permit back.
    pub fn finish(mut self, outcome: CallOutcome) {
        self.give_back(outcome);
    }

    fn give_back(&mut self, outcome: CallOutcome) {
        if let Some(permit) = self.permit.take() {
            self.context.ports.release(permit, outcome);
        }
    }
}

impl Drop for PermitHold {
    fn drop(&mut self) {
        self.give_back(CallOutcome::Abandoned);
    }
}
