//! Merging the entries of many shards into one answer.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::catalogue::Entry;
use crate::ids::FirmName;

/// How the places of an answer are shared among former firms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spread {
    /// By score alone.
    None,
    /// Each former firm in turn, each with its best entries first.
    FormerFirm,
}

/// Collects the entries of one answer, each key once.
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

    /// Returns the matching documents of all shards added.
    pub fn total_hits(&self) -> u32 {
        self.total_hits
    }

    /// Returns the best `limit` entries: highest score first, then by key.
    pub fn finish(self, limit: usize, spread: Spread) -> Vec<Entry> {
        let mut entries: Vec<Entry> = self.entries.into_values().collect();
        entries.sort_by(|a, b| (Reverse(a.score), &a.key).cmp(&(Reverse(b.score), &b.key)));
        match spread {
            Spread::None => {}
            Spread::FormerFirm => entries = take_turns(entries),
        }
        entries.truncate(limit);
        entries
    }
}

/// Reorders sorted entries so that each firm has a place in turn.
fn take_turns(entries: Vec<Entry>) -> Vec<Entry> {
    let mut firms: BTreeMap<FirmName, VecDeque<Entry>> = BTreeMap::new();
    let total = entries.len();
    for entry in entries {
        firms.entry(entry.firm.clone()).or_default().push_back(entry);
    }
    let mut turns = Vec::with_capacity(total);
    while turns.len() < total {
        turns.extend(firms.values_mut().filter_map(VecDeque::pop_front));
    }
    turns
}
