//! Structured log lines to standard output that never hold up the daemon.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use miette::IntoDiagnostic;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;
use spdlog::{LevelFilter, Logger};
use tokio::sync::mpsc;

/// Lines that may wait to be written; more are dropped and counted.
const QUEUE_LINES: usize = 2_048;

/// Lines dropped since the start because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

struct LineQueue {
    lines: mpsc::Sender<Vec<u8>>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Sends log lines to standard output through a bounded queue.
///
/// # Errors
/// Fails if the logger cannot be built.
///
/// # Panics
/// Panics outside a `tokio` runtime.
pub fn start() -> miette::Result<()> {
    let (lines, queued) = mpsc::channel(QUEUE_LINES);
    let sink = WriteSink::builder()
        .target(LineQueue { lines })
        .formatter(JsonFormatter::new())
        .build_arc()
        .into_diagnostic()?;
    let logger =
        Logger::builder().sink(sink).level_filter(LevelFilter::All).build().into_diagnostic()?;
    spdlog::set_default_logger(Arc::new(logger));
    tokio::spawn(write_lines(queued));
    Ok(())
}

async fn write_lines(mut queued: mpsc::Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    let mut batch = Vec::new();
    while let Some(line) = queued.recv().await {
        batch.extend_from_slice(&line);
        while let Ok(line) = queued.try_recv() {
            batch.extend_from_slice(&line);
        }
        // There is nowhere else to say that standard output is gone.
        let _ = output.write_all(&batch);
        batch.clear();
    }
}
