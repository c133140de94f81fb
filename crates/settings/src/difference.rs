//! Differences between two documents.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use similar::TextDiff;

use crate::document::ConfigurationDocument;
use crate::validation::{SECTIONS, write_document};

/// Lines shown around a change.
const CONTEXT_LINES: usize = 3;

/// What happened to an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DifferenceKind {
    /// Only the newer document has the entry.
    Added,
    /// Only the older document has the entry.
    Removed,
    /// Both have it, with different fields.
    Changed,
}

/// One entry that differs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EntryDifference {
    /// Where in the document, as `teams.freight`.
    pub path: String,
    /// What happened to the entry.
    pub kind: DifferenceKind,
    /// Names of the fields that differ; empty unless changed.
    pub fields: Vec<String>,
}

/// Returns the entries that differ, in the order of the document.
///
/// # Panics
/// Never: every part of a document can be written as JSON.
pub fn entry_differences(
    older: &ConfigurationDocument,
    newer: &ConfigurationDocument,
) -> Vec<EntryDifference> {
    let older = serde_json::to_value(older).expect("a document is plain data");
    let newer = serde_json::to_value(newer).expect("a document is plain data");
    let sections = SECTIONS.iter();
    sections.flat_map(|section| section_differences(section, &older, &newer)).collect()
}

/// Returns the difference of both documents' YAML as a unified diff; empty if there is none.
pub fn text_difference(older: &ConfigurationDocument, newer: &ConfigurationDocument) -> String {
    let (older, newer) = (write_document(older), write_document(newer));
    let diff = TextDiff::from_lines(&older, &newer);
    diff.unified_diff().context_radius(CONTEXT_LINES).to_string()
}

/// Merges the changes from `base` to `mine` into `theirs`, entry by entry.
///
/// # Errors
/// Gives the paths that both changed, each in another way.
///
/// # Panics
/// Never: every part of a document can be written as JSON.
pub fn merge_documents(
    base: &ConfigurationDocument,
    mine: &ConfigurationDocument,
    theirs: &ConfigurationDocument,
) -> Result<ConfigurationDocument, Vec<String>> {
    let plain = |document| serde_json::to_value(document).expect("a document is plain data");
    let (base_value, mine_value) = (plain(base), plain(mine));
    let mut merged = plain(theirs);
    let mut conflicts = Vec::new();
    for change in entry_differences(base, mine) {
        let Some((section, id)) = change.path.split_once('.') else { continue };
        let [old, new, current] =
            [&base_value, &mine_value, &merged].map(|value| value[section].get(id).cloned());
        if current != old && current != new {
            conflicts.push(change.path.clone());
            continue;
        }
        let entries = merged[section].as_object_mut().expect("a part is a map");
        match new {
            Some(entry) => entries.insert(id.to_owned(), entry),
            None => entries.remove(id),
        };
    }
    if conflicts.is_empty() {
        Ok(serde_json::from_value(merged).expect("entries of documents make a document"))
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
