//! Reading the logs of edge hosts.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::path::PathBuf;

use galenaloft_config::reader::read_file;

use crate::error::CommandError;

/// Events that end a request without full success.
const FAILURES: [&str; 6] =
    ["failed", "refused", "incomplete", "improper", "no_route", "quarantined"];

/// Widest bar of the table of causes, in characters.
const BAR: usize = 30;

/// Prints the story of one request, or the causes of all requests that failed.
pub fn logs(files: &[PathBuf], request: Option<&str>) -> Result<(), CommandError> {
    let mut text = String::new();
    for file in files {
        text.push_str(&read_file(file)?);
        text.push('\n');
    }
    if files.is_empty() {
        text = io::read_to_string(io::stdin())?;
    }
    match request {
        Some(request) => print!("{}", story(&text, request)),
        None => print!("{}", causes(&text)),
    }
    Ok(())
}

/// Returns the lines that name a request in the order of their times.
fn story(text: &str, request: &str) -> String {
    let mut lines: Vec<&str> =
        text.lines().filter(|line| field(line, "request") == Some(request)).collect();
    lines.sort_by_key(|line| field(line, "time"));
    match lines.is_empty() {
        true => format!("no line names request {request}\n"),
        false => lines.join("\n") + "\n",
    }
}

/// Returns a table of the causes of failed requests, the most frequent first.
fn causes(text: &str) -> String {
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for line in text.lines() {
        let event = field(line, "event").unwrap_or_default();
        if FAILURES.contains(&event) {
            let why = field(line, "why").unwrap_or("-");
            *counts.entry((event, why)).or_default() += 1;
        }
    }
    let mut rows: Vec<((&str, &str), usize)> = counts.into_iter().collect();
    rows.sort_by_key(|(cause, count)| (std::cmp::Reverse(*count), *cause));
    let most = rows.first().map_or(1, |(_, count)| *count);
    let mut table = String::new();
    for ((event, why), count) in rows {
        let bar = "#".repeat((count * BAR).div_ceil(most));
        writeln!(table, "{count:>7}  {event:<12} {why:<44} {bar}")
            .expect("writing to a string succeeds");
    }
    match table.is_empty() {
        true => "no request failed\n".to_owned(),
        false => table,
    }
}

/// Returns the value of a field of a `key=value` line, without its quotes.
fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = line;
    loop {
        let at = rest.find(key)?;
        let starts = at == 0 || rest.as_bytes()[at - 1] == b' ';
        let value = rest[at + key.len()..].strip_prefix('=').filter(|_| starts);
        let Some(value) = value else {
            rest = &rest[at + key.len()..];
            continue;
        };
        return match value.strip_prefix('"') {
            Some(quoted) => quoted.split('"').next(),
            None => value.split(' ').next(),
        };
    }
}

#[cfg(test)]
mod tests;
