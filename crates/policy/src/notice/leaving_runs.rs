//! Searcher processes that are leaving.

use std::collections::BTreeMap;

use crate::directory::SearcherRun;
use crate::ids::SearcherId;
use crate::ids::SearcherStartTime;

/// Maximum number of runs that are kept. Beyond that the run that started first is dropped.
const MAX_RUNS: usize = 16_384;

/// Runs of searchers that stated that they are leaving, in an answer or in the store.
///
/// A run is kept after its entry has gone: the entry may be listed again, and the process may still
/// accept requests. A searcher that starts again has a new start time and is not leaving.
#[derive(Debug, Default)]
pub struct LeavingRuns {
    runs: BTreeMap<SearcherId, SearcherStartTime>,
}

impl LeavingRuns {
    /// Records that a run is leaving. Returns whether that is new.
    pub fn record(&mut self, run: &SearcherRun) -> bool {
        if self.contains(run) {
            return false;
        }
        if self.runs.len() >= MAX_RUNS {
            let oldest = self.runs.iter().min_by_key(|(_, start)| **start);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.runs.remove(&id);
            }
        }
        self.runs.insert(run.searcher.clone(), run.start_time);
        true
    }

    /// Returns whether a run is leaving.
    pub fn contains(&self, run: &SearcherRun) -> bool {
        self.runs.get(&run.searcher) == Some(&run.start_time)
    }
}
