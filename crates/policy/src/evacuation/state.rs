//! Evacuated zones by store position, and the merge of what several hosts know of them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ZoneId;
use crate::store_position::StorePosition;

/// Most zones whose state is kept after their evacuation has ended, and most that are sent to other
/// hosts: far more than a deployment has. It bounds the memory and the size of datagrams if the
/// operator writes keys of many names.
const MAX_ZONES: usize = 64;

/// How long a zone stays evacuated whose evacuation the store has lost by coming back from a copy. In
/// this time the operator writes it again.
const REWRITE_TIME: Duration = Duration::from_secs(5);

/// The begin or end of a zone's evacuation at a store position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneChange {
    /// The zone.
    pub zone: ZoneId,
    /// Whether the zone is evacuated from this position on.
    pub evacuated: bool,
    /// Store position of the change. For the end of an evacuation this can be the later position of
    /// a list that no longer has the zone.
    pub position: StorePosition,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct ZoneState {
    position: StorePosition,
    /// Compared after the position, so that an evacuation wins where positions are equal.
    evacuated: bool,
}

/// The newest known state of each zone.
///
/// It decides which zones' searchers may get any requests, whatever the load. Hosts that have merged
/// the same changes, in any order, have the same zones evacuated.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Evacuations {
    zones: BTreeMap<ZoneId, ZoneState>,
    /// Position of the latest complete list of evacuated zones. A zone without a state was not
    /// evacuated then, so that a host with an older state cannot evacuate it again.
    listed_at: StorePosition,
    /// When the evacuations of earlier eras end that the list of the latest era lacks.
    #[serde(skip)]
    lost_until: Option<Instant>,
}

impl Evacuations {
    /// Applies a change unless a newer one is known. Returns whether it began or ended the
    /// evacuation.
    pub fn apply(&mut self, change: &ZoneChange) -> bool {
        let known = self.zones.get(&change.zone).copied();
        let known = known.unwrap_or(ZoneState { position: self.listed_at, evacuated: false });
        let state = ZoneState { position: change.position, evacuated: change.evacuated };
        if state <= known {
            return false;
        }
        self.zones.insert(change.zone.clone(), state);
        self.drop_oldest_ended();
        state.evacuated != known.evacuated
    }

    /// Applies a complete list of the evacuated zones, which was read at `position` or later: the
    /// evacuations of other zones have ended, except for those that began later. Those of an earlier era
    /// may only have to be written again and end after `REWRITE_TIME`. Returns what began or ended.
    pub fn replace(
        &mut self,
        listed: &[ZoneChange],
        position: StorePosition,
        now: Instant,
    ) -> Vec<ZoneChange> {
        if position.era > self.listed_at.era {
            self.lost_until = Some(now + REWRITE_TIME);
        }
        let is_listed = |zone: &ZoneId| listed.iter().any(|change| change.zone == *zone);
        let may_be_lost = |state: &ZoneState| {
            state.position.era < position.era && self.lost_until.is_some_and(|until| now < until)
        };
        let in_force = self.zones.iter().filter(|(_, state)| state.evacuated);
        let ended: Vec<ZoneChange> = in_force
            .filter(|(_, state)| state.position < position && !may_be_lost(state))
            .filter(|(zone, _)| !is_listed(zone))
            .map(|(zone, _)| ZoneChange { zone: zone.clone(), evacuated: false, position })
            .collect();
        let changed = ended.iter().chain(listed).filter(|change| self.apply(change)).cloned();
        let changed = changed.collect();
        self.listed_at = self.listed_at.max(position);
        changed
    }

    /// Ends the evacuations of earlier eras that were not written again in time. Returns what ended.
    pub fn end_lost(&mut self, now: Instant) -> Vec<ZoneChange> {
        if self.lost_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.lost_until = None;
        let position = self.listed_at;
        let in_force = self.zones.iter().filter(|(_, state)| state.evacuated);
        let lost = in_force.filter(|(_, state)| state.position.era < position.era);
        let mut ended: Vec<ZoneChange> = lost
            .map(|(zone, _)| ZoneChange { zone: zone.clone(), evacuated: false, position })
            .collect();
        ended.retain(|change| self.apply(change));
        ended
    }

    /// Adds everything that another host knows. Returns what began or ended.
    pub fn merge(&mut self, other: &Self, now: Instant) -> Vec<ZoneChange> {
        let mut changed = other.all_changes();
        let listed: Vec<ZoneChange> =
            changed.iter().filter(|change| change.evacuated).cloned().collect();
        changed.retain(|change| self.apply(change));
        changed.extend(self.replace(&listed, other.listed_at, now));
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
        changes.sort_by_key(|change| (!change.evacuated, Reverse(change.position)));
        changes.truncate(MAX_ZONES);
        changes
    }

    fn all_changes(&self) -> Vec<ZoneChange> {
        let change = |(zone, state): (&ZoneId, &ZoneState)| ZoneChange {
            zone: zone.clone(),
            evacuated: state.evacuated,
            position: state.position,
        };
        self.zones.iter().map(change).collect()
    }

    /// Drops the state of the zone whose evacuation ended first if there are too many.
    fn drop_oldest_ended(&mut self) {
        if self.zones.len() <= MAX_ZONES {
            return;
        }
        let ended = self.zones.iter().filter(|(_, state)| !state.evacuated);
        let oldest = ended.min_by_key(|(_, state)| state.position);
        if let Some(zone) = oldest.map(|(zone, _)| zone.clone()) {
            self.zones.remove(&zone);
        }
    }
}
