//! The parts of prompts on which this host has seen requests succeed recently.

use std::collections::HashMap;
use std::time::Duration;

use dotterellane_protocol::quarantine::PartFingerprint;
use dotterellane_units::ClockInstant;

/// Time after a success in which a part is not suspected of a crash: one that crashes upstreams
/// never succeeds.
pub const SOUND_SPAN: Duration = Duration::from_secs(10);

/// Largest number of parts in each of the two generations.
const MAX_GENERATION_PARTS: usize = 2_048;

/// Parts with the time of their last success, in two generations; the older one is dropped when the
/// newer one is full or [`SOUND_SPAN`] old.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundParts {
    newer: HashMap<PartFingerprint, ClockInstant>,
    older: HashMap<PartFingerprint, ClockInstant>,
    newer_since: ClockInstant,
}

impl SoundParts {
    /// Notes that a request with these parts succeeded.
    pub(super) fn note(&mut self, now: ClockInstant, parts: &[PartFingerprint]) {
        let is_full = self.newer.len() + parts.len() > MAX_GENERATION_PARTS;
        if is_full || now.since(self.newer_since) >= SOUND_SPAN {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        self.newer.extend(parts.iter().map(|part| (*part, now)));
    }

    /// Returns when a request with this part last succeeded, if that was within [`SOUND_SPAN`].
    pub(super) fn last_success(
        &self,
        now: ClockInstant,
        part: PartFingerprint,
    ) -> Option<ClockInstant> {
        let at = *self.newer.get(&part).or_else(|| self.older.get(&part))?;
        (now.since(at) < SOUND_SPAN).then_some(at)
    }
}
