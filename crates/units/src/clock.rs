//! Monotonic clock of the host.

use crate::{ClockInstant, ClockSource};
use rustix::time::{ClockId, clock_gettime};

/// Returns a clock that reads `CLOCK_BOOTTIME`, which goes on while the host is suspended.
pub fn boot_clock() -> ClockSource {
    ClockSource::new(|| {
        let reading = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(reading.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(reading.tv_nsec).unwrap_or(0);
        ClockInstant(seconds * 1_000_000_000 + nanos)
    })
}
