//! Sealed datagrams: who sent them to whom, that nobody changed them, and that they are no replay.
//!
//! A datagram is the protocol version (one byte), the sealed part in `postcard`, and a keyed
//! BLAKE3 tag over both. The content is authenticated, not encrypted.

use std::collections::BTreeMap;

use dotterellane_units::{HostId, HostIncarnation};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use thiserror::Error;

use crate::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION, PeerMessage};

/// Length of the tag, in bytes.
pub const TAG_BYTES: usize = 16;

/// Largest sealed datagram, in bytes: the message, the tag and two host ids with their numbers.
pub const MAX_DATAGRAM_BYTES: usize = MAX_MESSAGE_BYTES + 200;

/// How far behind the newest counter of its sender a datagram may arrive.
pub const REPLAY_WINDOW: u64 = 128;

const KEY_CONTEXT: &str = "dotterellane 2026-12 datagrams between daemons";

/// Key that every daemon of a fleet derives from the shared secret.
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

/// The sealed part of a datagram.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EnvelopeContent {
    /// Host that sends.
    pub from: HostId,
    /// Incarnation of the sender.
    pub incarnation: HostIncarnation,
    /// Host that shall receive.
    pub to: HostId,
    /// Grows by one with each datagram of this incarnation.
    pub counter: u64,
    /// The message.
    pub message: PeerMessage,
}

/// Why a message could not be sealed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum SealError {
    /// The encoded message is too long for a datagram.
    #[error("seal for {to}: message of {length} bytes is longer than {MAX_MESSAGE_BYTES}")]
    TooLong {
        /// Host that it was meant for.
        to: HostId,
        /// Encoded length.
        length: usize,
    },
    /// The message cannot be encoded.
    #[error("seal for {to}: {cause}")]
    Encoding {
        /// Host that it was meant for.
        to: HostId,
        /// What the codec said.
        cause: String,
    },
}

/// Why a datagram was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum OpenError {
    /// The version byte is not [`PROTOCOL_VERSION`].
    #[error("open datagram: protocol version {0} is not spoken here")]
    Version(u8),
    /// The tag does not fit: another secret, or a changed datagram.
    #[error("open datagram: the tag does not fit")]
    Tag,
    /// The content cannot be decoded.
    #[error("open datagram: the content is malformed")]
    Malformed,
    /// The datagram was meant for another host.
    #[error("open datagram: it was meant for another host")]
    Addressee,
    /// The datagram was seen before, or is too old to tell.
    #[error("open datagram: it was seen before")]
    Replay,
    /// A later incarnation of the sender was heard already.
    #[error("open datagram: its sender has been replaced")]
    Superseded,
}

impl OpenError {
    /// Returns the reason as a metric label.
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
    /// Starts with the first counter of `incarnation`.
    pub fn new(key: EnvelopeKey, from: HostId, incarnation: HostIncarnation) -> Self {
        Self { key, from, incarnation, counter: 0 }
    }

    /// Seals `message` for `to`.
    ///
    /// # Errors
    /// Fails if the message does not fit a datagram.
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

/// Opens the datagrams that reach one daemon.
#[derive(Debug)]
pub struct EnvelopeOpener {
    key: EnvelopeKey,
    own: HostId,
    windows: BTreeMap<HostId, ReplayWindow>,
}

impl EnvelopeOpener {
    /// Opens datagrams meant for `own`.
    pub fn new(key: EnvelopeKey, own: HostId) -> Self {
        Self { key, own, windows: BTreeMap::new() }
    }

    /// Checks a datagram and returns its content.
    ///
    /// # Errors
    /// Fails if the datagram is not an unseen one from a daemon of this fleet to this host.
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
        if content.to != self.own {
            return Err(OpenError::Addressee);
        }
        let window = self.windows.entry(content.from.clone()).or_default();
        window.admit(content.incarnation, content.counter)?;
        Ok(content)
    }

    /// Forgets the counters of hosts that `keep` does not name.
    pub fn retain<K>(&mut self, keep: K)
    where
        K: Fn(&HostId) -> bool,
    {
        self.windows.retain(|host, _| keep(host));
    }
}

/// Which counters of a sender's newest incarnation were seen.
#[derive(Debug, Default)]
struct ReplayWindow {
    incarnation: HostIncarnation,
    highest: u64,
    // Bit n stands for the counter `highest - n`.
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
