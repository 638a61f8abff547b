//! What must always hold, checked against what really happened.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use galenaloft_caller::wire::Answer;
use galenaloft_caller::wire::Failure;
use galenaloft_caller::wire::Receipt;
use galenaloft_caller::wire::Verdict;

use crate::world::catalogue::Catalogue;
use crate::world::catalogue::shard_of;

/// What a caller was told of one submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Told {
    Ran(String),
    NotRun(String),
    MayHaveRun,
}

#[derive(Debug, Default)]
pub struct Oracle {
    /// How often each body ran; every ticket is used with bodies of its own.
    runs: BTreeMap<String, u32>,
    told: BTreeMap<String, Vec<Told>>,
    /// Greatest sheet stamp seen of each process.
    stamps: BTreeMap<u64, (u32, String)>,
    broken: Vec<String>,
}

impl Oracle {
    pub fn note_run(&mut self, body: &str) -> u32 {
        let count = self.runs.entry(body.to_owned()).or_default();
        *count += 1;
        *count
    }

    pub fn note_late_work(&mut self, searcher: usize, since: Duration) {
        self.broken.push(format!("searcher {searcher} got new work {since:?} after it left"));
    }

    pub fn note_receipt(&mut self, body: &str, status: u16, reply: &[u8]) {
        let told = match serde_json::from_slice::<Receipt>(reply) {
            Ok(receipt) if status == 200 => Told::Ran(receipt.receipt),
            _ => match serde_json::from_slice::<Failure>(reply) {
                Ok(failure) if failure.verdict() == Verdict::NotRun => Told::NotRun(failure.error),
                Ok(failure) if failure.verdict() == Verdict::MayHaveRun => Told::MayHaveRun,
                other => {
                    return self.broken.push(format!("{body}: status {status}, {other:?}"));
                }
            },
        };
        self.told.entry(body.to_owned()).or_default().push(told);
    }

    pub fn note_answer(&mut self, catalogue: &Catalogue, text: &str, fetch: bool, answer: &Answer) {
        if let Err(why) = check_answer(catalogue, text, fetch, answer) {
            self.broken.push(format!("{text}: {why}: {answer:?}"));
        }
    }

    pub fn note_failure(&mut self, text: &str, status: u16, reply: &[u8]) {
        let failure = serde_json::from_slice::<Failure>(reply);
        let known = failure.is_ok_and(|f| f.verdict() != Verdict::Unspecified);
        if !known || !(400..600).contains(&status) {
            self.broken.push(format!("{text}: status {status} without a verdict"));
        }
    }

    pub fn note_stamp(&mut self, process: u64, stamp: (u32, String)) {
        let last = self.stamps.entry(process).or_default();
        if stamp < *last {
            self.broken.push(format!("process {process:x} went from sheet {last:?} to {stamp:?}"));
        }
        *last = stamp;
    }

    pub fn note_cut(&mut self, host: usize, cut: u32) {
        if cut > 0 {
            self.broken.push(format!("the planned stop of host {host} cut {cut} requests"));
        }
    }

    pub fn note_late(&mut self, text: &str, waited: Duration) {
        self.broken.push(format!("{text}: answered after {waited:?}"));
    }

    pub fn note_broken(&mut self, why: String) {
        self.broken.push(why);
    }

    /// Returns everything that did not hold, after all requests have ended.
    pub fn verdict(&self) -> Vec<String> {
        let mut broken = self.broken.clone();
        for (body, count) in &self.runs {
            if *count > 1 {
                broken.push(format!("{body} ran {count} times"));
            }
        }
        for (body, told) in &self.told {
            let runs = self.runs.get(body).copied().unwrap_or(0);
            let receipts: BTreeSet<&String> = told.iter().filter_map(receipt).collect();
            if receipts.len() > 1 || (!receipts.is_empty() && runs == 0) {
                broken.push(format!("{body}: {runs} runs but receipts {receipts:?}"));
            }
            let not_run = told.iter().find(|told| matches!(told, Told::NotRun(_)));
            if let (Some(told), true) = (not_run, runs > 0) {
                broken.push(format!("{body}: ran {runs} times but a caller was told {told:?}"));
            }
        }
        broken
    }
}

fn receipt(told: &Told) -> Option<&String> {
    match told {
        Told::Ran(receipt) => Some(receipt),
        Told::NotRun(_) | Told::MayHaveRun => None,
    }
}

fn check_answer(
    catalogue: &Catalogue,
    text: &str,
    fetch: bool,
    answer: &Answer,
) -> Result<(), &'static str> {
    let snapshot = catalogue.snapshots.get(&answer.snapshot).ok_or("no such snapshot")?;
    let coverage = answer.coverage.as_ref().ok_or("no coverage")?;
    let missing: BTreeSet<u32> = coverage.missing.iter().map(|m| m.shard).collect();
    let lacking: u32 = coverage.missing.iter().map(|m| m.documents).sum();
    if coverage.covered + lacking != coverage.total {
        return Err("covered and missing do not add up");
    }
    let title = format!("{text}@{}", answer.snapshot);
    if answer.entries.iter().any(|entry| entry.title != title) {
        return Err("an entry of another request or snapshot");
    }
    let keys: Vec<&String> = answer.entries.iter().map(|entry| &entry.key).collect();
    let in_scope: Vec<&String> = match fetch {
        true => snapshot.shard_documents(shard_of(text, snapshot.shards)).collect(),
        false => snapshot.documents.iter().collect(),
    };
    if coverage.total != in_scope.len() as u32 {
        return Err("the total is not the catalogue's");
    }
    let covered = |key: &&&String| !missing.contains(&shard_of(key, snapshot.shards));
    if in_scope.iter().filter(covered).count() as u32 != coverage.covered {
        return Err("the coverage is not that of the shards that are not missing");
    }
    let wanted = |key: &&&String| !fetch || ***key == *text;
    let mut expected: Vec<&String> =
        in_scope.iter().filter(covered).filter(wanted).copied().collect();
    let mut got = keys;
    expected.sort();
    got.sort();
    if expected == got { Ok(()) } else { Err("not the entries of the covered shards") }
}
