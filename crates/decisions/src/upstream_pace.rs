//! How fast upstreams are, learned from the gaps between the events that they send.
//!
//! Every host turns the beginning of each stream into one sample and passes its samples on, so all
//! hosts learn from the streams of all. A gap depends on the model as well as on the upstream;
//! both are learned together as logarithms, whose sum a sample measures. One sample moves an
//! estimate by a bounded step, whatever it says.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dotterellane_units::{ClockInstant, ModelId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Number of events after the first one over which the gap of a stream is measured.
pub const SAMPLED_EVENTS: u32 = 8;

/// Maximum number of samples in one message, and kept for the next one.
pub const MAX_SHARED_SAMPLES: usize = 16;

/// Time in which what was learned loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Weight below which nothing is remembered.
const MIN_WEIGHT: f64 = 0.05;

/// Maximum weight of what was learned, in samples: an upstream that changes is known after as many.
const MAX_WEIGHT: f64 = 16.0;

/// Weight of the assumption that an upstream is average, in samples.
const AVERAGE_WEIGHT: f64 = 2.0;

/// Maximum difference from the expected gap that a sample counts with, in octaves.
const MAX_SURPRISE: f64 = 1.0;

/// Maximum distance of an upstream from the average, in octaves.
const MAX_OCTAVES: f64 = 2.0;

/// Steps of an encoded gap in one octave.
const STEPS_PER_OCTAVE: f64 = 8.0;

/// One start of an upstream, as a digest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct PacedUpstream([u8; 4]);

impl PacedUpstream {
    /// Returns the digest of `name` as started at `started_at`.
    pub fn new(name: &UpstreamId, started_at: u64) -> Self {
        Self(digest_of(&[name.as_str().as_bytes(), &started_at.to_le_bytes()]))
    }
}

/// A model, as a digest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct PacedModel([u8; 3]);

impl PacedModel {
    /// Returns the digest of `model`.
    pub fn new(model: &ModelId) -> Self {
        Self(digest_of(&[model.as_str().as_bytes()]))
    }
}

fn digest_of<const N: usize>(parts: &[&[u8]]) -> [u8; N] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut digest = [0; N];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..N]);
    digest
}

/// The mean gap between the first events of one stream. Takes 8 bytes in a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PaceSample {
    upstream: PacedUpstream,
    model: PacedModel,
    /// Logarithm of the gap in microseconds, in steps of an eighth of an octave.
    steps: u8,
}

impl PaceSample {
    /// Creates a sample of a stream of `model` from `upstream`.
    pub fn new(upstream: PacedUpstream, model: PacedModel, gap: Duration) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "a gap has few digits")]
        let micros = (gap.as_micros().max(1)) as f64;
        let steps = (micros.log2() * STEPS_PER_OCTAVE).round().clamp(0.0, 255.0);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        let steps = steps as u8;
        Self { upstream, model, steps }
    }

    fn octaves(self) -> f64 {
        f64::from(self.steps) / STEPS_PER_OCTAVE
    }
}

/// Measures the gap between the first events of one stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPace {
    /// When the first event arrived, and how many were complete then.
    first: Option<(ClockInstant, u32)>,
    is_measured: bool,
}

impl StreamPace {
    /// Records that `events` events were complete at `now`. Returns the mean gap once, as soon as
    /// enough events have arrived.
    pub fn note(&mut self, now: ClockInstant, events: u32) -> Option<Duration> {
        if events == 0 || self.is_measured {
            return None;
        }
        let (first_at, first) = *self.first.get_or_insert((now, events));
        let gaps = events.saturating_sub(first);
        self.is_measured = gaps >= SAMPLED_EVENTS;
        self.is_measured.then(|| now.since(first_at) / gaps)
    }
}

/// An estimate in octaves, and how many samples it stands for.
#[derive(Clone, Copy, Debug)]
struct LearnedOctaves {
    value: f64,
    weight: f64,
    learned_at: ClockInstant,
}

impl LearnedOctaves {
    fn weight(&self, now: ClockInstant) -> f64 {
        let age = now.since(self.learned_at).as_secs_f64();
        self.weight * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Moves the estimate by its part of `surprise`, against a resistance of `prior` samples.
    fn learn(&mut self, now: ClockInstant, surprise: f64, prior: f64) {
        self.weight = (self.weight(now) + 1.0).min(MAX_WEIGHT);
        self.learned_at = now;
        self.value += surprise / (self.weight + prior);
    }
}

/// How fast the upstreams are, as far as the samples of all hosts tell.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPaces {
    /// Distance of each upstream from the average, in octaves.
    upstreams: BTreeMap<PacedUpstream, LearnedOctaves>,
    /// Gap of each model at an average upstream, in octaves over a microsecond.
    models: BTreeMap<PacedModel, LearnedOctaves>,
    /// Own samples that were not passed on yet.
    unshared: VecDeque<PaceSample>,
}

impl UpstreamPaces {
    /// Learns from a stream of this host, and keeps the sample to pass it on.
    pub fn observe(&mut self, now: ClockInstant, sample: PaceSample) {
        self.absorb(now, sample);
        if self.unshared.len() == MAX_SHARED_SAMPLES {
            self.unshared.pop_front();
        }
        self.unshared.push_back(sample);
    }

    /// Learns from a stream of any host.
    pub fn absorb(&mut self, now: ClockInstant, sample: PaceSample) {
        let distance = self.distance(now, &sample.upstream);
        let gap = sample.octaves();
        let Some(model) = self.models.get_mut(&sample.model) else {
            // Nothing to compare with: the upstream is taken for what it was.
            let model = LearnedOctaves { value: gap - distance, weight: 1.0, learned_at: now };
            self.models.insert(sample.model, model);
            return;
        };
        let surprise = (gap - distance - model.value).clamp(-MAX_SURPRISE, MAX_SURPRISE);
        model.learn(now, surprise, 0.0);
        let average = LearnedOctaves { value: 0.0, weight: 0.0, learned_at: now };
        let upstream = self.upstreams.entry(sample.upstream).or_insert(average);
        upstream.value = distance;
        upstream.learn(now, surprise, AVERAGE_WEIGHT);
        upstream.value = upstream.value.clamp(-MAX_OCTAVES, MAX_OCTAVES);
    }

    /// Returns the time that the upstream takes as a multiple of what an average one takes: 1 if
    /// nothing is known of it.
    pub fn slowness(&self, now: ClockInstant, upstream: &PacedUpstream) -> f64 {
        self.distance(now, upstream).exp2()
    }

    /// Returns the samples to pass on.
    pub fn take_unshared(&mut self) -> Vec<PaceSample> {
        self.unshared.drain(..).collect()
    }

    /// Forgets upstreams and models without recent samples.
    pub fn sweep(&mut self, now: ClockInstant) {
        self.upstreams.retain(|_, learned| learned.weight(now) > MIN_WEIGHT);
        self.models.retain(|_, learned| learned.weight(now) > MIN_WEIGHT);
    }

    /// Returns an upstream's distance from the average, which it approaches while nothing is heard
    /// of it.
    fn distance(&self, now: ClockInstant, upstream: &PacedUpstream) -> f64 {
        self.upstreams.get(upstream).map_or(0.0, |learned| {
            let faded = learned.weight(now) / learned.weight.max(MIN_WEIGHT);
            learned.value * faded.min(1.0)
        })
    }
}
