//! Answers and receipts.

use std::fmt::Write;

use galenaloft_caller::wire::Answer;
use galenaloft_caller::wire::Coverage;
use galenaloft_caller::wire::Receipt;

/// Most missing shards that are listed.
const MAX_MISSING: usize = 5;

/// Returns an answer as text.
pub fn answer(answer: &Answer) -> String {
    let mut text = String::new();
    let coverage = answer.coverage.clone().unwrap_or_default();
    let lines = [
        ("request", answer.request_id.clone()),
        ("verdict", answer.verdict().as_str_name().to_owned()),
        ("snapshot", answer.snapshot.to_string()),
        ("coverage", describe(&coverage)),
        ("hits", format!("{}, best {} below", answer.total_hits, answer.entries.len())),
        ("answered", format!("by {} in {} ms", answer.host, answer.elapsed_ms)),
    ];
    for (name, value) in lines {
        line(&mut text, name, &value);
    }
    for missing in coverage.missing.iter().take(MAX_MISSING) {
        let value =
            format!("shard {}, {} documents: {}", missing.shard, missing.documents, missing.reason);
        line(&mut text, "missing", &value);
    }
    let more = coverage.missing.len().saturating_sub(MAX_MISSING);
    if more > 0 {
        line(&mut text, "missing", &format!("and {more} more shards"));
    }
    for entry in &answer.entries {
        let (score, key, firm) = (entry.score, &entry.key, &entry.firm);
        writeln!(text, "  {score:>5}  {key:<18} {firm:<14} {}", entry.title)
            .expect("writing to a string succeeds");
    }
    text
}

/// Returns a receipt as text.
pub fn receipt(receipt: &Receipt) -> String {
    let mut text = String::new();
    line(&mut text, "verdict", receipt.verdict().as_str_name());
    line(&mut text, "receipt", &receipt.receipt);
    let origin = if receipt.replayed { "an earlier run of the ticket" } else { "this run" };
    line(&mut text, "from", origin);
    line(&mut text, "answered", &format!("by {}", receipt.host));
    text
}

fn describe(coverage: &Coverage) -> String {
    let (covered, total) = (coverage.covered, coverage.total);
    let percent = if total == 0 { 100.0 } else { 100.0 * f64::from(covered) / f64::from(total) };
    format!("{covered} of {total} documents ({percent:.1}%)")
}

fn line(text: &mut String, name: &str, value: &str) {
    writeln!(text, "{name:<9} {value}").expect("writing to a string succeeds");
}
