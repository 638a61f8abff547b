//! The list of searchers, kept up to date from the store's changes.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::directory::SearcherEntry;
use crate::directory::SearcherState;
use crate::ids::SearcherId;
use crate::ids::StoreRevision;

/// How long after the store's return a searcher whose entry lapsed is still used. The platform
/// states that living searchers are listed again within about two seconds.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Removed searchers that are remembered, so that older news does not bring them back.
const MAX_REMOVED: usize = 1_024;

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A searcher wrote its entry.
    Written(SearcherEntry),
    /// An entry is gone, or can no longer be read as a searcher's.
    Removed(SearcherId),
}

/// What a change did to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeEffect {
    /// Nothing: it is a heartbeat, or older than what is known.
    Unchanged,
    /// The set of usable searchers or their entries changed.
    Changed,
    /// An entry is gone that may only have lapsed while the store was away. Other hosts need to know,
    /// although nothing changes yet.
    Expired,
    /// An entry that had lapsed is there again, which other hosts need to know too.
    Restored,
}

/// A change with the store's revision at which it was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionedChange {
    /// The change.
    pub change: Change,
    /// Its revision.
    pub revision: StoreRevision,
}

#[derive(Debug, Clone)]
struct Listed {
    entry: SearcherEntry,
    revision: StoreRevision,
    /// Set when the entry is gone but may lapse only because the store was away.
    lapsed: bool,
}

/// Every searcher that is listed, and those that may be back.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    listed: BTreeMap<SearcherId, Listed>,
    /// Revisions at which entries were removed.
    removed: BTreeMap<SearcherId, StoreRevision>,
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

    /// Returns how long ago the store returned, while entries may be missing only because it was away.
    pub fn time_since_store_recovery(&self, now: Instant) -> Option<Duration> {
        let returned = self.store_returned.unwrap_or(now);
        self.may_have_lapsed(now).then(|| now.saturating_duration_since(returned))
    }

    /// Notes that another host saw the store return at `at`. This host may not have asked meanwhile.
    pub fn note_recovery_seen_by_peer(&mut self, at: Instant) {
        self.store_failed.get_or_insert(at);
        self.store_returned = Some(self.store_returned.map_or(at, |known| known.max(at)));
    }

    /// Applies one change unless a later one of the same searcher is known.
    pub fn apply(&mut self, revised: RevisionedChange, now: Instant) -> ChangeEffect {
        let RevisionedChange { change, revision } = revised;
        let id = match &change {
            Change::Written(entry) => &entry.id,
            Change::Removed(id) => id,
        };
        let listed = self.listed.get(id).map(|listed| listed.revision);
        if listed.max(self.removed.get(id).copied()) > Some(revision) {
            return ChangeEffect::Unchanged;
        }
        match change {
            Change::Written(entry) => {
                let id = entry.id.clone();
                self.removed.remove(&id);
                let known = self.listed.get(&id);
                let applied = match known {
                    Some(known) if known.entry != entry => ChangeEffect::Changed,
                    Some(known) if known.lapsed => ChangeEffect::Restored,
                    Some(_) => ChangeEffect::Unchanged,
                    None => ChangeEffect::Changed,
                };
                self.listed.insert(id, Listed { entry, revision, lapsed: false });
                applied
            }
            Change::Removed(id) => self.remove(&id, revision, now),
        }
    }

    /// Replaces the whole list by what the store held at `revision` or later. Returns whether it
    /// changed.
    pub fn replace(
        &mut self,
        entries: Vec<RevisionedChange>,
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        let mut gone: BTreeMap<SearcherId, StoreRevision> =
            self.listed.iter().map(|(id, listed)| (id.clone(), listed.revision)).collect();
        let mut changed = false;
        for revised in entries {
            if let Change::Written(entry) = &revised.change {
                gone.remove(&entry.id);
            }
            changed |= self.apply(revised, now) == ChangeEffect::Changed;
        }
        // What was written after the listing began may be missing from it.
        gone.retain(|_, written| *written <= revision);
        for id in gone.keys() {
            changed |= self.remove(id, revision, now) == ChangeEffect::Changed;
        }
        changed
    }

    /// Drops the searchers whose time to be listed again is over. Returns whether there were any.
    pub fn drop_expired(&mut self, now: Instant) -> bool {
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

    /// Returns every entry with its revision.
    pub fn revisioned_entries(&self) -> Vec<RevisionedChange> {
        let present = self.listed.values().filter(|listed| !listed.lapsed);
        let revised = |listed: &Listed| RevisionedChange {
            change: Change::Written(listed.entry.clone()),
            revision: listed.revision,
        };
        present.map(revised).collect()
    }

    fn remove(&mut self, id: &SearcherId, revision: StoreRevision, now: Instant) -> ChangeEffect {
        let may_return = self.may_have_lapsed(now);
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        self.removed.insert(id.clone(), revision);
        let Some(listed) = self.listed.get_mut(id) else {
            return ChangeEffect::Unchanged;
        };
        if may_return && listed.entry.state == SearcherState::Ready {
            listed.lapsed = true;
            return ChangeEffect::Expired;
        }
        self.listed.remove(id);
        ChangeEffect::Changed
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
