//! Evacuated zones by store revision, and the merge of what several hosts know of them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::StoreRevision;
use crate::ids::ZoneId;

/// Most zones whose state is kept after their evacuation has ended, and most that are sent to other
/// hosts: far more than a deployment has. It bounds the memory and the size of datagrams if the
/// operator writes keys of many names.
const MAX_ZONES: usize = 64;

/// The begin or end of a zone's evacuation at a store revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneId,
    /// Whether the zone is evacuated from this revision on.
    pub evacuated: bool,
    /// Store revision of the change. For the end of an evacuation this can be the later revision of
    /// a list that no longer has the zone.
    pub revision: StoreRevision,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct ZoneState {
    revision: StoreRevision,
    /// Compared after the revision, so that an evacuation wins where revisions are equal.
    evacuated: bool,
}

/// The newest known state of each zone.
///
/// It decides which zones' searchers may get any requests, whatever the load. Hosts that have merged
/// the same changes, in any order, have the same zones evacuated.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Evacuations {
    zones: BTreeMap<ZoneId, ZoneState>,
    /// Revision of the latest complete list of evacuated zones. A zone without a state was not
    /// evacuated then, so that a host with an older state cannot evacuate it again.
    listed_at: StoreRevision,
}

impl Evacuations {
    /// Applies a change unless a newer one is known. Returns whether it began or ended the
    /// evacuation.
    pub fn apply(&mut self, change: &ZoneChange) -> bool {
        let known = self.zones.get(&change.zone).copied();
        let known = known.unwrap_or(ZoneState { revision: self.listed_at, evacuated: false });
        let state = ZoneState { revision: change.revision, evacuated: change.evacuated };
        if state <= known {
            return false;
        }
        self.zones.insert(change.zone.clone(), state);
        self.drop_oldest_ended();
        state.evacuated != known.evacuated
    }

    /// Applies a complete list of the evacuated zones, which was read at `revision` or later: the
    /// evacuations of other zones have ended, except for those that began later. Returns what
    /// began or ended.
    pub fn replace(&mut self, listed: &[ZoneChange], revision: StoreRevision) -> Vec<ZoneChange> {
        let is_listed = |zone: &ZoneId| listed.iter().any(|change| change.zone == *zone);
        let in_force = self.zones.iter().filter(|(_, state)| state.evacuated);
        let ended: Vec<ZoneChange> = in_force
            .filter(|(zone, state)| state.revision < revision && !is_listed(zone))
            .map(|(zone, _)| ZoneChange { zone: zone.clone(), evacuated: false, revision })
            .collect();
        let changed = ended.iter().chain(listed).filter(|change| self.apply(change)).cloned();
        let changed = changed.collect();
        self.listed_at = self.listed_at.max(revision);
        changed
    }

    /// Adds everything that another host knows. Returns what began or ended.
    pub fn merge(&mut self, other: &Self) -> Vec<ZoneChange> {
        let mut changed = other.all_changes();
        let listed: Vec<ZoneChange> =
            changed.iter().filter(|change| change.evacuated).cloned().collect();
        changed.retain(|change| self.apply(change));
        changed.extend(self.replace(&listed, other.listed_at));
        changed
    }

    /// Returns the evacuated zones.
    pub fn in_force(&self) -> BTreeSet<ZoneId> {
        let evacuated = self.zones.iter().filter(|(_, state)| state.evacuated);
        evacuated.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns the newest change of each zone, for other hosts: the evacuated zones first, then the
    /// newest ends of evacuations.
    pub fn changes(&self) -> Vec<ZoneChange> {
        let mut changes = self.all_changes();
        changes.sort_by_key(|change| (!change.evacuated, Reverse(change.revision)));
        changes.truncate(MAX_ZONES);
        changes
    }

    fn all_changes(&self) -> Vec<ZoneChange> {
        let change = |(zone, state): (&ZoneId, &ZoneState)| ZoneChange {
            zone: zone.clone(),
            evacuated: state.evacuated,
            revision: state.revision,
        };
        self.zones.iter().map(change).collect()
    }

    /// Drops the state of the zone whose evacuation ended first if there are too many.
    fn drop_oldest_ended(&mut self) {
        if self.zones.len() <= MAX_ZONES {
            return;
        }
        let ended = self.zones.iter().filter(|(_, state)| !state.evacuated);
        let oldest = ended.min_by_key(|(_, state)| state.revision);
        if let Some(zone) = oldest.map(|(zone, _)| zone.clone()) {
            self.zones.remove(&zone);
        }
    }
}
