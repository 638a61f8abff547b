//! Which hosts of a large fleet exchange gossip.
//!
//! In a large fleet a host gossips with the hosts of its own availability zone. Only the
//! representatives of a zone, which are its aggregators, exchange facts with those of the other
//! zones, and only facts about representatives cross a zone boundary. The bytes that a host sends
//! to other zones therefore do not grow with the fleet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::gathering::select_aggregators;
use crate::ids::Capacity;
use crate::ids::HostId;
use crate::ids::ZoneId;
use crate::membership::HostFact;
use crate::membership::HostState;
use crate::membership::MemberTable;

/// Most hosts of a fleet in which every host gossips with every other one.
pub const MAX_HOSTS_WITHOUT_ZONES: usize = 16;

/// Number of probe rounds after its start in which a host asks for all facts that the others know.
pub const ALL_FACTS_ROUNDS: u32 = 15;

/// How long the departure of a representative is reported to other zones. Each of its zone's
/// representatives sends messages to all zones in that time.
const DEPARTURE_REPORT_TIME: Duration = Duration::from_secs(10);

/// Most departures in one message to another zone.
const MAX_DEPARTURES: usize = 8;

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
    /// host to gossip with all others. `fleet_hosts` is the number of hosts of all zones.
    pub fn new(table: &MemberTable, fleet_hosts: usize) -> Option<Self> {
        if fleet_hosts <= MAX_HOSTS_WITHOUT_ZONES {
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

    /// Returns whether the host knows others in its own zone and in other zones, so that it needs no
    /// seeds. Seeds that are no representatives are not kept.
    pub fn is_connected(&self, table: &MemberTable) -> bool {
        let own = table.own();
        let mut others = table.active().filter(|fact| fact.host != own.host);
        let in_own_zone = others.clone().any(|fact| fact.zone == self.own_zone);
        in_own_zone && others.any(|fact| fact.zone != self.own_zone)
    }

    /// Returns whether a host needs to know of another one, to which `fact` applies: of all hosts of
    /// its own zone, and of the representatives of the others.
    pub fn is_kept(&self, fact: &HostFact) -> bool {
        fact.zone == self.own_zone || self.is_representative(&fact.host) || !fact.state.is_active()
    }

    /// Returns the facts for a message to a host of another zone, starting with the host's own:
    /// the representatives of this zone, those that departed lately, and those of the receiver's
    /// zone that seem to have failed, so that they can refute it.
    pub fn facts_for_other_zone(
        &self,
        table: &MemberTable,
        zone: &ZoneId,
        now: Instant,
    ) -> Vec<HostFact> {
        let own = table.own();
        let representatives = table.active().filter(|fact| {
            fact.zone == self.own_zone
                && fact.host != own.host
                && self.is_representative(&fact.host)
        });
        let recent = table.facts_learned_within(DEPARTURE_REPORT_TIME, now);
        let departed = recent.filter(|fact| match fact.state {
            HostState::Alive => false,
            HostState::Suspect => fact.zone == *zone,
            HostState::Dead | HostState::Leaving => {
                fact.zone == *zone
                    || (fact.zone == self.own_zone && fact.capacity >= self.min_capacity)
            }
        });
        let others = representatives.chain(departed.take(MAX_DEPARTURES)).cloned();
        std::iter::once(own.clone()).chain(others).collect()
    }

    /// Returns whether this host, `own`, probes the host of `fact` in another zone in turn, and
    /// suspects it if it does not answer. Representatives that seem dead are probed too, so that the
    /// end of a partition is noticed.
    pub fn is_probed_across_zones(&self, own: &HostFact, fact: &HostFact) -> bool {
        fact.zone != self.own_zone
            && self.is_representative(&own.host)
            && (self.is_representative(&fact.host) || !fact.state.is_active())
    }
}

#[cfg(test)]
mod tests;
