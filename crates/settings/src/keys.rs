//! API keys of callers (`dk_<id>_<secret>`) and operators (`do_<id>_<secret>`).
//!
//! The document stores only digests; a key itself is kept in memory only while it is issued or
//! checked.

use std::fmt;
use std::str::FromStr;

use dotterellane_units::{KeyId, OperatorId};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Length of the random part of a key, in bytes.
pub const SECRET_BYTES: usize = 32;
/// Length of the random part of a key, in hex digits.
const SECRET_DIGITS: usize = 2 * SECRET_BYTES;
/// Length of a digest, in hex digits.
const DIGEST_DIGITS: usize = 2 * blake3::OUT_LEN;
const CALLER_PREFIX: &str = "dk_";
const OPERATOR_PREFIX: &str = "do_";

/// Error of parsing a key. It does not contain the text, which may hold a secret.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
#[error("the key is malformed; write {prefix}<id>_<secret> as it was issued")]
pub struct KeyError {
    /// Prefix of keys of the expected kind: `dk_` or `do_`.
    pub prefix: &'static str,
}

/// A well-formed key; whether it is valid is decided by comparing it with a stored digest.
#[derive(Clone, Eq, PartialEq)]
pub struct PresentedKey<I> {
    id: I,
    text: String,
}

/// API key of a caller.
pub type CallerKey = PresentedKey<KeyId>;
/// API key of an operator.
pub type OperatorKey = PresentedKey<OperatorId>;

impl<I> PresentedKey<I> {
    /// Returns the id, which is the public part of the key.
    pub fn id(&self) -> &I {
        &self.id
    }

    /// Returns the whole key, including the secret.
    pub fn expose(&self) -> &str {
        &self.text
    }

    /// Returns the BLAKE3 digest of the whole key in hex, as the document stores it.
    pub fn digest(&self) -> String {
        blake3::hash(self.text.as_bytes()).to_hex().to_string()
    }

    /// Returns whether the key has this digest, in constant time; a malformed digest never matches.
    pub fn matches(&self, digest: &str) -> bool {
        let Ok(expected) = blake3::Hash::from_hex(digest) else {
            return false;
        };
        let found = blake3::hash(self.text.as_bytes());
        found.as_bytes().ct_eq(expected.as_bytes()).into()
    }
}

impl<I> fmt::Debug for PresentedKey<I>
where
    I: fmt::Display,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "PresentedKey({}, secret hidden)", self.id)
    }
}

impl CallerKey {
    /// Creates the key with this id from random bytes.
    pub fn issue(id: KeyId, secret: [u8; SECRET_BYTES]) -> Self {
        let text = key_text(CALLER_PREFIX, id.as_str(), secret);
        Self { id, text }
    }
}

impl OperatorKey {
    /// Creates the key of this operator from random bytes.
    pub fn issue(id: OperatorId, secret: [u8; SECRET_BYTES]) -> Self {
        let text = key_text(OPERATOR_PREFIX, id.as_str(), secret);
        Self { id, text }
    }
}

impl FromStr for CallerKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        parse_key(CALLER_PREFIX, text)
    }
}

impl FromStr for OperatorKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        parse_key(OPERATOR_PREFIX, text)
    }
}

/// Returns whether `digest` is well-formed: lowercase hex digits of the right number.
pub fn is_digest(digest: &str) -> bool {
    digest.len() == DIGEST_DIGITS && is_lower_hex(digest)
}

fn key_text(prefix: &str, id: &str, secret: [u8; SECRET_BYTES]) -> String {
    format!("{prefix}{id}_{}", blake3::Hash::from_bytes(secret).to_hex())
}

fn parse_key<I>(prefix: &'static str, text: &str) -> Result<PresentedKey<I>, KeyError>
where
    I: FromStr,
{
    let malformed = KeyError { prefix };
    let rest = text.strip_prefix(prefix).ok_or(malformed)?;
    // An id may contain '_', a secret may not.
    let (id, secret) = rest.rsplit_once('_').ok_or(malformed)?;
    if secret.len() != SECRET_DIGITS || !is_lower_hex(secret) {
        return Err(malformed);
    }
    let id = id.parse().map_err(|_| malformed)?;
    Ok(PresentedKey { id, text: text.to_owned() })
}

fn is_lower_hex(text: &str) -> bool {
    text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
