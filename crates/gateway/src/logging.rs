//! Structured logging to standard output that never blocks the daemon.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use miette::IntoDiagnostic;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::WriteSink;
use spdlog::{LevelFilter, Logger};

/// Maximum number of queued lines; further lines are dropped and counted.
const QUEUE_LINES: usize = 2_048;

/// Stack size of the writer thread, in bytes.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Lines dropped since the process started because the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

struct LineQueue {
    lines: SyncSender<Vec<u8>>,
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

/// Installs the default logger. It queues lines for a thread that writes them to standard output,
/// as writing may block.
///
/// # Errors
/// Fails if the logger or the thread cannot be created.
pub fn start() -> miette::Result<()> {
    let (lines, queued) = sync_channel(QUEUE_LINES);
    let sink = WriteSink::builder()
        .target(LineQueue { lines })
        .formatter(JsonFormatter::new())
        .build_arc()
        .into_diagnostic()?;
    let logger =
        Logger::builder().sink(sink).level_filter(LevelFilter::All).build().into_diagnostic()?;
    spdlog::set_default_logger(Arc::new(logger));
    thread::Builder::new()
        .name("log".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&queued))
        .into_diagnostic()?;
    Ok(())
}

fn write_lines(queued: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    let mut batch = Vec::new();
    while let Ok(line) = queued.recv() {
        batch.extend_from_slice(&line);
        while let Ok(line) = queued.try_recv() {
            batch.extend_from_slice(&line);
        }
        // There is nowhere else to report that standard output is closed.
        let _ = output.write_all(&batch);
        batch.clear();
    }
}
