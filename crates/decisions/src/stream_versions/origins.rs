//! Remembers at which software version the streams of callers began.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use dotterellane_units::{ClockInstant, ServiceId};
use serde::{Deserialize, Serialize};

use super::{STREAM_LIFETIME, StreamDigest, StreamOrigin};

/// Maximum number of streams that a host remembers.
const MAX_STREAMS: usize = 100_000;

/// Streams that began at one origin, as hosts report them to each other and write them to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OriginReport {
    /// Where they began.
    pub origin: StreamOrigin,
    /// The streams.
    pub streams: Vec<StreamDigest>,
}

#[derive(Clone, Debug)]
struct OriginEntry {
    /// `None` if the id was used for streams of several origins.
    origin: Option<StreamOrigin>,
    noted: ClockInstant,
}

/// The streams that began at this host, or at another one that told this host.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    entries: BTreeMap<StreamDigest, OriginEntry>,
    /// Streams in the order in which they were noted.
    order: VecDeque<(ClockInstant, StreamDigest)>,
    /// Streams that began here and have not been told to other hosts.
    untold: PendingStreams,
    /// Streams that began here and are not in the store.
    unwritten: PendingStreams,
}

/// Streams by the service at which they began.
type PendingStreams = BTreeMap<ServiceId, BTreeSet<StreamDigest>>;

impl StreamOrigins {
    /// Notes that a stream began at this host.
    pub fn note_own(&mut self, now: ClockInstant, stream: StreamDigest, origin: StreamOrigin) {
        let known = self.entries.get(&stream).and_then(|entry| entry.origin.as_ref());
        if known != Some(&origin) {
            for pending in [&mut self.untold, &mut self.unwritten] {
                pending.entry(origin.service.clone()).or_default().insert(stream);
            }
        }
        self.note(now, stream, origin);
    }

    /// Notes what another host or the store says.
    pub fn absorb(&mut self, now: ClockInstant, report: &OriginReport) {
        for stream in &report.streams {
            self.note(now, *stream, report.origin.clone());
        }
    }

    fn note(&mut self, now: ClockInstant, stream: StreamDigest, origin: StreamOrigin) {
        let origin = match self.entries.get(&stream) {
            Some(known) if known.origin.as_ref() != Some(&origin) => None,
            Some(known) if now.since(known.noted) < STREAM_LIFETIME / 2 => return,
            _ => Some(origin),
        };
        self.entries.insert(stream, OriginEntry { origin, noted: now });
        self.order.push_back((now, stream));
        self.sweep(now);
    }

    /// Forgets streams that can no longer be resumed, and the oldest ones if there are too many.
    fn sweep(&mut self, now: ClockInstant) {
        while let Some((noted, stream)) = self.order.front().copied() {
            if now.since(noted) < STREAM_LIFETIME && self.order.len() <= MAX_STREAMS {
                break;
            }
            self.order.pop_front();
            // A stream that was noted again later stays.
            if self.entries.get(&stream).is_some_and(|entry| entry.noted == noted) {
                self.forget(&stream);
            }
        }
    }

    fn forget(&mut self, stream: &StreamDigest) {
        let Some(origin) = self.entries.remove(stream).and_then(|entry| entry.origin) else {
            return;
        };
        for pending in [&mut self.untold, &mut self.unwritten] {
            if let Some(streams) = pending.get_mut(&origin.service) {
                streams.remove(stream);
            }
        }
    }

    /// Returns where a stream began, if that is known for certain.
    pub fn get(&self, stream: &StreamDigest) -> Option<&StreamOrigin> {
        self.entries.get(stream).and_then(|entry| entry.origin.as_ref())
    }

    /// Returns the streams that began here at a service that `is_wanted` and have not been told to
    /// others; they count as told from now on.
    pub fn take_untold<W>(&mut self, is_wanted: W) -> Vec<(StreamDigest, StreamOrigin)>
    where
        W: Fn(&ServiceId) -> bool,
    {
        take_wanted(&mut self.untold, &self.entries, is_wanted)
    }

    /// Returns up to `most` streams that began here at a service that `is_wanted` and are not in the
    /// store; they count as written from now on.
    pub fn take_unwritten<W>(&mut self, most: usize, is_wanted: W) -> Vec<OriginReport>
    where
        W: Fn(&ServiceId) -> bool,
    {
        let mut taken = take_wanted(&mut self.unwritten, &self.entries, is_wanted);
        let rest = taken.split_off(most.min(taken.len()));
        for (stream, origin) in rest {
            self.unwritten.entry(origin.service).or_default().insert(stream);
        }
        let mut reports: BTreeMap<StreamOrigin, Vec<StreamDigest>> = BTreeMap::new();
        for (stream, origin) in taken {
            reports.entry(origin).or_default().push(stream);
        }
        reports.into_iter().map(|(origin, streams)| OriginReport { origin, streams }).collect()
    }

    /// Notes that streams are not in the store, as the write failed.
    pub fn put_back_unwritten(&mut self, reports: &[OriginReport]) {
        for OriginReport { origin, streams } in reports {
            let known = streams.iter().filter(|stream| self.entries.contains_key(*stream));
            self.unwritten.entry(origin.service.clone()).or_default().extend(known.copied());
        }
    }
}

/// Removes from `pending` the streams of services that are wanted, and returns those whose origin is
/// certain.
fn take_wanted<W>(
    pending: &mut PendingStreams,
    entries: &BTreeMap<StreamDigest, OriginEntry>,
    is_wanted: W,
) -> Vec<(StreamDigest, StreamOrigin)>
where
    W: Fn(&ServiceId) -> bool,
{
    let mut taken = Vec::new();
    pending.retain(|service, streams| {
        let wanted = is_wanted(service);
        if wanted {
            let known = streams.iter().filter_map(|stream| {
                let origin = entries.get(stream)?.origin.as_ref()?;
                Some((*stream, origin.clone()))
            });
            taken.extend(known);
        }
        !wanted
    });
    taken
}
