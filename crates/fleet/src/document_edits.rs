//! Computes and applies the edits between two configuration documents, entry by entry.

use std::collections::BTreeMap;
use std::str::FromStr;

use dotterellane_protocol::DocumentEdit;
use dotterellane_settings::document::ConfigurationDocument;
use dotterellane_units::UnitError;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use thiserror::Error;

/// Why an edit cannot be applied to a document.
#[derive(Debug)]
#[derive(Error)]
pub enum EditError {
    /// This build knows no such section.
    #[error("edit {section}: no such section")]
    UnknownSection {
        /// Name of the section.
        section: String,
    },
    /// The key is not a valid id.
    #[error("edit {section}: {cause}")]
    Key {
        /// Name of the section.
        section: String,
        /// Why the key is not valid.
        cause: UnitError,
    },
    /// The new entry is not valid JSON or does not have the type of its section.
    #[error("edit {section}.{key}: {cause}")]
    Malformed {
        /// Name of the section.
        section: String,
        /// Key within the section.
        key: String,
        /// Error of the parser.
        cause: serde_json::Error,
    },
}

/// Returns the edits that turn `old` into `new`.
///
/// Both are JSON objects of sections, which in turn are objects of entries; anything else counts as
/// empty. Unchanged entries produce no edit.
pub fn diff_documents(old: &Value, new: &Value) -> Vec<DocumentEdit> {
    let empty = Map::new();
    let sections = |document: &Value| document.as_object().cloned().unwrap_or_default();
    let (old, new) = (sections(old), sections(new));
    let mut edits = Vec::new();
    let names = old.keys().chain(new.keys().filter(|name| !old.contains_key(*name)));
    for section in names {
        let entries = |document: &Map<String, Value>| {
            document.get(section).and_then(Value::as_object).unwrap_or(&empty).clone()
        };
        let (old_entries, new_entries) = (entries(&old), entries(&new));
        let edit = |key: &String, value: Option<String>| DocumentEdit {
            section: section.clone(),
            key: key.clone(),
            value,
        };
        for (key, value) in &new_entries {
            if old_entries.get(key) != Some(value) {
                edits.push(edit(key, Some(value.to_string())));
            }
        }
        let removed = old_entries.keys().filter(|key| !new_entries.contains_key(*key));
        edits.extend(removed.map(|key| edit(key, None)));
    }
    edits
}

/// Applies one edit to `document`.
///
/// # Errors
/// Fails if the section is unknown or its key or entry is malformed; the document is then
/// unchanged.
pub fn apply_edit(
    document: &mut ConfigurationDocument,
    edit: &DocumentEdit,
) -> Result<(), EditError> {
    match edit.section.as_str() {
        "teams" => edit_entry(&mut document.teams, edit),
        "keys" => edit_entry(&mut document.keys, edit),
        "operators" => edit_entry(&mut document.operators, edit),
        "models" => edit_entry(&mut document.models, edit),
        "adapters" => edit_entry(&mut document.adapters, edit),
        "services" => edit_entry(&mut document.services, edit),
        "upstreams" => edit_entry(&mut document.upstreams, edit),
        section => Err(EditError::UnknownSection { section: section.to_owned() }),
    }
}

fn edit_entry<K, V>(entries: &mut BTreeMap<K, V>, edit: &DocumentEdit) -> Result<(), EditError>
where
    K: FromStr<Err = UnitError> + Ord,
    V: DeserializeOwned,
{
    let (section, key) = (edit.section.clone(), edit.key.clone());
    let name =
        edit.key.parse().map_err(|cause| EditError::Key { section: section.clone(), cause })?;
    match &edit.value {
        Some(text) => {
            let entry = serde_json::from_str(text);
            let entry = entry.map_err(|cause| EditError::Malformed { section, key, cause })?;
            entries.insert(name, entry);
        }
        None => {
            entries.remove(&name);
        }
    }
    Ok(())
}
