//! Comparison and three-way merge of configuration documents.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use similar::TextDiff;

use crate::document::ConfigurationDocument;
use crate::validation::{SECTIONS, write_document};

/// Unchanged lines shown around each change of a unified diff.
const CONTEXT_LINES: usize = 3;

/// How an entry differs between two documents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DifferenceKind {
    /// Only the newer document has the entry.
    Added,
    /// Only the older document has the entry.
    Removed,
    /// Both documents have the entry, with different fields.
    Changed,
}

/// An entry that differs between two documents.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EntryDifference {
    /// Path of the entry, such as `teams.freight`.
    pub path: String,
    /// Whether the entry was added, removed or changed.
    pub kind: DifferenceKind,
    /// Names of the fields that differ; empty for added and removed entries.
    pub fields: Vec<String>,
}

/// Returns the entries that differ, ordered by section and then by id.
///
/// # Panics
/// Never: a document can always be serialized as JSON.
pub fn entry_differences(
    older: &ConfigurationDocument,
    newer: &ConfigurationDocument,
) -> Vec<EntryDifference> {
    let older = serde_json::to_value(older).expect("a document can be serialized as JSON");
    let newer = serde_json::to_value(newer).expect("a document can be serialized as JSON");
    let sections = SECTIONS.iter();
    sections.flat_map(|section| section_differences(section, &older, &newer)).collect()
}

/// Returns a unified diff of both documents as YAML; empty if they are equal.
pub fn text_difference(older: &ConfigurationDocument, newer: &ConfigurationDocument) -> String {
    let (older, newer) = (write_document(older), write_document(newer));
    let diff = TextDiff::from_lines(&older, &newer);
    diff.unified_diff().context_radius(CONTEXT_LINES).to_string()
}

/// Applies the changes from `base` to `mine` to `theirs`, entry by entry (three-way merge).
///
/// # Errors
/// Returns the paths of the entries that both sides changed in different ways.
///
/// # Panics
/// Never: a document can always be serialized as JSON.
pub fn merge_documents(
    base: &ConfigurationDocument,
    mine: &ConfigurationDocument,
    theirs: &ConfigurationDocument,
) -> Result<ConfigurationDocument, Vec<String>> {
    let to_json =
        |document| serde_json::to_value(document).expect("a document can be serialized as JSON");
    let (base_value, mine_value) = (to_json(base), to_json(mine));
    let mut merged = to_json(theirs);
    let mut conflicts = Vec::new();
    for change in entry_differences(base, mine) {
        let Some((section, id)) = change.path.split_once('.') else { continue };
        let [old, new, current] =
            [&base_value, &mine_value, &merged].map(|value| value[section].get(id).cloned());
        if current != old && current != new {
            conflicts.push(change.path.clone());
            continue;
        }
        let entries = merged[section].as_object_mut().expect("a section is a map");
        match new {
            Some(entry) => entries.insert(id.to_owned(), entry),
            None => entries.remove(id),
        };
    }
    if conflicts.is_empty() {
        Ok(serde_json::from_value(merged).expect("merged entries form a document"))
    } else {
        Err(conflicts)
    }
}

fn section_differences(section: &str, older: &Value, newer: &Value) -> Vec<EntryDifference> {
    let empty = Map::new();
    let older = older[section].as_object().unwrap_or(&empty);
    let newer = newer[section].as_object().unwrap_or(&empty);
    let mut ids: Vec<&String> = older.keys().chain(newer.keys()).collect();
    ids.sort_unstable();
    ids.dedup();
    let differing = ids.into_iter().filter(|id| older.get(*id) != newer.get(*id));
    differing
        .map(|id| {
            let (kind, fields) = match (older.get(id), newer.get(id)) {
                (None, _) => (DifferenceKind::Added, Vec::new()),
                (_, None) => (DifferenceKind::Removed, Vec::new()),
                (Some(old), Some(new)) => (DifferenceKind::Changed, differing_fields(old, new)),
            };
            EntryDifference { path: format!("{section}.{id}"), kind, fields }
        })
        .collect()
}

fn differing_fields(older: &Value, newer: &Value) -> Vec<String> {
    let empty = Map::new();
    let older = older.as_object().unwrap_or(&empty);
    let newer = newer.as_object().unwrap_or(&empty);
    let mut names: Vec<&String> = older.keys().chain(newer.keys()).collect();
    names.sort_unstable();
    names.dedup();
    names.into_iter().filter(|name| older.get(*name) != newer.get(*name)).cloned().collect()
}
