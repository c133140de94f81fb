//! Authenticated datagrams between the daemons of a fleet.
//!
//! A datagram consists of the protocol version (one byte), the content in `postcard`, and a keyed
//! BLAKE3 tag over both. The tag proves that a daemon of the fleet made the datagram and that it
//! was not modified. The content names sender and addressee and carries a counter against replays.
//! It is not encrypted.

use std::collections::BTreeMap;

use dotterellane_units::{HostId, HostIncarnation};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION, PeerMessage};

/// Length of the authentication tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// Largest sealed datagram, in bytes.
///
/// The 200 bytes beyond the message hold version, tag, two host ids, incarnation and counter.
pub const MAX_DATAGRAM_BYTES: usize = MAX_MESSAGE_BYTES + 200;

/// Number of counters below the newest of a sender at which late datagrams are still accepted.
pub const REPLAY_WINDOW: u64 = 128;

const KEY_CONTEXT: &str = "dotterellane 2026-12 datagrams between daemons";

/// Authentication key, derived by every daemon from the fleet's shared secret.
#[derive(Clone)]
pub struct EnvelopeKey([u8; 32]);

impl EnvelopeKey {
    /// Derives the key from the fleet's secret.
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret))
    }

    fn tag(&self, sealed: &[u8]) -> [u8; TAG_BYTES] {
        let digest = blake3::keyed_hash(&self.0, sealed);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&digest.as_bytes()[..TAG_BYTES]);
        tag
    }
}

impl std::fmt::Debug for EnvelopeKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EnvelopeKey")
    }
}

/// Content of a datagram: its message with sender, addressee and counter.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EnvelopeContent {
    /// Sender.
    pub from: HostId,
    /// Incarnation of the sender.
    pub incarnation: HostIncarnation,
    /// Addressee; every other host refuses the datagram.
    pub to: HostId,
    /// Number of datagrams that this incarnation has sealed, this one included.
    pub counter: u64,
    /// Payload.
    pub message: PeerMessage,
}

/// Why a message could not be sealed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum SealError {
    /// The encoded message is too long for a datagram.
    #[error("seal datagram for {to}: message of {length} bytes exceeds {MAX_MESSAGE_BYTES} bytes")]
    TooLong {
        /// Addressee.
        to: HostId,
        /// Encoded length of the message, in bytes.
        length: usize,
    },
    /// The message cannot be encoded.
    #[error("seal datagram for {to}: {cause}")]
    Encoding {
        /// Addressee.
        to: HostId,
        /// Error of the codec.
        cause: String,
    },
}

/// Why a received datagram was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum OpenError {
    /// The version byte is not [`PROTOCOL_VERSION`].
    #[error("open datagram: unsupported protocol version {0}")]
    Version(u8),
    /// The tag does not match: the sender has another secret, or the datagram was modified.
    #[error("open datagram: the authentication tag does not match")]
    Tag,
    /// The datagram is too short, or its content cannot be decoded.
    #[error("open datagram: the content is malformed")]
    Malformed,
    /// The datagram is addressed to another host.
    #[error("open datagram: it is addressed to another host")]
    Addressee,
    /// The datagram was received before, or is older than the replay window.
    #[error("open datagram: it is a replay or older than the replay window")]
    Replay,
    /// A datagram of a later incarnation of the sender was received before.
    #[error("open datagram: a later incarnation of its sender is known")]
    Superseded,
}

impl OpenError {
    /// Returns the value of the metric label `reason` for this error.
    pub fn label(self) -> &'static str {
        match self {
            Self::Version(_) => "version",
            Self::Tag => "tag",
            Self::Malformed => "malformed",
            Self::Addressee => "addressee",
            Self::Replay => "replay",
            Self::Superseded => "superseded",
        }
    }
}

/// Seals the datagrams of one daemon.
#[derive(Debug)]
pub struct EnvelopeSealer {
    key: EnvelopeKey,
    from: HostId,
    incarnation: HostIncarnation,
    counter: u64,
}

impl EnvelopeSealer {
    /// Creates a sealer for the host `from`; `incarnation` must not have sealed anything before.
    pub fn new(key: EnvelopeKey, from: HostId, incarnation: HostIncarnation) -> Self {
        Self { key, from, incarnation, counter: 0 }
    }

    /// Seals `message` for `to`.
    ///
    /// # Errors
    /// Fails if the message cannot be encoded or is longer than [`MAX_MESSAGE_BYTES`].
    pub fn seal(&mut self, to: &HostId, message: PeerMessage) -> Result<Vec<u8>, SealError> {
        let encoding = |error: postcard::Error| SealError::Encoding {
            to: to.clone(),
            cause: error.to_string(),
        };
        let length = postcard::experimental::serialized_size(&message).map_err(encoding)?;
        if length > MAX_MESSAGE_BYTES {
            return Err(SealError::TooLong { to: to.clone(), length });
        }
        self.counter += 1;
        let content = EnvelopeContent {
            from: self.from.clone(),
            incarnation: self.incarnation,
            to: to.clone(),
            counter: self.counter,
            message,
        };
        let mut datagram = vec![PROTOCOL_VERSION];
        datagram.extend(postcard::to_stdvec(&content).map_err(encoding)?);
        let tag = self.key.tag(&datagram);
        datagram.extend(tag);
        Ok(datagram)
    }
}

/// Checks and decodes the datagrams that one daemon receives.
#[derive(Debug)]
pub struct EnvelopeOpener {
    key: EnvelopeKey,
    own_host: HostId,
    windows: BTreeMap<HostId, ReplayWindow>,
}

impl EnvelopeOpener {
    /// Creates an opener for datagrams that are addressed to the host `own_host`.
    pub fn new(key: EnvelopeKey, own_host: HostId) -> Self {
        Self { key, own_host, windows: BTreeMap::new() }
    }

    /// Checks a datagram and returns its content.
    ///
    /// # Errors
    /// Fails if the datagram was not made by a daemon of this fleet, is addressed to another host,
    /// was received before, or comes from an earlier incarnation of its sender.
    pub fn open(&mut self, datagram: &[u8]) -> Result<EnvelopeContent, OpenError> {
        let version = *datagram.first().ok_or(OpenError::Malformed)?;
        if version != PROTOCOL_VERSION {
            return Err(OpenError::Version(version));
        }
        let length = datagram.len().checked_sub(TAG_BYTES).ok_or(OpenError::Malformed)?;
        let (sealed, tag) = datagram.split_at(length);
        if !bool::from(self.key.tag(sealed).ct_eq(tag)) {
            return Err(OpenError::Tag);
        }
        let content: EnvelopeContent = sealed
            .get(1..)
            .and_then(|encoded| postcard::from_bytes(encoded).ok())
            .ok_or(OpenError::Malformed)?;
        if content.to != self.own_host {
            return Err(OpenError::Addressee);
        }
        let window = self.windows.entry(content.from.clone()).or_default();
        window.admit(content.incarnation, content.counter)?;
        Ok(content)
    }

    /// Drops the replay windows of all hosts for which `keep` returns false.
    pub fn retain<K>(&mut self, keep: K)
    where
        K: Fn(&HostId) -> bool,
    {
        self.windows.retain(|host, _| keep(host));
    }
}

/// Counters received from a sender's newest incarnation.
#[derive(Debug, Default)]
struct ReplayWindow {
    incarnation: HostIncarnation,
    highest: u64,
    /// Bit `n` is set if the counter `highest - n` was received.
    seen: u128,
}

impl ReplayWindow {
    fn admit(&mut self, incarnation: HostIncarnation, counter: u64) -> Result<(), OpenError> {
        if incarnation < self.incarnation {
            return Err(OpenError::Superseded);
        }
        if incarnation > self.incarnation {
            *self = Self { incarnation, highest: 0, seen: 0 };
        }
        if counter > self.highest {
            let shift = counter - self.highest;
            let kept = if shift < REPLAY_WINDOW { self.seen << shift } else { 0 };
            self.seen = kept | 1;
            self.highest = counter;
            return Ok(());
        }
        let behind = self.highest - counter;
        if behind >= REPLAY_WINDOW || self.seen >> behind & 1 == 1 {
            return Err(OpenError::Replay);
        }
        self.seen |= 1 << behind;
        Ok(())
    }
}
