//! Messages between the daemons of one fleet.
//!
//! Every message is a [`PeerMessage`], encoded with `postcard` and carried in a sealed datagram.
//! A message is answered by another message that repeats its call number; senders repeat calls,
//! so every receiver is idempotent.

pub mod dispatch;
pub mod envelope;
pub mod gossip;
pub mod placement;
pub mod quarantine;
pub mod shares;

use serde::{Deserialize, Serialize};

pub use dispatch::DispatchMessage;
pub use envelope::{
    EnvelopeContent, EnvelopeKey, EnvelopeOpener, EnvelopeSealer, MAX_DATAGRAM_BYTES, OpenError,
    SealError,
};
pub use gossip::{
    DocumentEdit, GossipAnswer, GossipMessage, GossipQuestion, HeardReport, LogBody, LogEntry,
    LogHeads, LogPosition, MemberId, MemberRecord, QuantizedAge,
};
pub use placement::PlacementMessage;
pub use quarantine::{CrashReport, RequestFingerprint};
pub use shares::ShareMessage;

/// Version of the inner protocol; a datagram with another one is refused and counted.
pub const PROTOCOL_VERSION: u8 = 1;

/// Largest encoded message, in bytes; fits one datagram on every usual network.
pub const MAX_MESSAGE_BYTES: usize = 1_200;

/// One message from one daemon to another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerMessage {
    /// Membership, freshness and soft state.
    Gossip(GossipMessage),
    /// Pledges, grants and recalls of team shares.
    Shares(ShareMessage),
    /// Permits of a model's dispatcher.
    Dispatch(DispatchMessage),
    /// Wakes and keepers of runners.
    Placement(PlacementMessage),
    /// Crashes of upstreams.
    Quarantine(CrashReport),
}
