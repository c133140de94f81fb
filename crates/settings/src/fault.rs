//! Faults: what makes a document invalid, with the position in the text and a hint.

use std::fmt;

use miette::{Diagnostic, LabeledSpan, NamedSource, Severity, SourceCode, SourceSpan};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::tree::TextPosition;

/// A syntax error, an invalid field or a violated rule in a document.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DocumentFault {
    /// Path in the document, such as `teams.freight.rate`; empty for the document as a whole.
    pub path: String,
    /// Line in the text, starting at 1; absent if the document was not parsed from a text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<u64>,
    /// Column in the text, starting at 1; absent together with the line.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub column: Option<u64>,
    /// Description of the fault.
    pub message: String,
    /// How to correct it.
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

    pub(crate) fn at(mut self, position: TextPosition) -> Self {
        self.line = Some(position.line);
        self.column = Some(position.column);
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

/// All faults of one document; the error of parsing and validating it.
#[derive(Clone, Debug)]
#[derive(Error)]
#[error("{name} has {} fault(s)", faults.len())]
pub struct DocumentFaults {
    /// File name or other name of the document, for messages.
    pub name: String,
    /// Faults, ordered by their position in the text.
    pub faults: Vec<DocumentFault>,
    text: String,
}

impl DocumentFaults {
    pub(crate) fn new(name: &str, text: &str, mut faults: Vec<DocumentFault>) -> Self {
        faults.sort_by_key(|fault| (fault.line, fault.column));
        Self { name: name.to_owned(), faults, text: text.to_owned() }
    }

    /// Creates the error for a document whose text is not known to the operator, so that the
    /// report shows no lines.
    pub fn without_text(name: String, faults: Vec<DocumentFault>) -> Self {
        Self { name, faults, text: String::new() }
    }

    /// Returns a report that quotes the line of each fault.
    pub fn report(&self) -> FaultReport {
        let labels = self.faults.iter().map(|fault| FaultLabel::new(fault, &self.text)).collect();
        let text = NamedSource::new(&self.name, self.text.clone()).with_language("yaml");
        FaultReport { summary: self.to_string(), text, labels }
    }
}

/// Report of all faults of a document, with the lines of its text.
#[derive(Debug)]
#[derive(Error)]
#[error("{summary}")]
pub struct FaultReport {
    summary: String,
    text: NamedSource<String>,
    labels: Vec<FaultLabel>,
}

impl Diagnostic for FaultReport {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.text)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.labels.iter().map(|label| label as &dyn Diagnostic)))
    }
}

/// One fault of a report, with the span of text to underline.
#[derive(Debug)]
#[derive(Error)]
#[error("{fault}")]
struct FaultLabel {
    fault: String,
    help: String,
    span: Option<SourceSpan>,
}

impl FaultLabel {
    fn new(fault: &DocumentFault, text: &str) -> Self {
        let span = fault.line.zip(fault.column).map(|(line, column)| span_at(text, line, column));
        let fault_text = format!("{}: {}", fault.path, fault.message);
        Self { fault: fault_text, help: fault.help.clone(), span }
    }
}

impl Diagnostic for FaultLabel {
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

/// Returns the span from a position to the end of its line, without a trailing comment.
fn span_at(text: &str, line: u64, column: u64) -> SourceSpan {
    let line_index = usize::try_from(line.saturating_sub(1)).unwrap_or(usize::MAX);
    let line_start: usize = text.split_inclusive('\n').take(line_index).map(str::len).sum();
    let line_text = text[line_start..].lines().next().unwrap_or_default();
    let skipped = usize::try_from(column.saturating_sub(1)).unwrap_or(usize::MAX);
    let skipped_bytes: usize = line_text.chars().take(skipped).map(char::len_utf8).sum();
    let rest = line_text[skipped_bytes..].split(" #").next().unwrap_or_default();
    SourceSpan::new((line_start + skipped_bytes).into(), rest.trim_end().len())
}
