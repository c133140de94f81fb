//! Ends what runs for a key that is withdrawn.

use std::future::Future;

use crate::attempt::ReachFlag;
use crate::context::EntryContext;
use crate::keys::{CallerIdentity, still_valid};
use crate::refusal::{EntryRefusal, RefusalKind};

/// Runs `work` until it ends or the key is withdrawn.
///
/// # Errors
/// Fails as `work` does, or with the withdrawal.
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
        () = key_withdrawn(context, identity) => {
            let message = "the key was withdrawn";
            let refusal = EntryRefusal::before_sending(RefusalKind::KeyWithdrawn, message);
            Err(refusal.with_reached(reached.get()))
        }
    }
}

async fn key_withdrawn(context: &EntryContext, identity: &CallerIdentity) {
    let mut changes = context.ports.configuration.subscribe();
    loop {
        let snapshot = changes.borrow_and_update().clone();
        let epoch_seconds = (context.epoch_seconds)();
        if !still_valid(&identity.key, &identity.team, &snapshot.document, epoch_seconds) {
            return;
        }
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
