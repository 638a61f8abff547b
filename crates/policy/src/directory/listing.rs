//! The list of searchers, kept up to date from the store's changes.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::directory::SearcherEntry;
use crate::directory::SearcherState;
use crate::ids::SearcherId;

/// How long after the store's return a searcher whose entry lapsed is still used. The platform
/// states that living searchers are listed again within about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A searcher wrote its entry.
    Written(SearcherEntry),
    /// An entry is gone, or can no longer be read as a searcher's.
    Removed(SearcherId),
}

#[derive(Debug, Clone)]
struct Listed {
    entry: SearcherEntry,
    /// Set when the entry is gone but may lapse only because the store was away.
    lapsed: bool,
}

/// Every searcher that is listed, and those that may be back.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    listed: BTreeMap<SearcherId, Listed>,
    /// When the store was last seen to fail.
    store_failed: Option<Instant>,
    /// When the store first answered again after that.
    store_returned: Option<Instant>,
}

impl Directory {
    /// Notes that the store did not answer.
    pub fn note_store_failure(&mut self, now: Instant) {
        self.store_failed = Some(now);
        self.store_returned = None;
    }

    /// Notes an answer of the store.
    pub fn note_store_answer(&mut self, now: Instant) {
        if self.store_failed.is_some() && self.store_returned.is_none() {
            self.store_returned = Some(now);
        }
    }

    /// Applies one change. Returns whether the set of usable searchers or their entries changed.
    pub fn apply(&mut self, change: Change, now: Instant) -> bool {
        match change {
            Change::Written(entry) => {
                let id = entry.id.clone();
                let known = self.listed.get(&id);
                let changed = known.is_none_or(|known| known.entry != entry);
                self.listed.insert(id, Listed { entry, lapsed: false });
                changed
            }
            Change::Removed(id) => self.remove(&id, now),
        }
    }

    /// Replaces the whole list by what the store holds now. Returns whether it changed.
    pub fn replace(&mut self, entries: Vec<SearcherEntry>, now: Instant) -> bool {
        let present: BTreeMap<SearcherId, ()> =
            entries.iter().map(|entry| (entry.id.clone(), ())).collect();
        let known: Vec<SearcherId> = self.listed.keys().cloned().collect();
        let mut changed = false;
        for id in known.into_iter().filter(|id| !present.contains_key(id)) {
            changed |= self.remove(&id, now);
        }
        for entry in entries {
            changed |= self.apply(Change::Written(entry), now);
        }
        changed
    }

    /// Drops the searchers whose time to be listed again is over. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        if self.may_have_lapsed(now) {
            return false;
        }
        let before = self.listed.len();
        self.listed.retain(|_, listed| !listed.lapsed);
        before != self.listed.len()
    }

    /// Returns every searcher that may be used or is draining.
    pub fn entries(&self) -> impl Iterator<Item = &SearcherEntry> {
        self.listed.values().map(|listed| &listed.entry)
    }

    fn remove(&mut self, id: &SearcherId, now: Instant) -> bool {
        let may_return = self.may_have_lapsed(now);
        let Some(listed) = self.listed.get_mut(id) else {
            return false;
        };
        if may_return && listed.entry.state == SearcherState::Ready {
            listed.lapsed = true;
            return false;
        }
        self.listed.remove(id);
        true
    }

    /// Whether an entry may be missing only because the store was away.
    fn may_have_lapsed(&self, now: Instant) -> bool {
        match (self.store_failed, self.store_returned) {
            (Some(_), Some(returned)) => now < returned + RETURN_TIME,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}
