//! The daemon from its start to its end.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dotterellane_units::{HostIncarnation, boot_clock};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::call::WireFormat;
use crate::settings::HostSettings;
use crate::state::{Host, HostPlatform};
use crate::{followers, keeper, peers, server};

/// Time that the balancer may go on to send callers after it was told that the host leaves.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Time before the end of the shutdown at which what still runs is left.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// Time that requests have that came at the last moment; part of the margin.
const LAST_REQUESTS: Duration = Duration::from_millis(200);

/// Time that the last log lines have to get out.
const LAST_LINES: Duration = Duration::from_millis(20);

/// Pause between two looks at whether the settings file changed.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);

/// Why the daemon could not start.
#[derive(Debug)]
#[derive(Error)]
pub enum RunError {
    /// A socket or signal cannot be used.
    #[error("{step}: {cause}")]
    Start {
        /// What was being done.
        step: &'static str,
        /// What was seen.
        cause: String,
    },
}

fn start_error<E>(step: &'static str) -> impl FnOnce(E) -> RunError
where
    E: ToString,
{
    move |error| RunError::Start { step, cause: error.to_string() }
}

/// Signals that the daemon heeds.
#[derive(Debug)]
pub struct HostSignals {
    stop: Signal,
    hang_up: Signal,
}

impl HostSignals {
    /// Begins to receive them; before that they end the process.
    ///
    /// # Errors
    /// Fails if they cannot be received.
    pub fn receive() -> Result<Self, RunError> {
        Ok(Self {
            stop: signal(SignalKind::terminate()).map_err(start_error("await SIGTERM"))?,
            hang_up: signal(SignalKind::hangup()).map_err(start_error("await SIGHUP"))?,
        })
    }
}

/// Serves until the process is asked to stop, then until what runs is done.
///
/// # Errors
/// Fails if a socket cannot be bound.
pub async fn run(
    settings: HostSettings,
    settings_file: PathBuf,
    wire: WireFormat,
    platform: HostPlatform,
    signals: HostSignals,
) -> Result<(), RunError> {
    let clock = boot_clock();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = HostIncarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX));
    let HostSignals { mut stop, hang_up } = signals;
    let callers = server::listen("listen for callers", settings.callers)
        .await
        .map_err(start_error("start"))?;
    let status = server::listen("listen for the balancer", settings.readiness)
        .await
        .map_err(start_error("start"))?;
    let metrics = server::listen("listen for readers of metrics", settings.metrics)
        .await
        .map_err(start_error("start"))?;
    let socket =
        UdpSocket::bind(settings.peers).await.map_err(start_error("bind socket of peers"))?;
    let host = Host::new(settings, incarnation, wire, platform, clock, socket)
        .map_err(start_error("register metrics"))?;
    let host = Arc::new(host);
    spdlog::info!("daemon started", kv: {
        host = host.settings.host.as_str(),
        incarnation = incarnation.0,
        callers = host.settings.callers.to_string().as_str(),
        first_start = host.settings.first_start,
    });
    tokio::spawn(followers::follow_configuration(host.clone()));
    tokio::spawn(followers::follow_directory(host.clone()));
    tokio::spawn(peers::receive(host.clone()));
    tokio::spawn(peers::send_beats(host.clone()));
    tokio::spawn(peers::send_demand(host.clone()));
    tokio::spawn(peers::list_host(host.clone()));
    tokio::spawn(keeper::keep_lease(host.clone()));
    tokio::spawn(keeper::carry_out_plans(host.clone()));
    tokio::spawn(server::serve_status(status, host.clone()));
    tokio::spawn(server::serve_status(metrics, host.clone()));
    let accepting = tokio::spawn(server::serve_callers(callers, host.clone()));
    tokio::spawn(watch_settings(host.clone(), settings_file, hang_up));
    stop.recv().await;
    leave(&host, accepting).await;
    Ok(())
}

async fn leave(host: &Arc<Host>, accepting: JoinHandle<()>) {
    spdlog::info!("daemon is asked to stop", kv: { host = host.settings.host.as_str() });
    let started = host.now();
    let grace = {
        let mut state = host.state();
        state.left = Some(started);
        state.tuning.shutdown
    };
    host.leaving.cancel();
    host.holdings_changed.notify_waiters();
    peers::send_beat(host, false);
    keeper::release(host).await;
    peers::send_beat(host, false);
    let lag = BALANCER_LAG.saturating_sub(host.now().since(started));
    sleep(lag).await;
    host.closing.cancel();
    host.tasks.close();
    let left = grace.saturating_sub(host.now().since(started)).saturating_sub(SHUTDOWN_MARGIN);
    let whole = timeout(left, host.tasks.wait()).await.is_ok();
    host.closed.cancel();
    let last = async {
        if let Err(error) = accepting.await {
            let cause = error.to_string();
            spdlog::error!("callers were no longer accepted", kv: { cause = cause.as_str() });
        }
        host.tasks.wait().await;
    };
    let whole = timeout(LAST_REQUESTS, last).await.is_ok() && whole;
    spdlog::info!("daemon stops", kv: {
        host = host.settings.host.as_str(),
        all_answered = whole,
        after_ms = host.now().since(started).as_millis() as u64,
    });
    // Lets the last lines out.
    sleep(LAST_LINES).await;
}

/// Reads the settings file again after SIGHUP or when it changed, and applies what may change.
async fn watch_settings(host: Arc<Host>, file: PathBuf, mut hang_up: Signal) {
    let mut known = std::fs::read_to_string(&file).ok();
    loop {
        let told = timeout(SETTINGS_LOOK, hang_up.recv()).await.is_ok();
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) => {
                spdlog::error!("settings cannot be read; the last ones stay", kv: {
                    cause = error.to_string().as_str(),
                });
                continue;
            }
        };
        if !told && known.as_deref() == Some(text.as_str()) {
            continue;
        }
        match (host.wire.parse_settings)(&text) {
            Ok(settings) => apply_settings(&host, &settings),
            Err(error) => spdlog::error!("settings are not valid; the last ones stay", kv: {
                cause = error.to_string().as_str(),
            }),
        }
        known = Some(text);
    }
}

fn apply_settings(host: &Host, settings: &HostSettings) {
    let now = host.now();
    let mut state = host.state();
    let changed = state.tuning != settings.tuning;
    if changed {
        state.tuning = settings.tuning.clone();
        state.set_limits(now);
    }
    drop(state);
    spdlog::info!("settings read again", kv: { applied = changed });
    let kept = host.settings.differing(settings);
    if !kept.is_empty() {
        spdlog::warn!("settings need a restart", kv: { fields = kept.join(", ").as_str() });
    }
}
