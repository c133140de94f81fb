//! Authentication of callers by API key.

use dotterellane_settings::document::{ConfigurationDocument, KeyEntry};
use dotterellane_units::{KeyId, TeamId};
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};
use subtle::ConstantTimeEq;

use crate::refusal::{EntryRefusal, RefusalKind};

/// Prefix of every key, `dk_<id>_<secret>`.
const KEY_PREFIX: &str = "dk_";

/// Digest to compare with if the key's id is unknown, so that both cases take the same time.
const DUMMY_DIGEST: &str = "0000000000000000000000000000000000000000000000000000000000000000";

/// Authenticated caller of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerIdentity {
    /// Id of the key, which is its public part.
    pub key: KeyId,
    /// Team that the key belongs to.
    pub team: TeamId,
}

/// Authenticates a caller by the key in the `Authorization` header.
///
/// # Errors
/// Refuses a missing, malformed, unknown, wrong, withdrawn or expired key. Apart from a missing
/// key, the message does not tell these cases apart.
pub fn check_key(
    headers: &HeaderMap,
    document: &ConfigurationDocument,
    epoch_seconds: u64,
) -> Result<CallerIdentity, EntryRefusal> {
    let presented = bearer_token(headers)
        .ok_or_else(|| unauthenticated("a key is required: Authorization: Bearer dk_..."))?;
    let (id, entry) = find_entry(presented, document);
    let digest = blake3::hash(presented.as_bytes()).to_hex();
    let stored = entry.map_or(DUMMY_DIGEST, |entry| entry.digest.as_str());
    let matches = bool::from(digest.as_bytes().ct_eq(stored.as_bytes()));
    match (id, entry) {
        (Some(key), Some(entry)) if matches && is_valid(entry, epoch_seconds) => {
            Ok(CallerIdentity { key, team: entry.team.clone() })
        }
        _ => Err(unauthenticated("the key is not valid")),
    }
}

/// Returns whether a key that was authenticated before still exists, belongs to `team` and is
/// neither withdrawn nor expired.
pub fn is_key_valid(
    key: &KeyId,
    team: &TeamId,
    document: &ConfigurationDocument,
    epoch_seconds: u64,
) -> bool {
    let entry = document.keys.get(key);
    entry.is_some_and(|entry| entry.team == *team && is_valid(entry, epoch_seconds))
}

/// Returns whether `text` contains `dk_<id>_` with the id of a configured key, whatever follows.
pub fn contains_key(text: &[u8], document: &ConfigurationDocument) -> bool {
    memchr::memmem::find_iter(text, KEY_PREFIX.as_bytes()).any(|start| {
        let rest = &text[start + KEY_PREFIX.len()..];
        let length = rest.iter().position(|byte| !is_key_byte(*byte)).unwrap_or(rest.len());
        let run = std::str::from_utf8(&rest[..length]).unwrap_or_default();
        let mut ends = run.match_indices('_').map(|(end, _)| &run[..end]);
        ends.any(|id| id.parse::<KeyId>().is_ok_and(|id| document.keys.contains_key(&id)))
    })
}

/// Checks that no part of a request that is forwarded would show a caller's key to an upstream.
///
/// # Errors
/// Refuses if a part contains a key of the configuration.
pub fn reject_keys(
    parts: &[&[u8]],
    headers: &HeaderMap,
    document: &ConfigurationDocument,
) -> Result<(), EntryRefusal> {
    let mut values = headers.values().map(HeaderValue::as_bytes).chain(parts.iter().copied());
    if !values.any(|part| contains_key(part, document)) {
        return Ok(());
    }
    let message = "a caller's key may appear only in the Authorization header";
    Err(EntryRefusal::before_sending(RefusalKind::Unprocessable, message))
}

fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

fn is_valid(entry: &KeyEntry, epoch_seconds: u64) -> bool {
    !entry.withdrawn && entry.expires_at.is_none_or(|end| epoch_seconds < end)
}

fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

fn find_entry<'a>(
    presented: &str,
    document: &'a ConfigurationDocument,
) -> (Option<KeyId>, Option<&'a KeyEntry>) {
    let id = presented
        .strip_prefix(KEY_PREFIX)
        .and_then(|rest| rest.rsplit_once('_'))
        .and_then(|(id, _)| id.parse::<KeyId>().ok());
    let entry = id.as_ref().and_then(|id| document.keys.get(id));
    (id, entry)
}

fn unauthenticated(message: &str) -> EntryRefusal {
    EntryRefusal::before_sending(RefusalKind::Unauthenticated, message)
}
