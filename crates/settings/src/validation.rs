//! Parses and validates configuration documents, reporting all faults at once.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::document::ConfigurationDocument;
use crate::fault::{DocumentFault, DocumentFaults};
use crate::fields::{
    ADAPTER_FIELDS, FieldRule, KEY_FIELDS, MODEL_FIELDS, OPERATOR_FIELDS, SERVICE_FIELDS,
    TEAM_FIELDS, UPSTREAM_FIELDS, field_names,
};
use crate::rules::{self, DeclaredNames};
use crate::tree::{TextPosition, TreeField, TreeNode};

/// Maximum size of a document's text, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Names of the sections of a document.
pub const SECTIONS: [&str; 7] =
    ["teams", "keys", "operators", "models", "adapters", "services", "upstreams"];

/// Parses and validates a document written in YAML. `name` is its file name for error messages.
///
/// # Errors
/// Returns all faults with their positions; only the first syntax error if the text is not YAML.
pub fn read_document(name: &str, text: &str) -> Result<ConfigurationDocument, DocumentFaults> {
    let to_error = |faults| DocumentFaults::new(name, text, faults);
    let tree = parse_tree(text).map_err(|fault| to_error(vec![fault]))?;
    let mut reader = DocumentReader::default();
    let document = reader.read(&tree);
    let mut faults = reader.faults;
    for fault in rules::check_rules(&document, &reader.names) {
        faults.push(locate_fault(fault, &reader.positions));
    }
    if faults.is_empty() { Ok(document) } else { Err(to_error(faults)) }
}

/// Validates a document that was not parsed from a text.
///
/// # Errors
/// Returns all faults, without lines.
pub fn check_document(document: &ConfigurationDocument) -> Result<(), DocumentFaults> {
    let faults = rules::check_rules(document, &DeclaredNames::of(document));
    if faults.is_empty() { Ok(()) } else { Err(DocumentFaults::new("document", "", faults)) }
}

/// Validates a document that replaces another one, and the change between them.
///
/// # Errors
/// Returns all faults of the newer document and of the change, without lines.
pub fn check_successor(
    older: &ConfigurationDocument,
    newer: &ConfigurationDocument,
) -> Result<(), DocumentFaults> {
    let mut faults = rules::check_rules(newer, &DeclaredNames::of(newer));
    faults.extend(rules::check_change(older, newer));
    if faults.is_empty() { Ok(()) } else { Err(DocumentFaults::new("document", "", faults)) }
}

/// Serializes a document as YAML.
///
/// # Panics
/// Never: a document can always be serialized.
pub fn write_document(document: &ConfigurationDocument) -> String {
    serde_saphyr::to_string(document).expect("a document can be serialized")
}

fn parse_tree(text: &str) -> Result<TreeNode, DocumentFault> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!("the document has {} bytes", text.len());
        return Err(DocumentFault::new("", message, format!("at most {MAX_DOCUMENT_BYTES} bytes")));
    }
    serde_saphyr::from_str(text).map_err(|error| {
        let message = error.without_snippet().to_string();
        let fault =
            DocumentFault::new("", message, "write valid YAML, without duplicate keys in a map");
        match error.location() {
            Some(location) => fault.at(location.into()),
            None => fault,
        }
    })
}

/// Sets the position of a fault to that of its path, or of the nearest enclosing path in the text.
fn locate_fault(fault: DocumentFault, positions: &BTreeMap<String, TextPosition>) -> DocumentFault {
    let mut path = fault.path.as_str();
    loop {
        if let Some(position) = positions.get(path) {
            let position = *position;
            return fault.at(position);
        }
        match path.rsplit_once('.') {
            Some((parent, _)) => path = parent,
            None => return fault,
        }
    }
}

/// Converts a YAML tree to a document, collecting faults and the positions of all paths.
#[derive(Default)]
struct DocumentReader {
    faults: Vec<DocumentFault>,
    positions: BTreeMap<String, TextPosition>,
    names: DeclaredNames,
}

impl DocumentReader {
    fn read(&mut self, tree: &TreeNode) -> ConfigurationDocument {
        let mut document = ConfigurationDocument::default();
        let Some(sections) = tree.fields() else {
            let help = format!("write a map of {}", SECTIONS.join(", "));
            self.add_fault(
                DocumentFault::new("", "the document is not a map", help).at(tree.position),
            );
            return document;
        };
        for section in sections {
            self.read_section(&mut document, section);
        }
        document
    }

    fn read_section(&mut self, document: &mut ConfigurationDocument, section: &TreeField) {
        match section.name.as_str() {
            "teams" => document.teams = self.parse_entries(section, TEAM_FIELDS),
            "keys" => document.keys = self.parse_entries(section, KEY_FIELDS),
            "operators" => document.operators = self.parse_entries(section, OPERATOR_FIELDS),
            "models" => document.models = self.parse_entries(section, MODEL_FIELDS),
            "adapters" => document.adapters = self.parse_entries(section, ADAPTER_FIELDS),
            "services" => document.services = self.parse_entries(section, SERVICE_FIELDS),
            "upstreams" => document.upstreams = self.parse_entries(section, UPSTREAM_FIELDS),
            other => {
                let message = format!("unknown section {other:?}");
                let help = format!("the sections are {}", SECTIONS.join(", "));
                self.add_fault(DocumentFault::new(other, message, help).at(section.position));
            }
        }
    }

    fn parse_entries<I, E>(&mut self, section: &TreeField, rules: &[FieldRule]) -> BTreeMap<I, E>
    where
        I: FromStr + Ord,
        I::Err: Display,
        E: DeserializeOwned,
    {
        self.positions.insert(section.name.clone(), section.position);
        let Some(entries) = section.node.fields() else {
            let fault = DocumentFault::new(&section.name, "not a map", "write `id: {fields}`");
            self.add_fault(fault.at(section.node.position));
            return BTreeMap::new();
        };
        let mut parsed_entries = BTreeMap::new();
        for entry in entries {
            self.names.insert(&section.name, &entry.name);
            parsed_entries.extend(self.parse_entry(&section.name, entry, rules));
        }
        parsed_entries
    }

    fn parse_entry<I, E>(
        &mut self,
        section: &str,
        entry: &TreeField,
        rules: &[FieldRule],
    ) -> Option<(I, E)>
    where
        I: FromStr,
        I::Err: Display,
        E: DeserializeOwned,
    {
        let path = format!("{section}.{}", entry.name);
        let fault_count = self.faults.len();
        self.positions.insert(path.clone(), entry.position);
        let id = self.parse_entry_id(&path, entry);
        self.check_fields(&path, entry.position, &entry.node, rules);
        if self.faults.len() > fault_count {
            return None;
        }
        match serde_json::from_value(entry_json(&entry.node)) {
            Ok(parsed) => id.map(|id| (id, parsed)),
            Err(error) => {
                let help = format!("the fields are {}", field_names(rules));
                self.add_fault(
                    DocumentFault::new(path, error.to_string(), help).at(entry.position),
                );
                None
            }
        }
    }

    fn parse_entry_id<I>(&mut self, path: &str, entry: &TreeField) -> Option<I>
    where
        I: FromStr,
        I::Err: Display,
    {
        match entry.name.parse() {
            Ok(id) => Some(id),
            Err(error) => {
                let help = "an id has 1 to 63 letters, digits, '-', '_', '.' or ':'";
                self.add_fault(
                    DocumentFault::new(path, error.to_string(), help).at(entry.position),
                );
                None
            }
        }
    }

    fn check_fields(
        &mut self,
        path: &str,
        position: TextPosition,
        node: &TreeNode,
        rules: &[FieldRule],
    ) {
        let Some(fields) = node.fields() else {
            let help = format!("write a map of {}", field_names(rules));
            self.add_fault(DocumentFault::new(path, "not a map", help).at(node.position));
            return;
        };
        for field in fields {
            self.check_field(path, field, rules);
        }
        let present: BTreeSet<&str> = fields.iter().map(|field| field.name.as_str()).collect();
        for rule in rules.iter().filter(|rule| rule.required && !present.contains(rule.name)) {
            let path = format!("{path}.{}", rule.name);
            let help = format!("write `{}: {}`", rule.name, rule.example);
            self.add_fault(DocumentFault::new(path, "missing", help).at(position));
        }
    }

    fn check_field(&mut self, parent: &str, field: &TreeField, rules: &[FieldRule]) {
        let path = format!("{parent}.{}", field.name);
        let Some(rule) = rules.iter().find(|rule| rule.name == field.name) else {
            let help = format!("the fields are {}", field_names(rules));
            self.add_fault(DocumentFault::new(path, "unknown field", help).at(field.position));
            return;
        };
        self.positions.insert(path.clone(), field.node.position);
        if let Some((key, inner_rules)) = rule.inner
            && let Some([inner]) = field.node.fields()
            && inner.name == key
        {
            let path = format!("{path}.{key}");
            self.positions.insert(path.clone(), inner.position);
            self.check_fields(&path, inner.position, &inner.node, inner_rules);
            return;
        }
        if let Err(message) = rule.check(&field.node.to_json()) {
            let help = format!("write for example {}", rule.example);
            // Errors of units end with their own example, which the help would repeat.
            let message = message.split("; write for example").next().unwrap_or_default();
            self.add_fault(DocumentFault::new(path, message, help).at(field.node.position));
        }
    }

    fn add_fault(&mut self, fault: DocumentFault) {
        self.faults.push(fault);
    }
}

/// Returns the value of an entry; an entry without a value is an empty map.
fn entry_json(node: &TreeNode) -> Value {
    match node.to_json() {
        Value::Null => Value::Object(serde_json::Map::new()),
        value => value,
    }
}
