//! The report as JSON.

use std::fs;
use std::path::Path;

use serde_json::Value;
use serde_json::json;

use crate::error::LoadError;
use crate::load::Outcome;

/// Writes the report to a file.
pub fn write_json(outcome: &Outcome, path: &Path) -> Result<(), LoadError> {
    let seconds = outcome.counted.as_secs_f64();
    let kinds = outcome.kinds.iter().map(|kind| {
        let tally = &kind.tally;
        json!({
            "kind": kind.name,
            "rank": kind.rank,
            "sent": tally.sent,
            "answered": tally.answered,
            "good": tally.good,
            "good_per_s": tally.good as f64 / seconds,
            "not_run": tally.not_run,
            "may_have_run": tally.may_have_run,
            "p50_ms": tally.millis(0.5),
            "p99_ms": tally.millis(0.99),
            "p999_ms": tally.millis(0.999),
            "coverage": tally.mean_coverage(),
            "complete": tally.complete,
            "extra_load": kind.extra_load,
        })
    });
    let report = json!({
        "seconds": seconds,
        "tool_late_p99_ms": outcome.lateness.value_at_quantile(0.99) as f64 / 1_000.0,
        "kinds": kinds.collect::<Vec<Value>>(),
    });
    let text = serde_json::to_string_pretty(&report).expect("numbers and names are valid JSON");
    fs::write(path, text).map_err(|e| LoadError::Report(path.to_owned(), e.to_string()))
}
