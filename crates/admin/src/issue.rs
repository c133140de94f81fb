//! Edits of the document that issue, rotate, expire and withdraw keys.

use dotterellane_settings::document::{
    ConfigurationDocument, KeyEntry, OperatorEntry, OperatorRole,
};
use dotterellane_settings::keys::{CallerKey, OperatorKey};
use dotterellane_units::{KeyId, OperatorId, TeamId};

use crate::problem::ApiProblem;

/// Returns the document with a new key.
pub(crate) fn with_key(
    document: &ConfigurationDocument,
    key: &CallerKey,
    team: &TeamId,
    expires_at: Option<u64>,
) -> Result<ConfigurationDocument, ApiProblem> {
    let mut document = document.clone();
    let digest = key.digest();
    let entry = KeyEntry { team: team.clone(), digest, expires_at, withdrawn: false };
    if document.keys.insert(key.id().clone(), entry).is_some() {
        return Err(ApiProblem::exists(format!("key {} exists already", key.id())));
    }
    Ok(document)
}

/// Returns the document with the key withdrawn.
pub(crate) fn with_key_withdrawn(
    document: &ConfigurationDocument,
    id: &KeyId,
) -> Result<ConfigurationDocument, ApiProblem> {
    let mut document = document.clone();
    key_entry(&mut document, id)?.withdrawn = true;
    Ok(document)
}

/// Returns the document with the expiry time of the key changed; `None` removes it.
pub(crate) fn with_key_expiry(
    document: &ConfigurationDocument,
    id: &KeyId,
    expires_at: Option<u64>,
) -> Result<ConfigurationDocument, ApiProblem> {
    let mut document = document.clone();
    key_entry(&mut document, id)?.expires_at = expires_at;
    Ok(document)
}

/// Returns the document with a new key of the same team, and the old key expiring at
/// `old_expiry` or earlier.
pub(crate) fn with_key_rotated(
    document: &ConfigurationDocument,
    old: &KeyId,
    new: &CallerKey,
    old_expiry: u64,
    expires_at: Option<u64>,
) -> Result<ConfigurationDocument, ApiProblem> {
    let mut document = document.clone();
    let entry = key_entry(&mut document, old)?;
    if entry.withdrawn {
        return Err(ApiProblem::exists(format!("key {old} is withdrawn; issue a new one")));
    }
    let team = entry.team.clone();
    // A rotation must not extend the life of the old key.
    entry.expires_at = Some(entry.expires_at.map_or(old_expiry, |at| at.min(old_expiry)));
    with_key(&document, new, &team, expires_at)
}

/// Returns the document with the operator's new key and role; a previous key is replaced.
pub(crate) fn with_operator(
    document: &ConfigurationDocument,
    key: &OperatorKey,
    role: OperatorRole,
) -> ConfigurationDocument {
    let mut document = document.clone();
    let entry = OperatorEntry { role, digest: key.digest() };
    document.operators.insert(key.id().clone(), entry);
    document
}

/// Generates a caller's key with a random secret.
pub(crate) fn random_key(id: KeyId) -> CallerKey {
    CallerKey::issue(id, rand::random())
}

/// Generates an operator's key with a random secret.
pub(crate) fn random_operator_key(id: OperatorId) -> OperatorKey {
    OperatorKey::issue(id, rand::random())
}

fn key_entry<'a>(
    document: &'a mut ConfigurationDocument,
    id: &KeyId,
) -> Result<&'a mut KeyEntry, ApiProblem> {
    document
        .keys
        .get_mut(id)
        .ok_or_else(|| ApiProblem::not_found(format!("key {id} does not exist")))
}
