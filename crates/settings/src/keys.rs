//! Keys of callers (`dk_<id>_<secret>`) and operators (`do_<id>_<secret>`).
//!
//! The document holds digests alone; a key is in memory only while it is issued or checked.

use std::fmt;
use std::str::FromStr;

use dotterellane_units::{KeyId, OperatorId};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Random bytes in a secret.
pub const SECRET_BYTES: usize = 32;
/// Hex digits of a secret.
const SECRET_DIGITS: usize = 2 * SECRET_BYTES;
/// Hex digits of a digest.
const DIGEST_DIGITS: usize = 2 * blake3::OUT_LEN;
const CALLER_PREFIX: &str = "dk_";
const OPERATOR_PREFIX: &str = "do_";

/// A text that is not a key; it is not repeated here, since it may hold a secret.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Error)]
#[error("the key is malformed; write {prefix}<id>_<secret> as it was issued")]
pub struct KeyError {
    /// How keys of this kind start.
    pub prefix: &'static str,
}

/// A key whose id was read and whose secret is still to be checked.
#[derive(Clone, Eq, PartialEq)]
pub struct PresentedKey<I> {
    id: I,
    text: String,
}

/// Key that a caller presents.
pub type CallerKey = PresentedKey<KeyId>;
/// Key that an operator presents.
pub type OperatorKey = PresentedKey<OperatorId>;

impl<I> PresentedKey<I> {
    /// Returns the public part.
    pub fn id(&self) -> &I {
        &self.id
    }

    /// Returns the whole key, secret included.
    pub fn expose(&self) -> &str {
        &self.text
    }

    /// Returns the digest that the document holds.
    pub fn digest(&self) -> String {
        blake3::hash(self.text.as_bytes()).to_hex().to_string()
    }

    /// Tells in constant time whether the key has this digest; a malformed digest matches nothing.
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
    /// Makes the key `id` from random bytes.
    pub fn issue(id: KeyId, secret: [u8; SECRET_BYTES]) -> Self {
        let text = key_text(CALLER_PREFIX, id.as_str(), secret);
        Self { id, text }
    }
}

impl OperatorKey {
    /// Makes the key of operator `id` from random bytes.
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

/// Tells whether `digest` has the form that the document holds.
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
    // An id may hold '_' itself; a secret holds none.
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
