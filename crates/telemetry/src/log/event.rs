//! One logged event.

use std::fmt::Display;
use std::fmt::Write;

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

    /// Logs the event for debugging.
    pub fn debug(self) {
        spdlog::debug!("{}", self.line);
    }

    /// Logs a change of state.
    pub fn info(self) {
        spdlog::info!("{}", self.line);
    }

    /// Logs what an operator may have to look at.
    pub fn warn(self) {
        spdlog::warn!("{}", self.line);
    }

    /// Logs a failure.
    pub fn error(self) {
        spdlog::error!("{}", self.line);
    }
}

fn is_plain(value: &str) -> bool {
    let special = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=');
    !value.is_empty() && !value.contains(special)
}
