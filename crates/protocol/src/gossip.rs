//! Messages about membership, freshness and the log of changes.
//!
//! The log orders every change of replicated state: the configuration document, the member list
//! and the owners of share slots. A daemon confirms an entry by applying it. An entry is in force
//! once no daemon that lacks it can admit requests any more; a daemon is fresh while it knows that
//! it lacks no entry in force.
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use dotterellane_units::{ConfigVersion, DomainId, HostId, HostIncarnation, OperatorId, RequestId};
use serde::{Deserialize, Serialize};

/// Position in the log of changes; the first entry has position 1, and position 0 (the default) is
/// before the first entry.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

impl LogPosition {
    /// Returns the position of the following entry.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a member: one incarnation of a host.
///
/// A member keeps what it has confirmed for as long as it runs; a restart makes a new member.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct MemberId {
    /// Host that the member's daemon runs on.
    pub host: HostId,
    /// Incarnation of that host; grows with each start of its daemon.
    pub incarnation: HostIncarnation,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}

/// Entry of the member list, as stored in the member's row and in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberRecord {
    /// Host and incarnation of the member.
    #[serde(rename = "seat")]
    pub id: MemberId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address at which the daemon receives datagrams.
    pub address: SocketAddr,
}

/// Edit of the configuration document: sets or removes one entry of a section.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DocumentEdit {
    /// Section of the document, such as `keys`.
    pub section: String,
    /// Key within the section.
    pub key: String,
    /// New content of the entry in JSON, `None` to remove the entry.
    pub value: Option<String>,
}

/// Change that a log entry makes.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum LogBody {
    /// Changes the configuration document.
    Configuration {
        /// Version of the document after the change.
        version: ConfigVersion,
        /// Operator who made the change.
        operator: OperatorId,
        /// Operator's description of the change.
        summary: String,
        /// Edits, applied in this order.
        edits: Vec<DocumentEdit>,
    },
    /// Changes the member list.
    Members {
        /// Members that join; each replaces an earlier incarnation of its host.
        joined: Vec<MemberRecord>,
        /// Members that are removed.
        removed: Vec<MemberId>,
        /// Newest entry that the author knew to be in force. Member lists from before that entry
        /// no longer count for quorums and are dropped.
        in_force: LogPosition,
    },
    /// Changes other replicated state, such as the owners of share slots.
    Other {
        /// Kind of state, which also determines the encoding of `content`.
        kind: String,
        /// Encoded change.
        content: Vec<u8>,
    },
}

/// One accepted change of replicated state.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogEntry {
    /// Position in the log.
    pub position: LogPosition,
    /// Identifies the change, so that an author whose commit was not answered can find out whether
    /// it took effect.
    pub change: RequestId,
    /// Host that committed the entry and collects its confirmations.
    pub author: HostId,
    /// Time of the commit in seconds since the Unix epoch, on the author's clock.
    pub accepted_at: u64,
    /// Change that the entry makes.
    pub body: LogBody,
}

/// Progress of a daemon in the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogHeads {
    /// Newest entry that the daemon has applied, and thereby confirms.
    pub followed: LogPosition,
    /// Newest entry that the daemon knows to exist.
    pub known: LogPosition,
    /// Newest entry that the daemon knows to be in force.
    pub in_force: LogPosition,
}

/// Asks a peer for its progress and optionally for what it heard from other members.
///
/// Ages in the answer count back from when the question was sent, so that the time on the network
/// never makes evidence look younger than it is.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GossipQuestion {
    /// Number of the question; the answer repeats it.
    pub call: u64,
    /// Progress of the sender.
    pub heads: LogHeads,
    /// Whether the answer must carry a [`HeardReport`].
    pub wants_heard: bool,
    /// Whether the sender is about to leave the fleet.
    pub leaving: bool,
}

/// When a daemon last heard from each member, and which members confirmed its own position.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeardReport {
    /// Entry that made the member list to which the report refers.
    pub list: LogPosition,
    /// Time since each member was last heard from, in the order of the member list.
    pub ages: Vec<QuantizedAge>,
    /// Position to which `confirmed_bits` refers: the newest entry that the sender has applied.
    pub confirmed: LogPosition,
    /// One bit for each member, in the order of the member list: whether it confirmed that entry.
    /// Empty once the entry is in force.
    pub confirmed_bits: Vec<u8>,
    /// One bit for each member, in the order of the member list: whether it announced that it
    /// leaves.
    pub leaving_bits: Vec<u8>,
}

/// Answers a [`GossipQuestion`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GossipAnswer {
    /// Number of the question that is answered.
    pub call: u64,
    /// Progress of the sender.
    pub heads: LogHeads,
    /// Time since the head of the log was read from the store's table, by the sender or a peer, in
    /// milliseconds, rounded up. `None` if that is unknown or too long ago.
    pub table_age_millis: Option<u32>,
    /// What the sender heard from other members, if the question wants it.
    pub heard: Option<HeardReport>,
    /// Whether the sender is about to leave the fleet.
    pub leaving: bool,
}

/// Messages about membership, freshness and the log of changes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GossipMessage {
    /// Asks a peer for its progress and for what it heard.
    Question(GossipQuestion),
    /// Answers a [`GossipMessage::Question`].
    Answer(GossipAnswer),
    /// Forwards a new entry.
    Entry(LogEntry),
    /// Requests the entry at a position.
    EntryRequest(LogPosition),
    /// Tells the author of an entry the sender's progress.
    Confirmation(LogHeads),
}

/// Time since a member was last heard from, rounded up to a step that fits one byte.
///
/// Steps are 16 ms up to about 3 s, the range that decides on freshness, and 250 ms up to about
/// 18 s, the range that decides whether a member counts as alive.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct QuantizedAge(pub u8);

const FINE_STEP_MILLIS: u64 = 16;
const FINE_STEPS: u64 = 192;
const COARSE_STEP_MILLIS: u64 = 250;
const COARSE_START_MILLIS: u64 = FINE_STEP_MILLIS * (FINE_STEPS - 1);

impl QuantizedAge {
    /// The member was never heard from, or longer ago than the largest step.
    pub const UNKNOWN: Self = Self(u8::MAX);

    /// Returns the smallest quantized age that is at least `age`.
    pub fn rounded_up(age: Duration) -> Self {
        let millis = u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX);
        if millis <= COARSE_START_MILLIS {
            let step = millis.div_ceil(FINE_STEP_MILLIS);
            return Self(u8::try_from(step).unwrap_or(u8::MAX));
        }
        let steps = (millis - COARSE_START_MILLIS).div_ceil(COARSE_STEP_MILLIS);
        u8::try_from((FINE_STEPS - 1).saturating_add(steps)).map_or(Self::UNKNOWN, Self)
    }

    /// Returns the upper bound of the age, `None` for [`QuantizedAge::UNKNOWN`].
    pub fn age(self) -> Option<Duration> {
        if self == Self::UNKNOWN {
            return None;
        }
        let step = u64::from(self.0);
        let millis = match step.checked_sub(FINE_STEPS - 1) {
            Some(steps) => COARSE_START_MILLIS + steps * COARSE_STEP_MILLIS,
            None => step * FINE_STEP_MILLIS,
        };
        Some(Duration::from_millis(millis))
    }
}
