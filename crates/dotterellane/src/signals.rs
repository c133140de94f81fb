//! Waiting to be asked to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
/// Fails if signals cannot be received.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
