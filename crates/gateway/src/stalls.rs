//! Notices that the daemon stands still: suspended, without processor, or busy in one task.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{io, thread};

use dotterellane_units::ClockInstant;
use rustix::time::{ClockId, Timespec, clock_gettime};
use tokio::time::sleep;

use crate::state::Host;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest delay of a check that is logged.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(500);

/// Stack size of the watching thread, in bytes.
const WATCHER_STACK_BYTES: usize = 64 << 10;

/// When the daemon last ran its timers, and the processor time that it had used by then.
#[derive(Clone, Copy, Debug)]
struct LastRun {
    at: ClockInstant,
    used: Duration,
}

impl LastRun {
    fn new(host: &Host) -> Self {
        Self { at: host.now(), used: processor_time() }
    }

    /// Returns how late the next check is.
    fn delay(&self, host: &Host) -> Duration {
        host.now().since(self.at).saturating_sub(CHECK_INTERVAL)
    }

    /// Logs a delay. The processor time used meanwhile tells a daemon that is busy from one that
    /// does not run.
    fn log(&self, event: &'static str, delay: Duration) {
        let used = processor_time().saturating_sub(self.used);
        spdlog::warn!("{event}", kv: {
            delay_ms = delay.as_millis() as u64,
            processor_ms = used.as_millis() as u64,
        });
    }
}

/// Measures how late the daemon's timers are, until it ends. A thread tells of a delay that lasts.
///
/// # Errors
/// Fails if the thread cannot be started.
pub fn start(host: &Arc<Host>) -> io::Result<()> {
    let last_run = Arc::new(Mutex::new(LastRun::new(host)));
    let (watching_host, watched) = (host.clone(), last_run.clone());
    thread::Builder::new()
        .name("stalls".to_owned())
        .stack_size(WATCHER_STACK_BYTES)
        .spawn(move || watch(&watching_host, &watched))?;
    tokio::spawn(measure(host.clone(), last_run));
    Ok(())
}

async fn measure(host: Arc<Host>, last_run: Arc<Mutex<LastRun>>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let run = LastRun::new(&host);
        let last =
            std::mem::replace(&mut *last_run.lock().unwrap_or_else(PoisonError::into_inner), run);
        let delay = last.delay(&host);
        host.metrics.timer_delay.observe(delay.as_secs_f64());
        if delay >= MIN_LOGGED_DELAY {
            last.log("daemon stood still", delay);
        }
    }
}

fn watch(host: &Host, last_run: &Mutex<LastRun>) {
    let mut logged = None;
    loop {
        thread::sleep(CHECK_INTERVAL);
        let last = *last_run.lock().unwrap_or_else(PoisonError::into_inner);
        let delay = last.delay(host);
        if delay >= MIN_LOGGED_DELAY && logged != Some(last.at) {
            last.log("daemon stands still", delay);
            logged = Some(last.at);
        }
    }
}

/// Returns the processor time that this process has used.
fn processor_time() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::ProcessCPUTime);
    Duration::from_secs(tv_sec.unsigned_abs()) + Duration::from_nanos(tv_nsec.unsigned_abs())
}
