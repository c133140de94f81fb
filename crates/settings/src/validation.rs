//! Reads a document and finds all of its faults.

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
use crate::rules::{self, KnownNames};
use crate::tree::{TextPlace, TreeField, TreeNode};

/// Largest text of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Names of the document's parts.
pub const SECTIONS: [&str; 7] =
    ["teams", "keys", "operators", "models", "adapters", "services", "upstreams"];

/// Reads and checks a document written in YAML.
///
/// # Errors
/// Gives every fault with its place, or the first one if the text is not YAML.
pub fn read_document(name: &str, text: &str) -> Result<ConfigurationDocument, DocumentFaults> {
    let refuse = |faults| DocumentFaults::new(name, text, faults);
    let tree = parse_tree(text).map_err(|fault| refuse(vec![fault]))?;
    let mut reader = DocumentReader::default();
    let document = reader.read(&tree);
    let mut faults = reader.faults;
    for fault in rules::check_rules(&document, &reader.names) {
        faults.push(place_fault(fault, &reader.places));
    }
    if faults.is_empty() { Ok(document) } else { Err(refuse(faults)) }
}

/// Checks a document that was not read from a text.
///
/// # Errors
/// Gives every fault, without lines.
pub fn check_document(document: &ConfigurationDocument) -> Result<(), DocumentFaults> {
    let faults = rules::check_rules(document, &KnownNames::of(document));
    if faults.is_empty() { Ok(()) } else { Err(DocumentFaults::new("document", "", faults)) }
}

/// Checks a document that is to follow another one.
///
/// # Errors
/// Gives every fault of the newer document and of the change, without lines.
pub fn check_successor(
    older: &ConfigurationDocument,
    newer: &ConfigurationDocument,
) -> Result<(), DocumentFaults> {
    let mut faults = rules::check_rules(newer, &KnownNames::of(newer));
    faults.extend(rules::check_change(older, newer));
    if faults.is_empty() { Ok(()) } else { Err(DocumentFaults::new("document", "", faults)) }
}

/// Writes a document as YAML.
///
/// # Panics
/// Never: every part of a document can be written.
pub fn write_document(document: &ConfigurationDocument) -> String {
    serde_saphyr::to_string(document).expect("a document is plain data")
}

fn parse_tree(text: &str) -> Result<TreeNode, DocumentFault> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!("the text has {} bytes", text.len());
        return Err(DocumentFault::new("", message, format!("at most {MAX_DOCUMENT_BYTES} bytes")));
    }
    serde_saphyr::from_str(text).map_err(|error| {
        let message = error.without_snippet().to_string();
        let fault = DocumentFault::new("", message, "write valid YAML, each name once in its map");
        match error.location() {
            Some(location) => fault.at(location.into()),
            None => fault,
        }
    })
}

/// Gives a fault the place of the nearest part of its path that stands in the text.
fn place_fault(fault: DocumentFault, places: &BTreeMap<String, TextPlace>) -> DocumentFault {
    let mut path = fault.path.as_str();
    loop {
        if let Some(place) = places.get(path) {
            let place = *place;
            return fault.at(place);
        }
        match path.rsplit_once('.') {
            Some((parent, _)) => path = parent,
            None => return fault,
        }
    }
}

#[derive(Default)]
struct DocumentReader {
    faults: Vec<DocumentFault>,
    places: BTreeMap<String, TextPlace>,
    names: KnownNames,
}

impl DocumentReader {
    fn read(&mut self, tree: &TreeNode) -> ConfigurationDocument {
        let mut document = ConfigurationDocument::default();
        let Some(sections) = tree.fields() else {
            let help = format!("write a map of {}", SECTIONS.join(", "));
            self.fault(DocumentFault::new("", "the document is not a map", help).at(tree.place));
            return document;
        };
        for section in sections {
            self.read_into(&mut document, section);
        }
        document
    }

    fn read_into(&mut self, document: &mut ConfigurationDocument, section: &TreeField) {
        match section.name.as_str() {
            "teams" => document.teams = self.section(section, TEAM_FIELDS),
            "keys" => document.keys = self.section(section, KEY_FIELDS),
            "operators" => document.operators = self.section(section, OPERATOR_FIELDS),
            "models" => document.models = self.section(section, MODEL_FIELDS),
            "adapters" => document.adapters = self.section(section, ADAPTER_FIELDS),
            "services" => document.services = self.section(section, SERVICE_FIELDS),
            "upstreams" => document.upstreams = self.section(section, UPSTREAM_FIELDS),
            other => {
                let message = format!("unknown part {other:?}");
                let help = format!("the parts are {}", SECTIONS.join(", "));
                self.fault(DocumentFault::new(other, message, help).at(section.place));
            }
        }
    }

    fn section<I, E>(&mut self, section: &TreeField, rules: &[FieldRule]) -> BTreeMap<I, E>
    where
        I: FromStr + Ord,
        I::Err: Display,
        E: DeserializeOwned,
    {
        self.places.insert(section.name.clone(), section.place);
        let Some(entries) = section.node.fields() else {
            let fault = DocumentFault::new(&section.name, "not a map", "write `id: {fields}`");
            self.fault(fault.at(section.node.place));
            return BTreeMap::new();
        };
        let mut read = BTreeMap::new();
        for entry in entries {
            self.names.insert(&section.name, &entry.name);
            read.extend(self.entry(&section.name, entry, rules));
        }
        read
    }

    fn entry<I, E>(
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
        let faults_before = self.faults.len();
        self.places.insert(path.clone(), entry.place);
        let id = self.entry_id(&path, entry);
        self.fields(&path, entry.place, &entry.node, rules);
        if self.faults.len() > faults_before {
            return None;
        }
        match serde_json::from_value(entry_json(&entry.node)) {
            Ok(read) => id.map(|id| (id, read)),
            Err(error) => {
                let help = format!("the fields are {}", field_names(rules));
                self.fault(DocumentFault::new(path, error.to_string(), help).at(entry.place));
                None
            }
        }
    }

    fn entry_id<I>(&mut self, path: &str, entry: &TreeField) -> Option<I>
    where
        I: FromStr,
        I::Err: Display,
    {
        match entry.name.parse() {
            Ok(id) => Some(id),
            Err(error) => {
                let help = "an id has 1 to 63 letters, digits, '-', '_', '.' or ':'";
                self.fault(DocumentFault::new(path, error.to_string(), help).at(entry.place));
                None
            }
        }
    }

    fn fields(&mut self, path: &str, place: TextPlace, node: &TreeNode, rules: &[FieldRule]) {
        let Some(fields) = node.fields() else {
            let help = format!("write a map of {}", field_names(rules));
            self.fault(DocumentFault::new(path, "not a map", help).at(node.place));
            return;
        };
        for field in fields {
            self.field(path, field, rules);
        }
        let present: BTreeSet<&str> = fields.iter().map(|field| field.name.as_str()).collect();
        for rule in rules.iter().filter(|rule| rule.required && !present.contains(rule.name)) {
            let path = format!("{path}.{}", rule.name);
            let help = format!("write `{}: {}`", rule.name, rule.example);
            self.fault(DocumentFault::new(path, "missing", help).at(place));
        }
    }

    fn field(&mut self, parent: &str, field: &TreeField, rules: &[FieldRule]) {
        let path = format!("{parent}.{}", field.name);
        let Some(rule) = rules.iter().find(|rule| rule.name == field.name) else {
            let help = format!("the fields are {}", field_names(rules));
            self.fault(DocumentFault::new(path, "unknown field", help).at(field.place));
            return;
        };
        self.places.insert(path.clone(), field.node.place);
        if let Some((key, inner_rules)) = rule.inner
            && let Some([inner]) = field.node.fields()
            && inner.name == key
        {
            let path = format!("{path}.{key}");
            self.places.insert(path.clone(), inner.place);
            self.fields(&path, inner.place, &inner.node, inner_rules);
            return;
        }
        if let Err(message) = rule.check(&field.node.to_json()) {
            let help = format!("write for example {}", rule.example);
            // Units give an example of their own, which the help repeats.
            let message = message.split("; write for example").next().unwrap_or_default();
            self.fault(DocumentFault::new(path, message, help).at(field.node.place));
        }
    }

    fn fault(&mut self, fault: DocumentFault) {
        self.faults.push(fault);
    }
}

/// Returns an entry's value; an entry that says nothing is an empty map.
fn entry_json(node: &TreeNode) -> Value {
    match node.to_json() {
        Value::Null => Value::Object(serde_json::Map::new()),
        value => value,
    }
}
