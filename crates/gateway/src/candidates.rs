//! The upstreams that could run a request now.

use dotterellane_decisions::allowed_regions::AllowedRegions;
use dotterellane_decisions::room_account::{RoomRequest, RoomShortage};
use dotterellane_decisions::upstream_choice::UpstreamCandidate;
use dotterellane_decisions::upstream_pace::PacedUpstream;
use dotterellane_decisions::upstream_room::{UpstreamCapacity, UpstreamRoom};
use dotterellane_units::{ClockInstant, UpstreamId};

use crate::directory::KnownUpstream;
use crate::dispatch::RequestProgress;
use crate::handler::GatewayCall;
use crate::state::{Host, HostState};

/// The upstreams that could run a request now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CandidateSet {
    /// Those to which every send needs a permit.
    pub limited: Vec<UpstreamCandidate>,
    /// All others.
    pub open: Vec<UpstreamCandidate>,
    /// Those that could run the request if they had room, with what is short.
    pub full: Vec<(UpstreamCandidate, RoomShortage)>,
}

impl CandidateSet {
    /// Returns the number of upstreams.
    pub fn count(&self) -> usize {
        self.limited.len() + self.open.len()
    }
}

/// Returns the upstreams that could run the request now, where `room` is what it needs there.
pub fn collect_candidates(
    host: &Host,
    state: &HostState,
    now: ClockInstant,
    call: &GatewayCall,
    progress: &RequestProgress,
    regions: &AllowedRegions,
    room: &RoomRequest,
) -> CandidateSet {
    let choice = call.head.model.as_ref();
    let usable = state.directory.usable(&progress.service, now);
    let mut set = CandidateSet::default();
    let able = usable
        .filter(|(_, known)| state.directory.is_in(known, regions))
        .filter(|(name, _)| !progress.excludes(name))
        .filter(|(_, known)| choice.is_none_or(|choice| known.holds(choice, now)))
        .filter(|(_, known)| progress.allowed.includes(state, now, &progress.service, known))
        .map(|(name, known)| describe(host, state, now, progress, name, known));
    for candidate in able {
        let checked = state.room.check(&candidate.name, &candidate.room.capacity, room);
        if let Err(shortage) = checked.and_then(|()| check_slots(state, now, &candidate)) {
            set.full.push((candidate, shortage));
        } else if state.directory.rate_limit(now, &candidate.name).is_some() {
            set.limited.push(candidate);
        } else {
            set.open.push(candidate);
        }
    }
    set
}

/// Checks that a brittle upstream has a free slot, as far as known.
///
/// # Errors
/// Fails if it has none.
fn check_slots(
    state: &HostState,
    now: ClockInstant,
    candidate: &UpstreamCandidate,
) -> Result<(), RoomShortage> {
    let known = state.directory.get(&candidate.name).map(|known| &known.entry);
    let is_brittle = known.is_some_and(|entry| {
        state.directory.brittle.is_brittle(now, &candidate.name, entry.report.started_at)
    });
    let UpstreamRoom { capacity, load } = candidate.room;
    let is_full = capacity.slots > 0 && load.requests >= capacity.slots;
    if is_brittle && is_full { Err(RoomShortage::Slots) } else { Ok(()) }
}

fn describe(
    host: &Host,
    state: &HostState,
    now: ClockInstant,
    progress: &RequestProgress,
    name: &UpstreamId,
    known: &KnownUpstream,
) -> UpstreamCandidate {
    let room = room_of(state, name, known);
    let paced = PacedUpstream::new(name, known.entry.report.started_at);
    let slowness = room.capacity.memory.map_or(1.0, |_| state.paces.slowness(now, &paced));
    UpstreamCandidate {
        name: name.clone(),
        same_domain: known.entry.domain == host.settings.domain,
        room,
        slowness,
        failing: known.is_failing(now),
        tried: progress.tried.contains(name),
    }
}

fn room_of(state: &HostState, name: &UpstreamId, known: &KnownUpstream) -> UpstreamRoom {
    let capacity = UpstreamCapacity {
        slots: known.entry.slots,
        memory: state.request_memory(&known.entry.service),
    };
    UpstreamRoom { capacity, load: state.room.load(name) }
}
