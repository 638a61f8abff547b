//! List of the registered searchers, kept up to date with changes read from the store.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::directory::SearcherEntry;
use crate::directory::SearcherState;
use crate::ids::SearcherId;
use crate::ids::StoreRevision;

/// How long a searcher whose entry expired during a store outage is still used after the store has
/// recovered. The platform states that running searchers are listed again within about two seconds.
const RELISTING_TIME: Duration = Duration::from_millis(2_300);

/// Maximum number of removed searchers whose removal revision is kept, so that a change with an
/// older revision does not add them again. The table is cleared when it is full.
const MAX_REMOVED: usize = 1_024;

/// One change to the list of searchers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A searcher wrote its entry.
    Written(SearcherEntry),
    /// An entry was deleted, has expired, or can no longer be parsed as a searcher's entry.
    Removed(SearcherId),
}

impl Change {
    /// Returns the searcher whose entry changed.
    pub fn searcher(&self) -> &SearcherId {
        match self {
            Self::Written(entry) => &entry.id,
            Self::Removed(id) => id,
        }
    }
}

/// Effect of a change on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeEffect {
    /// No effect: the change is a heartbeat or is older than the known one.
    Unchanged,
    /// A searcher was added or removed, or its entry changed.
    Changed,
    /// An entry is missing that may only have expired because the store was unreachable. The
    /// searcher stays in use for now, but other hosts need the change.
    Expired,
    /// An expired entry is listed again, which other hosts need to know too.
    Restored,
}

/// A change and the store revision at which it was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionedChange {
    /// The change.
    pub change: Change,
    /// Store revision of the change.
    pub revision: StoreRevision,
}

#[derive(Debug, Clone)]
struct Listed {
    entry: SearcherEntry,
    revision: StoreRevision,
    /// Whether the entry is missing from the store, possibly only because the store was unreachable
    /// when it was due for renewal.
    expired: bool,
}

/// The searchers that are listed, and those whose entries expired during a store outage and may be
/// listed again.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    listed: BTreeMap<SearcherId, Listed>,
    /// Store revisions at which entries were removed.
    removed: BTreeMap<SearcherId, StoreRevision>,
    /// When the store last failed to answer.
    store_failed_at: Option<Instant>,
    /// When the store first answered after that failure.
    store_recovered_at: Option<Instant>,
}

impl Directory {
    /// Records that the store did not answer.
    pub fn record_store_failure(&mut self, now: Instant) {
        self.store_failed_at = Some(now);
        self.store_recovered_at = None;
    }

    /// Records that the store answered.
    pub fn record_store_answer(&mut self, now: Instant) {
        if self.store_failed_at.is_some() && self.store_recovered_at.is_none() {
            self.store_recovered_at = Some(now);
        }
    }

    /// Returns the time since the store recovered, or `None` while no entry can be missing because
    /// of an outage. The time is zero while the store is unreachable.
    pub fn time_since_store_recovery(&self, now: Instant) -> Option<Duration> {
        let recovered_at = self.store_recovered_at.unwrap_or(now);
        self.may_have_expired(now).then(|| now.saturating_duration_since(recovered_at))
    }

    /// Records an outage of the store that ended at `at` and that this host may not have noticed, since
    /// it did not query the store meanwhile.
    pub fn record_unnoticed_outage(&mut self, at: Instant) {
        self.store_failed_at.get_or_insert(at);
        self.store_recovered_at = Some(self.store_recovered_at.map_or(at, |known| known.max(at)));
    }

    /// Applies one change unless a later change to the same searcher is known.
    pub fn apply(&mut self, revisioned: RevisionedChange, now: Instant) -> ChangeEffect {
        let RevisionedChange { change, revision } = revisioned;
        let id = change.searcher();
        let listed_revision = self.listed.get(id).map(|listed| listed.revision);
        if listed_revision.max(self.removed.get(id).copied()) > Some(revision) {
            return ChangeEffect::Unchanged;
        }
        match change {
            Change::Written(mut entry) => {
                let id = entry.id.clone();
                self.removed.remove(&id);
                let known = self.listed.get(&id);
                if known.is_some_and(|known| known.entry.makes_draining(&entry)) {
                    entry.state = SearcherState::Draining;
                }
                let effect = match known {
                    Some(known) if known.entry != entry => ChangeEffect::Changed,
                    Some(known) if known.expired => ChangeEffect::Restored,
                    Some(_) => ChangeEffect::Unchanged,
                    None => ChangeEffect::Changed,
                };
                self.listed.insert(id, Listed { entry, revision, expired: false });
                effect
            }
            Change::Removed(id) => self.remove(&id, revision, now),
        }
    }

    /// Replaces the whole list with the entries read from the store at `revision` or later. If most
    /// entries are missing from it, they may have expired in an outage of the store that this host
    /// did not notice. Returns whether the list changed.
    pub fn replace(
        &mut self,
        entries: Vec<RevisionedChange>,
        revision: StoreRevision,
        now: Instant,
    ) -> bool {
        let mut missing: BTreeMap<SearcherId, StoreRevision> =
            self.listed.iter().map(|(id, listed)| (id.clone(), listed.revision)).collect();
        let known = missing.len();
        let mut changed = false;
        for entry_change in entries {
            if let Change::Written(entry) = &entry_change.change {
                missing.remove(&entry.id);
            }
            changed |= self.apply(entry_change, now) == ChangeEffect::Changed;
        }
        // An entry that was written after the read began may be missing from it.
        missing.retain(|_, written| *written <= revision);
        if missing.len() * 2 > known {
            // Most entries went at once, as happens when they expire and not when searchers leave.
            self.record_unnoticed_outage(now);
        }
        for id in missing.keys() {
            changed |= self.remove(id, revision, now) == ChangeEffect::Changed;
        }
        changed
    }

    /// Drops the expired searchers that were not listed again in time after a store outage. Returns
    /// whether there were any.
    pub fn drop_expired(&mut self, now: Instant) -> bool {
        if self.may_have_expired(now) {
            return false;
        }
        let previous_len = self.listed.len();
        self.listed.retain(|_, listed| !listed.expired);
        previous_len != self.listed.len()
    }

    /// Returns all entries, including those of draining searchers and the expired ones that are
    /// still used.
    pub fn entries(&self) -> impl Iterator<Item = &SearcherEntry> {
        self.listed.values().map(|listed| &listed.entry)
    }

    /// Returns the entries that have not expired, each as a change with its revision.
    pub fn revisioned_entries(&self) -> Vec<RevisionedChange> {
        let current = self.listed.values().filter(|listed| !listed.expired);
        let as_change = |listed: &Listed| RevisionedChange {
            change: Change::Written(listed.entry.clone()),
            revision: listed.revision,
        };
        current.map(as_change).collect()
    }

    fn remove(&mut self, id: &SearcherId, revision: StoreRevision, now: Instant) -> ChangeEffect {
        let may_be_relisted = self.may_have_expired(now);
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        self.removed.insert(id.clone(), revision);
        let Some(listed) = self.listed.get_mut(id) else {
            return ChangeEffect::Unchanged;
        };
        if may_be_relisted && listed.entry.state == SearcherState::Ready {
            listed.expired = true;
            return ChangeEffect::Expired;
        }
        self.listed.remove(id);
        ChangeEffect::Changed
    }

    /// Returns whether an entry may be missing only because the store was unreachable.
    fn may_have_expired(&self, now: Instant) -> bool {
        match (self.store_failed_at, self.store_recovered_at) {
            (Some(_), Some(recovered_at)) => now < recovered_at + RELISTING_TIME,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}
