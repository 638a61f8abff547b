//! What a new sheet would change.

use std::collections::BTreeMap;
use std::fmt::Debug;

use crate::sheet::Kind;
use crate::sheet::Sheet;

/// Returns a line for each thing that `new` changes against `old`.
pub fn diff(old: &Sheet, new: &Sheet) -> Vec<String> {
    let mut lines = Vec::new();
    compare(&mut lines, "customer", &old.customer, &new.customer);
    compare(&mut lines, "ticket-life", &old.ticket_life, &new.ticket_life);
    for (name, before, after) in pairs(&old.ranks, &new.ranks) {
        let path = format!("rank {name}");
        match (before, after) {
            (Some(before), Some(after)) => {
                compare(&mut lines, &format!("{path}: name"), &before.name, &after.name);
                compare(&mut lines, &format!("{path}: floor"), &before.floor, &after.floor);
            }
            (None, _) => lines.push(format!("{path}: added")),
            (_, None) => lines.push(format!("{path}: removed")),
        }
    }
    for (name, before, after) in pairs(&old.kinds, &new.kinds) {
        match (before, after) {
            (Some(before), Some(after)) => compare_kinds(&mut lines, name, before, after),
            (None, _) => lines.push(format!("kind {name}: added")),
            (_, None) => lines.push(format!("kind {name}: removed")),
        }
    }
    lines
}

fn compare_kinds(lines: &mut Vec<String>, name: &str, old: &Kind, new: &Kind) {
    let mut field = |label: &str, old: &dyn Debug, new: &dyn Debug| {
        compare(lines, &format!("kind {name}: {label}"), old, new);
    };
    field("operation", &old.operation, &new.operation);
    field("collection", &old.collection, &new.collection);
    field("rank", &old.rank, &new.rank);
    field("worth", &old.worth, &new.worth);
    field("deadline", &old.deadline, &new.deadline);
    field("coverage-floor", &old.coverage_floor, &new.coverage_floor);
    field("stragglers", &old.stragglers, &new.stragglers);
    field("spread", &old.spread, &new.spread);
    field("extra-load", &old.extra_load, &new.extra_load);
    field("retries", &old.retries, &new.retries);
    field("finish-by", &old.finish_by, &new.finish_by);
    field("requests", &old.requests, &new.requests);
}

fn compare<T: Debug + ?Sized>(lines: &mut Vec<String>, label: &str, old: &T, new: &T) {
    let (old, new) = (format!("{old:?}"), format!("{new:?}"));
    if old != new {
        lines.push(format!("{label}: {old} -> {new}"));
    }
}

type Pair<'a, K, V> = (&'a K, Option<&'a V>, Option<&'a V>);

fn pairs<'a, K: Ord, V>(old: &'a BTreeMap<K, V>, new: &'a BTreeMap<K, V>) -> Vec<Pair<'a, K, V>> {
    let added = new.keys().filter(|key| !old.contains_key(key));
    old.keys().chain(added).map(|key| (key, old.get(key), new.get(key))).collect()
}
