//! What was sent, answered and run, with the time since the start of the case.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

#[derive(Debug)]
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Mutex::default() }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let at = at.saturating_duration_since(self.start);
        self.lines.lock().expect("no panic").push((at, text.to_owned()));
    }

    /// Writes all lines in the order of their times.
    pub fn write(&self, file: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().expect("no panic").clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:8.3} {line}", at.as_secs_f64());
        }
        std::fs::write(file, text)
    }
}
