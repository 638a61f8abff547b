//! Merges the entries of many shards into one answer.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::catalogue::Entry;
use crate::ids::FirmName;

/// How the entries of an answer are distributed over former firms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spread {
    /// By score only, regardless of the firm.
    None,
    /// Round-robin over the former firms, best entries of each firm first.
    FormerFirm,
}

/// Collects the entries of one answer and keeps the first entry of each key.
#[derive(Debug, Default)]
pub struct EntryMerger {
    entries: BTreeMap<String, Entry>,
    total_hits: u32,
}

impl EntryMerger {
    /// Adds the entries of one shard.
    pub fn add(&mut self, entries: Vec<Entry>, total_hits: u32) {
        self.total_hits = self.total_hits.saturating_add(total_hits);
        for entry in entries {
            self.entries.entry(entry.key.clone()).or_insert(entry);
        }
    }

    /// Returns the number of matching documents in all shards added.
    pub fn total_hits(&self) -> u32 {
        self.total_hits
    }

    /// Returns the first `limit` entries in the order given by `spread`. Within it, entries are
    /// ordered by score, highest first, and then by key.
    pub fn finish(self, limit: usize, spread: Spread) -> Vec<Entry> {
        let mut entries: Vec<Entry> = self.entries.into_values().collect();
        entries.sort_by(|a, b| (Reverse(a.score), &a.key).cmp(&(Reverse(b.score), &b.key)));
        match spread {
            Spread::None => {}
            Spread::FormerFirm => entries = interleave_firms(entries),
        }
        entries.truncate(limit);
        entries
    }
}

/// Reorders sorted entries round-robin over the firms, in order of firm name.
fn interleave_firms(entries: Vec<Entry>) -> Vec<Entry> {
    let mut firms: BTreeMap<FirmName, VecDeque<Entry>> = BTreeMap::new();
    let total = entries.len();
    for entry in entries {
        firms.entry(entry.firm.clone()).or_default().push_back(entry);
    }
    let mut interleaved = Vec::with_capacity(total);
    while interleaved.len() < total {
        interleaved.extend(firms.values_mut().filter_map(VecDeque::pop_front));
    }
    interleaved
}
