//! Tables and short texts for the terminal.

use std::time::{SystemTime, UNIX_EPOCH};

use anstream::println;
use anstyle::Style;

const HEADING: Style = Style::new().bold();
const COLUMN_GAP: &str = "  ";

/// A table of text with headings. Columns are as wide as their widest cell.
#[derive(Debug)]
pub struct Table<const COLUMNS: usize> {
    headings: [&'static str; COLUMNS],
    rows: Vec<[String; COLUMNS]>,
}

impl<const COLUMNS: usize> Table<COLUMNS> {
    /// Creates a table without rows.
    pub fn new(headings: [&'static str; COLUMNS]) -> Self {
        Self { headings, rows: Vec::new() }
    }

    /// Appends a row.
    pub fn add_row(&mut self, cells: [String; COLUMNS]) {
        self.rows.push(cells);
    }

    /// Prints the table to standard output.
    pub fn print(&self) {
        let lines = self.lines();
        for (index, line) in lines.iter().enumerate() {
            match index {
                0 => println!("{HEADING}{line}{HEADING:#}"),
                _ => println!("{line}"),
            }
        }
    }

    fn lines(&self) -> Vec<String> {
        let headings = self.headings.map(str::to_owned);
        let rows: Vec<&[String; COLUMNS]> = std::iter::once(&headings).chain(&self.rows).collect();
        let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
        let widths: Vec<usize> = (0..COLUMNS).map(|column| width(column).unwrap_or(0)).collect();
        let padded = |row: &&[String; COLUMNS]| {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            cells.collect::<Vec<_>>().join(COLUMN_GAP).trim_end().to_owned()
        };
        rows.iter().map(padded).collect()
    }
}

/// Formats a time, in seconds since the Unix epoch, relative to now: `in 3 h` for a future time,
/// `5 min` for one 5 minutes ago.
pub fn relative_time_text(epoch_seconds: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs());
    if epoch_seconds > now {
        format!("in {}", duration_text((epoch_seconds - now) as f64))
    } else {
        duration_text((now - epoch_seconds) as f64)
    }
}

/// Formats seconds in the largest unit of which there is at least one, rounded down; less than a
/// minute is in rounded seconds.
pub fn duration_text(seconds: f64) -> String {
    const UNITS: [(f64, &str); 3] = [(86_400.0, "d"), (3_600.0, "h"), (60.0, "min")];
    match UNITS.iter().find(|(unit, _)| seconds >= *unit) {
        Some((unit, name)) => format!("{:.0} {name}", (seconds / unit).floor()),
        None => format!("{seconds:.0} s"),
    }
}

/// Formats bytes in GiB with one decimal, without the unit.
pub fn gibibytes_text(bytes: u64) -> String {
    const GIBIBYTE: f64 = (1_u64 << 30) as f64;
    format!("{:.1}", bytes as f64 / GIBIBYTE)
}

/// Draws the fraction `part / whole` as a bar of ten characters; it is empty if `whole` is 0.
pub fn bar_text(part: f64, whole: f64) -> String {
    const BAR_CHARS: usize = 10;
    let fraction = if whole > 0.0 { (part / whole).clamp(0.0, 1.0) } else { 0.0 };
    let filled = (fraction * BAR_CHARS as f64).round() as usize;
    format!("{}{}", "#".repeat(filled), ".".repeat(BAR_CHARS - filled))
}
