//! List of the registered searchers, kept up to date with changes read from the store.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::directory::SearcherEntry;
use crate::directory::SearcherState;
use crate::ids::SearcherId;
use crate::ids::StoreEra;
use crate::store_position::StorePosition;

/// How long a searcher whose entry expired during a store outage is still used after the store has
/// recovered. The platform states that running searchers are listed again within about two seconds.
pub(super) const RELISTING_TIME: Duration = Duration::from_millis(2_300);

/// How long a searcher is not used whose entry was removed and came back with the copy that the store
/// was restored from, unless it writes its entry again. By then the store has removed an entry that is not
/// renewed.
pub(super) const RETURNED_ENTRY_HOLD: Duration = Duration::from_secs(6);

/// Maximum number of removed searchers whose removal position is kept, so that a change with an
/// earlier position does not add them again. The table is cleared when it is full.
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
    /// No effect: the change is a heartbeat or is earlier than the known one.
    Unchanged,
    /// A searcher was added or removed, or its entry changed.
    Changed,
    /// An entry is missing that may only have expired because the store was unreachable. The
    /// searcher stays in use for now, but other hosts need the change.
    Expired,
    /// An expired entry is listed again, which other hosts need to know too.
    Restored,
}

/// A change and the store position at which it was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionedChange {
    /// The change.
    pub change: Change,
    /// Store position of the change.
    pub position: StorePosition,
}

/// What is known of an entry's presence in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    /// It is there.
    Present,
    /// It is missing, possibly only because the store was unreachable when it was due for renewal, or
    /// came back from an older copy. The searcher is used for now.
    Expired,
    /// It had been removed and came back with the copy that the store was restored from. The searcher
    /// is not used before this time, unless it writes the entry again.
    Returned(Instant),
}

#[derive(Debug, Clone)]
struct Listed {
    entry: SearcherEntry,
    position: StorePosition,
    presence: Presence,
}

/// The searchers that are listed, and those whose entries expired during a store outage and may be
/// listed again.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    listed: BTreeMap<SearcherId, Listed>,
    /// Store positions at which entries were removed.
    removed: BTreeMap<SearcherId, StorePosition>,
    /// Era of the store at the last complete list. Changes of earlier ones are ignored.
    listed_era: StoreEra,
    /// Latest era that is known.
    known_era: StoreEra,
    /// When that era became known, if an earlier one was known before.
    era_known_since: Option<Instant>,
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
    /// of an outage. The time is zero while the store is unreachable. Each host finds out for itself when
    /// the store came back from a copy.
    pub fn time_since_store_recovery(&self, now: Instant) -> Option<Duration> {
        let recovered_at = self.store_recovered_at.unwrap_or(now);
        let may_have_expired = self.may_have_expired_in_outage(now);
        may_have_expired.then(|| now.saturating_duration_since(recovered_at))
    }

    /// Records an outage of the store that ended at `at` and that this host may not have noticed, since
    /// it did not query the store meanwhile.
    pub fn record_unnoticed_outage(&mut self, at: Instant) {
        self.store_failed_at.get_or_insert(at);
        self.store_recovered_at = Some(self.store_recovered_at.map_or(at, |known| known.max(at)));
    }

    /// Records that the store is in an era. If that is a later one than before, entries that are missing
    /// soon after may only have to be written again.
    pub fn record_era(&mut self, era: StoreEra, now: Instant) {
        if era > self.known_era {
            self.known_era = era;
            self.era_known_since = (!self.listed.is_empty()).then_some(now);
        }
    }

    /// Applies one change unless a later change to the same searcher, or a complete list of a later era,
    /// is known.
    pub fn apply(&mut self, revisioned: RevisionedChange, now: Instant) -> ChangeEffect {
        let RevisionedChange { change, position } = revisioned;
        let id = change.searcher();
        let listed_position = self.listed.get(id).map(|listed| listed.position);
        if listed_position.max(self.removed.get(id).copied()) > Some(position)
            || position.era < self.listed_era
        {
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
                    Some(known) => match known.presence {
                        Presence::Present => ChangeEffect::Unchanged,
                        Presence::Expired => ChangeEffect::Restored,
                        // The same write, listed once more.
                        Presence::Returned(_) if known.position == position => {
                            return ChangeEffect::Unchanged;
                        }
                        Presence::Returned(_) => ChangeEffect::Changed,
                    },
                    None => ChangeEffect::Changed,
                };
                self.listed.insert(id, Listed { entry, position, presence: Presence::Present });
                effect
            }
            Change::Removed(id) => self.remove(&id, position, now),
        }
    }

    /// Replaces the whole list with the entries read from the store at `position` or later, unless a list
    /// of a later era is known. If most entries are missing from it, they may have expired in an outage of
    /// the store that this host did not notice. Returns whether the list changed.
    pub fn replace(
        &mut self,
        entries: Vec<RevisionedChange>,
        position: StorePosition,
        now: Instant,
    ) -> bool {
        if position.era < self.listed_era {
            return false;
        }
        self.record_era(position.era, now);
        let is_first_of_era = position.era > self.listed_era;
        let mut missing: BTreeMap<SearcherId, StorePosition> =
            self.listed.iter().map(|(id, listed)| (id.clone(), listed.position)).collect();
        let known = missing.len();
        let mut changed = false;
        for entry_change in entries {
            if let Change::Written(entry) = &entry_change.change {
                missing.remove(&entry.id);
                if is_first_of_era && self.was_removed_before(&entry.id, position.era) {
                    self.hold_returned(entry.clone(), entry_change.position, now);
                    continue;
                }
            }
            changed |= self.apply(entry_change, now) == ChangeEffect::Changed;
        }
        // An entry that was written after the read began may be missing from it.
        missing.retain(|_, written| *written <= position);
        if missing.len() * 2 > known {
            // Most entries went at once, as happens when they expire and not when searchers leave.
            self.record_unnoticed_outage(now);
        }
        for id in missing.keys() {
            changed |= self.remove(id, position, now) == ChangeEffect::Changed;
        }
        self.listed_era = position.era;
        changed
    }

    /// Drops the expired searchers that were not listed again in time after a store outage, and allows
    /// the use of those whose entry came back with a copy and was not removed in time. Returns whether
    /// there were any.
    pub fn settle(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for listed in self.listed.values_mut() {
            if matches!(listed.presence, Presence::Returned(until) if until <= now) {
                listed.presence = Presence::Present;
                changed = true;
            }
        }
        if !self.may_have_expired(now) {
            let previous_len = self.listed.len();
            self.listed.retain(|_, listed| listed.presence != Presence::Expired);
            changed |= previous_len != self.listed.len();
        }
        changed
    }

    /// Returns the entries of the searchers that are used, including those of draining ones and the
    /// expired ones.
    pub fn entries(&self) -> impl Iterator<Item = &SearcherEntry> {
        let used = |listed: &&Listed| !matches!(listed.presence, Presence::Returned(_));
        self.listed.values().filter(used).map(|listed| &listed.entry)
    }

    /// Returns the entries that have not expired, each as a change with its position. Those that came
    /// back with a copy are included: a host that gets them does not learn that this host uses them
    /// again.
    pub fn revisioned_entries(&self) -> Vec<RevisionedChange> {
        let listed = self.listed.values().filter(|listed| listed.presence != Presence::Expired);
        let as_change = |listed: &Listed| RevisionedChange {
            change: Change::Written(listed.entry.clone()),
            position: listed.position,
        };
        listed.map(as_change).collect()
    }

    /// Returns whether a searcher's entry was removed before an era and is not listed.
    fn was_removed_before(&self, id: &SearcherId, era: StoreEra) -> bool {
        self.removed.get(id).is_some_and(|removed| removed.era < era)
            && !self.listed.contains_key(id)
    }

    /// Lists a searcher that is not used for now.
    fn hold_returned(&mut self, entry: SearcherEntry, position: StorePosition, now: Instant) {
        let id = entry.id.clone();
        self.removed.remove(&id);
        let presence = Presence::Returned(now + RETURNED_ENTRY_HOLD);
        self.listed.insert(id, Listed { entry, position, presence });
    }

    fn remove(&mut self, id: &SearcherId, position: StorePosition, now: Instant) -> ChangeEffect {
        let may_be_relisted = self.may_have_expired(now);
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        self.removed.insert(id.clone(), position);
        let Some(listed) = self.listed.get_mut(id) else {
            return ChangeEffect::Unchanged;
        };
        let is_used = !matches!(listed.presence, Presence::Returned(_));
        if may_be_relisted && is_used && listed.entry.state == SearcherState::Ready {
            listed.presence = Presence::Expired;
            return ChangeEffect::Expired;
        }
        self.listed.remove(id);
        ChangeEffect::Changed
    }

    /// Returns whether an entry may be missing only because the store was unreachable, or came back from
    /// a copy.
    fn may_have_expired(&self, now: Instant) -> bool {
        self.may_have_expired_in_outage(now)
            || self.era_known_since.is_some_and(|since| now < since + RELISTING_TIME)
    }

    fn may_have_expired_in_outage(&self, now: Instant) -> bool {
        match (self.store_failed_at, self.store_recovered_at) {
            (Some(_), Some(recovered_at)) => now < recovered_at + RELISTING_TIME,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}
