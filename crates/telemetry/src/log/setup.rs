//! Where and how events are written.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::StdStream;
use spdlog::sink::StdStreamSink;

use crate::log::background::BackgroundSink;
use crate::log::limiter::Limiter;

/// Bound on the lines of each event; none unless it is asked for.
static LIMITER: Mutex<Option<Limiter>> = Mutex::new(None);

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

/// Writes events of at least `level` to standard output, at most `lines` of each kind in a second,
/// and never waits for a reader.
pub fn init_bounded(level: Level, lines: u32) -> io::Result<()> {
    let formatter = PatternFormatter::new(pattern!(
        "time={date}T{time}.{millisecond} level={level} {payload}{eol}"
    ));
    let sink = BackgroundSink::start(formatter)?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(level))
        .build()
        .map_err(io::Error::other)?;
    spdlog::set_default_logger(Arc::new(logger));
    *LIMITER.lock().unwrap_or_else(PoisonError::into_inner) = Some(Limiter::new(lines));
    Ok(())
}

/// Returns whether a line of an event passes the bound, with the lines left out before it.
pub(super) fn pass(event: &str) -> Option<u64> {
    match LIMITER.lock().unwrap_or_else(PoisonError::into_inner).as_mut() {
        Some(limiter) => limiter.pass(event, Instant::now()),
        None => Some(0),
    }
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
