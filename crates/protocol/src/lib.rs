//! Messages between the daemons of one fleet.
//!
//! Every message is a [`PeerMessage`], encoded with `postcard` and sent in one authenticated UDP
//! datagram (see [`envelope`]). Datagrams may be lost, duplicated or reordered. Senders repeat
//! their requests, so every receiver is idempotent.
//!
//! `postcard` writes no field names: fields and variants may be renamed, but adding, removing or
//! reordering them changes the protocol.

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
pub use quarantine::{
    CrashReport, CrashSuspect, PartFingerprint, RequestFingerprint, UpstreamStart,
};
pub use shares::ShareMessage;

/// Version of this protocol; datagrams of other versions are refused and counted.
pub const PROTOCOL_VERSION: u8 = 1;

/// Largest encoded message, in bytes.
///
/// With the envelope it fits one unfragmented UDP datagram at the usual MTU of 1,500 bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_200;

/// Message from one daemon to another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerMessage {
    /// Membership, freshness and the log of changes.
    Gossip(GossipMessage),
    /// Rate limits of teams.
    Shares(ShareMessage),
    /// Permits to send requests to runners.
    Dispatch(DispatchMessage),
    /// Loading of models and state of their replicas.
    Placement(PlacementMessage),
    /// Crashes of upstreams and the requests suspected of causing them.
    Quarantine(CrashReport),
}
