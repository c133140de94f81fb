//! Membership, freshness and the log of changes.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use dotterellane_units::{ConfigVersion, DomainId, HostId, HostIncarnation, OperatorId, RequestId};
use serde::{Deserialize, Serialize};

/// Position in the log of changes to hard state; 0 is before the first entry.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

impl LogPosition {
    /// Returns the position after this one.
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

/// One incarnation of a host, as the member list counts it. It never forgets what it confirmed.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct MemberId {
    /// The host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: HostIncarnation,
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}

/// A member as its row and the log describe it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberRecord {
    /// Incarnation of the host.
    #[serde(rename = "seat")]
    pub id: MemberId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Where the daemon receives datagrams.
    pub address: SocketAddr,
}

/// One difference of the configuration document: an entry of a section as it is from now on.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DocumentEdit {
    /// Section of the document, such as `keys`.
    pub section: String,
    /// Key within the section.
    pub key: String,
    /// The entry in JSON, `None` if it was removed.
    pub value: Option<String>,
}

/// What a log entry changes.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum LogBody {
    /// The configuration document.
    Configuration {
        /// Version that the change makes.
        version: ConfigVersion,
        /// Who asked.
        operator: OperatorId,
        /// What the operator said of it.
        summary: String,
        /// The differences.
        edits: Vec<DocumentEdit>,
    },
    /// The member list.
    Members {
        /// Members that join or replace an earlier incarnation of their host.
        joined: Vec<MemberRecord>,
        /// Seats that are listed no more.
        removed: Vec<MemberId>,
        /// Newest entry that the author knew to be in force; lists that this settles are dropped.
        in_force: LogPosition,
    },
    /// Other hard state, such as the owner of share slots; its owner knows the encoding.
    Other {
        /// Names the kind of state.
        kind: String,
        /// Content.
        content: Vec<u8>,
    },
}

/// One accepted change of hard state.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogEntry {
    /// Position of the entry.
    pub position: LogPosition,
    /// Names the change, so that one whose answer was lost is found again.
    pub change: RequestId,
    /// Host that committed it and collects the confirmations.
    pub author: HostId,
    /// Seconds since the Unix epoch, on the author's clock.
    pub accepted_at: u64,
    /// What it changes.
    pub body: LogBody,
}

/// How far a daemon is in the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LogHeads {
    /// Newest entry that the daemon follows, and by that confirms.
    pub followed: LogPosition,
    /// Newest entry that it knows to exist.
    pub known: LogPosition,
    /// Newest entry that it knows to be in force.
    pub in_force: LogPosition,
}

/// A question to a peer; evidence in the answer is counted from when this was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GossipQuestion {
    /// Number that the answer repeats.
    pub call: u64,
    /// How far the asker is.
    pub heads: LogHeads,
    /// Whether the answer shall carry a [`HeardReport`].
    pub wants_heard: bool,
    /// Whether the asker is about to leave.
    pub leaving: bool,
}

/// Which members a daemon has heard and which confirmed its own position.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HeardReport {
    /// Entry that made the member list which the levels are about.
    pub list: LogPosition,
    /// One [`QuantizedAge`] a seat, in the order of the list.
    pub ages: Vec<QuantizedAge>,
    /// Position that the bits are about.
    pub confirmed: LogPosition,
    /// One bit a seat, in the order of the list: whether it confirmed that position; none once it
    /// is in force.
    pub confirmed_bits: Vec<u8>,
    /// One bit a seat: whether it said that it leaves.
    pub leaving_bits: Vec<u8>,
}

/// Answers a [`GossipQuestion`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GossipAnswer {
    /// Number of the question.
    pub call: u64,
    /// How far the answerer is.
    pub heads: LogHeads,
    /// Age of the answerer's evidence of the table, in milliseconds, rounded up.
    pub table_age_millis: Option<u32>,
    /// What it heard, if asked for.
    pub heard: Option<HeardReport>,
    /// Whether the answerer is about to leave.
    pub leaving: bool,
}

/// Membership, freshness and the log of changes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GossipMessage {
    /// Asks how far a peer is and what it heard.
    Question(GossipQuestion),
    /// Answers a question.
    Answer(GossipAnswer),
    /// Carries a new entry on.
    Entry(LogEntry),
    /// Asks for one entry.
    EntryRequest(LogPosition),
    /// Tells an author how far the sender is.
    Confirmation(LogHeads),
}

/// The age of a hearing in one byte, never rounded down.
///
/// Fine up to 3 s, where it decides on freshness; coarse up to 18 s, where it tells who is alive.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct QuantizedAge(pub u8);

const FINE_STEP_MILLIS: u64 = 16;
const FINE_LEVELS: u64 = 192;
const COARSE_STEP_MILLIS: u64 = 250;
const COARSE_START_MILLIS: u64 = FINE_STEP_MILLIS * (FINE_LEVELS - 1);

impl QuantizedAge {
    /// The seat was not heard, or too long ago to tell.
    pub const UNKNOWN: Self = Self(u8::MAX);

    /// Returns the smallest level that is not younger than `age`.
    pub fn rounded_up(age: Duration) -> Self {
        let millis = u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX);
        if millis <= COARSE_START_MILLIS {
            let level = millis.div_ceil(FINE_STEP_MILLIS);
            return Self(u8::try_from(level).unwrap_or(u8::MAX));
        }
        let steps = (millis - COARSE_START_MILLIS).div_ceil(COARSE_STEP_MILLIS);
        u8::try_from((FINE_LEVELS - 1).saturating_add(steps)).map_or(Self::UNKNOWN, Self)
    }

    /// Returns the greatest age that the level stands for, `None` for [`QuantizedAge::UNKNOWN`].
    pub fn age(self) -> Option<Duration> {
        if self == Self::UNKNOWN {
            return None;
        }
        let level = u64::from(self.0);
        let millis = match level.checked_sub(FINE_LEVELS - 1) {
            Some(steps) => COARSE_START_MILLIS + steps * COARSE_STEP_MILLIS,
            None => level * FINE_STEP_MILLIS,
        };
        Some(Duration::from_millis(millis))
    }
}
