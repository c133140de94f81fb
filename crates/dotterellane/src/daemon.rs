//! One daemon, put together from its parts.

use std::net::SocketAddr;

use dotterellane_entry::EntryContext;
use miette::{IntoDiagnostic, WrapErr};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// What a daemon is put together from.
#[derive(Debug)]
pub struct DaemonOptions {
    /// Address for callers; port 0 lets the system choose.
    pub entry: SocketAddr,
    /// What requests need.
    pub context: EntryContext,
}

/// A running daemon.
#[derive(Debug)]
pub struct DaemonHandle {
    /// Address that callers reach it at.
    pub entry: SocketAddr,
    shutdown: CancellationToken,
    serving: JoinHandle<std::io::Result<()>>,
}

impl DaemonHandle {
    /// Stops taking requests, finishes those that run, and ends.
    ///
    /// # Errors
    /// Fails if the server had failed.
    pub async fn stop(self) -> miette::Result<()> {
        self.shutdown.cancel();
        let served = self.serving.await.into_diagnostic()?;
        served.into_diagnostic().wrap_err("serving callers")
    }
}

/// Starts a daemon.
///
/// # Errors
/// Fails if an address cannot be listened on.
pub async fn start(options: DaemonOptions) -> miette::Result<DaemonHandle> {
    let listener = TcpListener::bind(options.entry)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("listening for callers on {}", options.entry))?;
    let entry = listener.local_addr().into_diagnostic()?;
    let shutdown = CancellationToken::new();
    let serving = dotterellane_entry::serve(listener, options.context, shutdown.clone());
    Ok(DaemonHandle { entry, shutdown, serving: tokio::spawn(serving) })
}
