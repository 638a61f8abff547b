//! Which hosts of a large fleet exchange gossip.
//!
//! In a large fleet a host gossips with the hosts of its own availability zone. Only the
//! representatives of a zone, which are its aggregators, exchange facts with those of the other
//! zones, and only facts about representatives cross a zone boundary. The bytes that a host sends
//! to other zones therefore do not grow with the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::gathering::select_aggregators;
use crate::ids::Capacity;
use crate::ids::HostId;
use crate::ids::ZoneId;
use crate::membership::HostFact;
use crate::membership::HostState;
use crate::membership::MemberTable;

/// Most hosts of a fleet in which every host gossips with every other one.
pub const MAX_HOSTS_WITHOUT_ZONES: usize = 16;

/// The representatives of each zone, as seen from one host of a large fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneGossip {
    own_zone: ZoneId,
    representatives: BTreeSet<HostId>,
    /// Lowest capacity of a representative of the own zone.
    min_capacity: Capacity,
}

impl ZoneGossip {
    /// Returns how gossip is divided by zones, or `None` in a fleet that is small enough for every
    /// host to gossip with all others.
    pub fn new(table: &MemberTable) -> Option<Self> {
        if table.active().count() <= MAX_HOSTS_WITHOUT_ZONES {
            return None;
        }
        let mut zones: BTreeMap<&ZoneId, Vec<(HostId, Capacity)>> = BTreeMap::new();
        for fact in table.active() {
            zones.entry(&fact.zone).or_default().push((fact.host.clone(), fact.capacity));
        }
        let representatives: BTreeSet<HostId> =
            zones.into_values().flat_map(select_aggregators).collect();
        let own_zone = table.own().zone.clone();
        let speaks_for_own_zone =
            |fact: &&HostFact| fact.zone == own_zone && representatives.contains(&fact.host);
        let min_capacity = table.active().filter(speaks_for_own_zone).map(|f| f.capacity).min();
        Some(Self { min_capacity: min_capacity.unwrap_or_default(), own_zone, representatives })
    }

    /// Returns whether a host speaks for its zone.
    pub fn is_representative(&self, host: &HostId) -> bool {
        self.representatives.contains(host)
    }

    /// Returns whether a fact is sent to the hosts of a zone. A zone learns of all its own hosts and
    /// of the representatives of the others, also of those that have departed. Another zone learns
    /// which of its hosts seem to have failed, so that they can refute it.
    pub fn is_sent_to(&self, zone: &ZoneId, fact: &HostFact) -> bool {
        if *zone == fact.zone {
            return *zone == self.own_zone || fact.state != HostState::Alive;
        }
        let was_representative = fact.zone == self.own_zone
            && fact.state != HostState::Alive
            && fact.capacity >= self.min_capacity;
        self.is_representative(&fact.host) || was_representative
    }

    /// Returns whether this host, `own`, probes another one in turn and suspects it if it does not
    /// answer. The end of a partition is noticed by probes of representatives that seem dead.
    pub fn is_probed(&self, own: &HostId, fact: &HostFact) -> bool {
        let departed = matches!(fact.state, HostState::Dead | HostState::Leaving);
        fact.zone == self.own_zone
            || (self.is_representative(own) && (self.is_representative(&fact.host) || departed))
    }
}
