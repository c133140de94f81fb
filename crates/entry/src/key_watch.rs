//! Cancellation of requests whose key is withdrawn.

use std::future::Future;

use crate::attempt::ReachFlag;
use crate::context::EntryContext;
use crate::keys::{CallerIdentity, is_key_valid};
use crate::refusal::{EntryRefusal, RefusalKind};

/// Runs `work` to its end, or cancels it when the key of `identity` is withdrawn.
///
/// # Errors
/// Returns the error of `work`, or [`RefusalKind::KeyWithdrawn`].
pub async fn while_key_valid<W, T>(
    context: &EntryContext,
    identity: &CallerIdentity,
    reached: &ReachFlag,
    work: W,
) -> Result<T, EntryRefusal>
where
    W: Future<Output = Result<T, EntryRefusal>>,
{
    tokio::select! {
        done = work => done,
        () = key_withdrawal(context, identity) => {
            let message = "the key was withdrawn";
            let refusal = EntryRefusal::before_sending(RefusalKind::KeyWithdrawn, message);
            Err(refusal.with_reached(reached.get()))
        }
    }
}

async fn key_withdrawal(context: &EntryContext, identity: &CallerIdentity) {
    let mut changes = context.ports.configuration.subscribe();
    loop {
        let snapshot = changes.borrow_and_update().clone();
        let epoch_seconds = (context.epoch_seconds)();
        if !is_key_valid(&identity.key, &identity.team, &snapshot.document, epoch_seconds) {
            return;
        }
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
