//! Where and how events are written.

use std::io;
use std::sync::Arc;

use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

/// Least level of the events that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Everything.
    Debug,
    /// Changes of state, and worse.
    Info,
    /// What an operator may have to look at, and worse.
    Warn,
    /// Failures only.
    Error,
}

/// Writes events of at least `level` to standard error.
pub fn init(level: Level) -> io::Result<()> {
    let formatter = PatternFormatter::new(pattern!(
        "time={date}T{time}.{millisecond} level={level} {payload}{eol}"
    ));
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(formatter)
        .build()
        .map_err(io::Error::other)?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(level))
        .flush_level_filter(LevelFilter::All)
        .build()
        .map_err(io::Error::other)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes no events at all.
pub fn silence() {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
}

fn filter(level: Level) -> LevelFilter {
    LevelFilter::MoreSevereEqual(match level {
        Level::Debug => spdlog::Level::Debug,
        Level::Info => spdlog::Level::Info,
        Level::Warn => spdlog::Level::Warn,
        Level::Error => spdlog::Level::Error,
    })
}
