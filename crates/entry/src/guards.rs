//! Guards that give charges and permits back when they are dropped.

use dotterellane_fleet::{CallOutcome, ChargeReceipt, DispatchPermit};
use dotterellane_units::TokenCount;

use crate::context::SharedContext;

/// Charge of a request; refunds the unused tokens when it is dropped.
#[derive(Debug)]
pub struct ChargeGuard {
    context: SharedContext,
    receipt: Option<ChargeReceipt>,
    used: TokenCount,
}

impl ChargeGuard {
    /// Guards the charge of `receipt`, with no tokens used yet.
    pub fn new(context: SharedContext, receipt: ChargeReceipt) -> Self {
        Self { context, receipt: Some(receipt), used: TokenCount(0) }
    }

    /// Sets the number of tokens used so far, which are not refunded.
    pub fn set_used(&mut self, used: TokenCount) {
        self.used = used;
    }
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if let Some(receipt) = self.receipt.take() {
            let unused = receipt.tokens - self.used;
            self.context.ports.refund(receipt, unused);
        }
    }
}

/// Permit of a call; released as abandoned when it is dropped unfinished.
#[derive(Debug)]
pub struct PermitGuard {
    context: SharedContext,
    permit: Option<DispatchPermit>,
}

impl PermitGuard {
    /// Guards `permit`.
    pub fn new(context: SharedContext, permit: DispatchPermit) -> Self {
        Self { context, permit: Some(permit) }
    }

    /// Releases the permit with the outcome of the call.
    pub fn finish(mut self, outcome: CallOutcome) {
        self.release(outcome);
    }

    fn release(&mut self, outcome: CallOutcome) {
        if let Some(permit) = self.permit.take() {
            self.context.ports.release(permit, outcome);
        }
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.release(CallOutcome::Abandoned);
    }
}
