//! One logged event.

use std::fmt::Display;
use std::fmt::Write;

use crate::log::setup::pass;

/// An event with its fields, written as one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    line: String,
}

impl Event {
    /// Starts an event with its name.
    pub fn new(name: &str) -> Self {
        Self { line: format!("event={name}") }
    }

    /// Adds a field; a value with spaces, quotes or control characters is quoted.
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        let value = value.to_string();
        let result = match is_plain(&value) {
            true => write!(self.line, " {key}={value}"),
            false => write!(self.line, " {key}={value:?}"),
        };
        result.expect("writing to a string succeeds");
        self
    }

    /// Returns the line without time and level.
    pub fn line(&self) -> &str {
        &self.line
    }

    /// Returns the line, unless there are too many of its kind in this second.
    fn bounded(self) -> Option<String> {
        let name = self.line.split(' ').next().unwrap_or_default();
        match pass(name)? {
            0 => Some(self.line),
            left_out => Some(self.with("left_out", left_out).line),
        }
    }

    /// Logs the event for debugging.
    pub fn debug(self) {
        if let Some(line) = self.bounded() {
            spdlog::debug!("{line}");
        }
    }

    /// Logs a change of state.
    pub fn info(self) {
        if let Some(line) = self.bounded() {
            spdlog::info!("{line}");
        }
    }

    /// Logs what an operator may have to look at.
    pub fn warn(self) {
        if let Some(line) = self.bounded() {
            spdlog::warn!("{line}");
        }
    }

    /// Logs a failure.
    pub fn error(self) {
        if let Some(line) = self.bounded() {
            spdlog::error!("{line}");
        }
    }
}

fn is_plain(value: &str) -> bool {
    let special = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=');
    !value.is_empty() && !value.contains(special)
}
