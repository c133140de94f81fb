//! Differences between two configuration documents, entry by entry.

use dotterellane_protocol::DocumentEdit;
use serde_json::{Map, Value};
use thiserror::Error;

/// Why edits do not fit a document.
#[derive(Debug)]
#[derive(Error)]
pub enum EditError {
    /// The new entry is no JSON.
    #[error("edit {section}.{key}: {cause}")]
    Malformed {
        /// Section of the document.
        section: String,
        /// Key within the section.
        key: String,
        /// What the parser said.
        cause: serde_json::Error,
    },
}

/// Returns the edits that make `new` out of `old`; both are objects of sections.
pub fn find_edits(old: &Value, new: &Value) -> Vec<DocumentEdit> {
    let empty = Map::new();
    let sections = |document: &Value| document.as_object().cloned().unwrap_or_default();
    let (old, new) = (sections(old), sections(new));
    let mut edits = Vec::new();
    let names = old.keys().chain(new.keys().filter(|name| !old.contains_key(*name)));
    for section in names {
        let entries = |document: &Map<String, Value>| {
            document.get(section).and_then(Value::as_object).unwrap_or(&empty).clone()
        };
        let (before, after) = (entries(&old), entries(&new));
        let edit = |key: &String, value: Option<String>| DocumentEdit {
            section: section.clone(),
            key: key.clone(),
            value,
        };
        for (key, value) in &after {
            if before.get(key) != Some(value) {
                edits.push(edit(key, Some(value.to_string())));
            }
        }
        let removed = before.keys().filter(|key| !after.contains_key(*key));
        edits.extend(removed.map(|key| edit(key, None)));
    }
    edits
}

/// Applies `edits` to `document`.
///
/// # Errors
/// Fails if an entry is no JSON; the document is then as before.
pub fn apply_edits(document: &mut Value, edits: &[DocumentEdit]) -> Result<(), EditError> {
    let mut sections = document.as_object().cloned().unwrap_or_default();
    for edit in edits {
        let section =
            sections.entry(edit.section.clone()).or_insert_with(|| Value::Object(Map::new()));
        let Some(entries) = section.as_object_mut() else { continue };
        match &edit.value {
            Some(text) => {
                let parsed = serde_json::from_str(text);
                let value = parsed.map_err(|cause| EditError::Malformed {
                    section: edit.section.clone(),
                    key: edit.key.clone(),
                    cause,
                })?;
                entries.insert(edit.key.clone(), value);
            }
            None => {
                entries.remove(&edit.key);
            }
        }
    }
    *document = Value::Object(sections);
    Ok(())
}
