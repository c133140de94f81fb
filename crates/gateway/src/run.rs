//! Starts the daemon, reloads its settings, and shuts it down.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dotterellane_decisions::run_times::StopSpan;
use dotterellane_units::{HostIncarnation, boot_clock};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::call::WireFormat;
use crate::settings::HostSettings;
use crate::state::{Host, HostPlatform};
use crate::stream_versions::{archive, history};
use crate::{followers, leader, peers, server, stalls, tunnels};

/// Time for which the load balancer may still send callers after the readiness check began to fail.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Fraction of the time for requests in flight for which callers are let in at most.
const BALANCER_LAG_FRACTION: f64 = 0.65;

/// Time before the end of the shutdown at which requests in flight are abandoned.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);

/// Time for the last answers, to requests that are still in flight; part of the margin.
const LAST_ANSWERS_GRACE: Duration = Duration::from_millis(50);

/// Time for requests that arrived at the last moment; part of the margin.
const LAST_REQUESTS_GRACE: Duration = Duration::from_millis(150);

/// Time for the log writer to write the last lines.
const LOG_FLUSH_GRACE: Duration = Duration::from_millis(20);

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// An error that prevents the daemon from starting.
#[derive(Debug)]
#[derive(Error)]
pub enum RunError {
    /// A socket, a signal handler or the metrics could not be set up.
    #[error("{step}: {cause}")]
    Start {
        /// Step that failed.
        step: &'static str,
        /// Underlying error as text.
        cause: String,
    },
}

fn start_error<E>(step: &'static str) -> impl FnOnce(E) -> RunError
where
    E: ToString,
{
    move |error| RunError::Start { step, cause: error.to_string() }
}

/// The signals that the daemon handles: SIGTERM to stop and SIGHUP to reload its settings.
#[derive(Debug)]
pub struct HostSignals {
    stop: Signal,
    hang_up: Signal,
}

impl HostSignals {
    /// Installs the signal handlers; until then these signals end the process.
    ///
    /// # Errors
    /// Fails if a handler cannot be installed.
    pub fn receive() -> Result<Self, RunError> {
        Ok(Self {
            stop: signal(SignalKind::terminate()).map_err(start_error("await SIGTERM"))?,
            hang_up: signal(SignalKind::hangup()).map_err(start_error("await SIGHUP"))?,
        })
    }
}

/// Serves requests until SIGTERM, then shuts down gracefully.
///
/// # Errors
/// Fails if a socket cannot be bound or a metric cannot be registered.
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
    let status = server::listen("listen for readiness checks", settings.readiness)
        .await
        .map_err(start_error("start"))?;
    let metrics = server::listen("listen for metrics", settings.metrics)
        .await
        .map_err(start_error("start"))?;
    let tunnel_listener = server::listen("listen for other hosts", settings.peers)
        .await
        .map_err(start_error("start"))?;
    let socket = UdpSocket::bind(settings.peers).await.map_err(start_error("bind peer socket"))?;
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
    tokio::spawn(peers::send_heartbeats(host.clone()));
    tokio::spawn(peers::send_demand(host.clone()));
    tokio::spawn(peers::register_host(host.clone()));
    tokio::spawn(leader::run_election(host.clone()));
    tokio::spawn(leader::run_plans(host.clone()));
    tokio::spawn(history::keep_history(host.clone()));
    tokio::spawn(archive::write_archive(host.clone()));
    stalls::start(&host).map_err(start_error("watch for stalls"))?;
    tokio::spawn(server::serve_status(status, host.clone()));
    tokio::spawn(server::serve_status(metrics, host.clone()));
    tokio::spawn(tunnels::serve_tunnels(tunnel_listener, host.clone()));
    let accepting = tokio::spawn(server::serve_callers(callers, host.clone()));
    tokio::spawn(watch_settings(host.clone(), settings_file, hang_up));
    stop.recv().await;
    shut_down(&host, accepting).await;
    Ok(())
}

async fn shut_down(host: &Arc<Host>, accepting: JoinHandle<()>) {
    spdlog::info!("shutdown requested", kv: { host = host.settings.host.as_str() });
    let started = host.now();
    let span = {
        let mut state = host.state();
        let span = state.tuning.shutdown.saturating_sub(SHUTDOWN_MARGIN);
        state.stop = Some(StopSpan { requested: started, end: started + span });
        span
    };
    host.leaving.cancel();
    host.holdings_changed.notify_waiters();
    peers::send_heartbeat(host, false);
    leader::release_lease(host).await;
    peers::send_heartbeat(host, false);
    let lag = BALANCER_LAG.min(span.mul_f64(BALANCER_LAG_FRACTION));
    let lag = lag.saturating_sub(host.now().since(started));
    sleep(lag).await;
    host.closing.cancel();
    host.tasks.close();
    let left = span.saturating_sub(host.now().since(started));
    let all_answered = timeout(left, host.tasks.wait()).await.is_ok();
    host.closed.cancel();
    let drained = async {
        if let Err(error) = accepting.await {
            let cause = error.to_string();
            spdlog::error!("accept loop failed", kv: { cause = cause.as_str() });
        }
        host.tasks.wait().await;
    };
    let all_answered = timeout(LAST_REQUESTS_GRACE, drained).await.is_ok() && all_answered;
    host.abandoned.cancel();
    let _streams_left = timeout(LAST_ANSWERS_GRACE, host.tasks.wait()).await;
    spdlog::info!("daemon stops", kv: {
        host = host.settings.host.as_str(),
        all_answered = all_answered,
        after_ms = host.now().since(started).as_millis() as u64,
    });
    // Lets the log writer finish.
    sleep(LOG_FLUSH_GRACE).await;
}

/// Reloads the settings file on SIGHUP or when it has changed, and applies the settings that may
/// change.
async fn watch_settings(host: Arc<Host>, file: PathBuf, mut hang_up: Signal) {
    let mut known = std::fs::read_to_string(&file).ok();
    loop {
        let hung_up = timeout(SETTINGS_POLL_INTERVAL, hang_up.recv()).await.is_ok();
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) => {
                spdlog::error!("settings cannot be read; keeping the last ones", kv: {
                    cause = error.to_string().as_str(),
                });
                continue;
            }
        };
        if !hung_up && known.as_deref() == Some(text.as_str()) {
            continue;
        }
        match (host.wire.parse_settings)(&text) {
            Ok(settings) => apply_settings(&host, &settings),
            Err(error) => spdlog::error!("settings are invalid; keeping the last ones", kv: {
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
    spdlog::info!("settings reloaded", kv: { applied = changed });
    let unapplied = host.settings.differing(settings);
    if !unapplied.is_empty() {
        spdlog::warn!("settings need a restart", kv: { fields = unapplied.join(", ").as_str() });
    }
}
