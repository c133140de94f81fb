//! Shutdown signals.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
/// Fails if a signal handler cannot be installed.
pub async fn wait_for_shutdown() -> std::io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
