//! Logging to standard error.

use std::sync::Arc;

use miette::IntoDiagnostic;
use spdlog::formatter::{JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::cli::{LogFormat, LogLevel};

/// Sets the default logger of the process: it writes messages of at least `level` to standard
/// error.
///
/// # Errors
/// Fails if the logger cannot be built.
pub fn init(level: LogLevel, format: LogFormat) -> miette::Result<()> {
    let sink = StdStreamSink::builder().std_stream(StdStream::Stderr);
    let sink = match format {
        LogFormat::Json => sink.formatter(JsonFormatter::new()).build_arc(),
        LogFormat::Text => {
            let line = pattern!("{date} {time} {^{level}} {payload}{eol}");
            sink.formatter(PatternFormatter::new(line)).build_arc()
        }
    };
    let sink = sink.into_diagnostic()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(level_filter(level))
        .flush_level_filter(LevelFilter::All)
        .build()
        .into_diagnostic()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::MoreSevereEqual(Level::Error),
        LogLevel::Warn => LevelFilter::MoreSevereEqual(Level::Warn),
        LogLevel::Info => LevelFilter::MoreSevereEqual(Level::Info),
        LogLevel::Debug => LevelFilter::MoreSevereEqual(Level::Debug),
    }
}
