//! One field of a mapping, read as a checked value.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use marked_yaml::Node;

use crate::reader::ConfigError;
use crate::reader::MapReader;
use crate::reader::map::describe;
use crate::reader::map::line_of;

/// Longest name of a kind, rank, host or zone, in bytes.
const MAX_NAME: usize = 64;

/// One field with its place in the document.
#[derive(Debug, Clone)]
pub struct Field<'a> {
    file: &'a str,
    path: String,
    node: &'a Node,
}

impl<'a> Field<'a> {
    pub(crate) fn new(file: &'a str, path: String, node: &'a Node) -> Self {
        Self { file, path, node }
    }

    /// Returns the error that this value is not what was expected.
    pub fn invalid(&self, expected: impl Display) -> ConfigError {
        ConfigError::Invalid {
            file: self.file.to_owned(),
            line: line_of(self.node),
            field: self.path.clone(),
            value: describe(self.node),
            expected: expected.to_string(),
        }
    }

    /// Reads a mapping.
    pub fn map(&self) -> Result<MapReader<'a>, ConfigError> {
        MapReader::new(self.file, self.path.clone(), self.node)
    }

    /// Reads a list.
    pub fn list(&self) -> Result<Vec<Field<'a>>, ConfigError> {
        let nodes = self.node.as_sequence().ok_or_else(|| self.invalid("a list"))?;
        let item = |(i, node)| Field::new(self.file, format!("{}[{i}]", self.path), node);
        Ok(nodes.iter().enumerate().map(item).collect())
    }

    /// Reads a scalar as it is written.
    pub fn text(&self) -> Result<&'a str, ConfigError> {
        let scalar = self.node.as_scalar().ok_or_else(|| self.invalid("a single value"))?;
        Ok(scalar.as_str())
    }

    /// Reads a name of letters, digits, `-`, `_` and `.`.
    pub fn name(&self) -> Result<&'a str, ConfigError> {
        let text = self.text()?;
        match is_name(text) {
            true => Ok(text),
            false => Err(self.invalid("a name of 1 to 64 letters, digits, `-`, `_` or `.`")),
        }
    }

    /// Reads a whole number within a range.
    pub fn number(&self, range: RangeInclusive<u32>) -> Result<u32, ConfigError> {
        let (low, high) = (range.start(), range.end());
        let expected = || self.invalid(format!("a whole number from {low} to {high}"));
        let number = self.text()?.parse().map_err(|_| expected())?;
        if range.contains(&number) { Ok(number) } else { Err(expected()) }
    }

    /// Reads a percentage such as `5%` within a range, as a share from 0.0 to 1.0.
    pub fn percent(&self, range: RangeInclusive<u32>) -> Result<f64, ConfigError> {
        let (low, high) = (range.start(), range.end());
        let expected = || self.invalid(format!("a percentage from {low}% to {high}%"));
        let digits = self.text()?.strip_suffix('%').ok_or_else(expected)?;
        let percent: f64 = digits.trim_end().parse().map_err(|_| expected())?;
        match (f64::from(*low)..=f64::from(*high)).contains(&percent) {
            true => Ok(percent / 100.0),
            false => Err(expected()),
        }
    }

    /// Reads a decimal number within a range.
    pub fn decimal(&self, range: RangeInclusive<f64>) -> Result<f64, ConfigError> {
        let (low, high) = (range.start(), range.end());
        let expected = || self.invalid(format!("a number from {low} to {high}"));
        let number: f64 = self.text()?.parse().map_err(|_| expected())?;
        if range.contains(&number) { Ok(number) } else { Err(expected()) }
    }

    /// Reads a duration that is written as a number of units, such as milliseconds.
    pub fn units(
        &self,
        unit: Duration,
        range: RangeInclusive<f64>,
    ) -> Result<Duration, ConfigError> {
        Ok(unit.mul_f64(self.decimal(range)?))
    }

    /// Reads a duration with its unit, such as `280ms` or `2s`, within a range.
    pub fn duration(&self, range: RangeInclusive<Duration>) -> Result<Duration, ConfigError> {
        let low = humantime::format_duration(*range.start());
        let high = humantime::format_duration(*range.end());
        let expected = || self.invalid(format!("a duration with its unit from {low} to {high}"));
        let duration = humantime::parse_duration(self.text()?).map_err(|_| expected())?;
        if range.contains(&duration) { Ok(duration) } else { Err(expected()) }
    }

    /// Reads an IP address with its port.
    pub fn address(&self) -> Result<SocketAddr, ConfigError> {
        let expected = "an IP address with its port, such as 127.0.0.1:7000";
        SocketAddr::from_str(self.text()?).map_err(|_| self.invalid(expected))
    }

    /// Reads one of a closed set of words.
    pub fn choice<T: Copy>(&self, choices: &[(&str, T)]) -> Result<T, ConfigError> {
        let text = self.text()?;
        let found = choices.iter().find(|(word, _)| *word == text);
        let words = || choices.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
        found.map(|(_, choice)| *choice).ok_or_else(|| self.invalid(format!("one of {}", words())))
    }
}

/// Returns whether a text may name a kind, rank, host or zone.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME).contains(&text.len()) && text.chars().all(allowed)
}
