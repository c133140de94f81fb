//! Faults of a document: every one with its place and what would be right.

use std::fmt;

use miette::{Diagnostic, LabeledSpan, NamedSource, Severity, SourceCode, SourceSpan};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::tree::TextPlace;

/// One fault of a document.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DocumentFault {
    /// Where in the document, as `teams.freight.rate`.
    pub path: String,
    /// Line in the text, from 1; absent if the document was not read from a text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<u64>,
    /// Column in the text, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<u64>,
    /// What is wrong.
    pub message: String,
    /// What would be right.
    pub help: String,
}

impl DocumentFault {
    pub(crate) fn new<P, M, H>(path: P, message: M, help: H) -> Self
    where
        P: Into<String>,
        M: Into<String>,
        H: Into<String>,
    {
        let (path, message, help) = (path.into(), message.into(), help.into());
        Self { path, line: None, column: None, message, help }
    }

    pub(crate) fn at(mut self, place: TextPlace) -> Self {
        self.line = Some(place.line);
        self.column = Some(place.column);
        self
    }
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "{} ({})", self.message, self.help)
    }
}

/// All faults of one document.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{name} has {} fault(s)", faults.len())]
pub struct DocumentFaults {
    /// Name of the document, for messages.
    pub name: String,
    /// The faults, in the order of their places.
    pub faults: Vec<DocumentFault>,
    text: String,
}

impl DocumentFaults {
    pub(crate) fn new(name: &str, text: &str, mut faults: Vec<DocumentFault>) -> Self {
        faults.sort_by_key(|fault| (fault.line, fault.column));
        Self { name: name.to_owned(), faults, text: text.to_owned() }
    }

    /// Gathers faults of a document that was not written as one text.
    pub fn without_text(name: String, faults: Vec<DocumentFault>) -> Self {
        Self { name, faults, text: String::new() }
    }

    /// Returns a report that shows each fault in its line.
    pub fn report(&self) -> FaultReport {
        let spots = self.faults.iter().map(|fault| FaultSpot::new(fault, &self.text)).collect();
        let text = NamedSource::new(&self.name, self.text.clone()).with_language("yaml");
        FaultReport { summary: self.to_string(), text, spots }
    }
}

/// Shows the faults of a document in its text.
#[derive(Debug)]
#[derive(Error)]
#[error("{summary}")]
pub struct FaultReport {
    summary: String,
    text: NamedSource<String>,
    spots: Vec<FaultSpot>,
}

impl Diagnostic for FaultReport {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.text)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.spots.iter().map(|spot| spot as &dyn Diagnostic)))
    }
}

/// One fault, shown in its line.
#[derive(Debug)]
#[derive(Error)]
#[error("{fault}")]
struct FaultSpot {
    fault: String,
    help: String,
    span: Option<SourceSpan>,
}

impl FaultSpot {
    fn new(fault: &DocumentFault, text: &str) -> Self {
        let span = fault.line.zip(fault.column).map(|(line, column)| span_at(text, line, column));
        let fault_text = format!("{}: {}", fault.path, fault.message);
        Self { fault: fault_text, help: fault.help.clone(), span }
    }
}

impl Diagnostic for FaultSpot {
    fn severity(&self) -> Option<Severity> {
        Some(Severity::Error)
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.help))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let span = self.span?;
        Some(Box::new(std::iter::once(LabeledSpan::underline(span))))
    }
}

/// Returns the span from a place to the end of its line, without a comment.
fn span_at(text: &str, line: u64, column: u64) -> SourceSpan {
    let line_index = usize::try_from(line.saturating_sub(1)).unwrap_or(usize::MAX);
    let before: usize = text.split_inclusive('\n').take(line_index).map(str::len).sum();
    let line_text = text[before..].lines().next().unwrap_or_default();
    let skipped = usize::try_from(column.saturating_sub(1)).unwrap_or(usize::MAX);
    let skipped_bytes: usize = line_text.chars().take(skipped).map(char::len_utf8).sum();
    let shown = line_text[skipped_bytes..].split(" #").next().unwrap_or_default();
    SourceSpan::new((before + skipped_bytes).into(), shown.trim_end().len())
}
