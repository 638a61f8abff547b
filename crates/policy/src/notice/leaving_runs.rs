//! Searcher processes that are leaving.

use std::collections::BTreeMap;

use crate::directory::SearcherEntry;
use crate::ids::SearcherId;
use crate::ids::SearcherStartTime;

/// Maximum number of runs that are kept. Beyond that the run that started first is dropped.
const MAX_RUNS: usize = 16_384;

/// Runs of searchers that stated that they are leaving, in an answer or in the store.
///
/// A run is kept after its entry has gone: the entry may be listed again, and the process may still
/// accept requests. A searcher that starts again has a new start time and is not leaving.
#[derive(Debug, Default, Clone)]
pub struct LeavingRuns {
    runs: BTreeMap<SearcherId, SearcherStartTime>,
}

impl LeavingRuns {
    /// Records that a run is leaving. Returns whether that is new.
    pub fn record(&mut self, entry: &SearcherEntry) -> bool {
        if self.contains(entry) {
            return false;
        }
        if self.runs.len() >= MAX_RUNS {
            let oldest = self.runs.iter().min_by_key(|(_, start)| **start);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.runs.remove(&id);
            }
        }
        self.runs.insert(entry.id.clone(), entry.start_time);
        true
    }

    /// Returns whether the run of the entry is leaving.
    pub fn contains(&self, entry: &SearcherEntry) -> bool {
        self.runs.get(&entry.id) == Some(&entry.start_time)
    }
}
