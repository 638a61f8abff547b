//! Statements about a host that hosts exchange by gossip.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Capacity;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ZoneId;

/// Capacity of a host that has a whole core of standard speed.
pub const FULL_CORE_CAPACITY: Capacity = 1_000;

/// State of a host. Of two facts with the same generation, the one with the greater state wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HostState {
    /// The host answers probes.
    Alive,
    /// The host did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The host did not refute the suspicion in time.
    Dead,
    /// The host has announced that it is stopping.
    Leaving,
}

impl HostState {
    /// Returns whether the host takes part in the fleet: it is alive, or suspected and not yet dead.
    pub fn is_active(self) -> bool {
        match self {
            Self::Alive | Self::Suspect => true,
            Self::Dead | Self::Leaving => false,
        }
    }
}

/// Statement about one host, exchanged by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostFact {
    /// Host that the fact is about.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address on which it accepts calls from other hosts.
    pub address: SocketAddr,
    /// Its processor capacity.
    pub capacity: Capacity,
    /// Run of the host process that the fact is about.
    pub incarnation: Incarnation,
    /// Generation of the fact. It increases when the host starts, refutes a suspicion or changes
    /// its own fact.
    pub generation: u64,
    /// Stated state of the host.
    pub state: HostState,
    /// Other incarnations whose right to run the submissions of their tickets this host has taken
    /// over.
    pub adopted: Vec<Incarnation>,
}

impl HostFact {
    /// Returns whether this fact supersedes `other`, which is about the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.generation, self.state) > (other.generation, other.state)
    }
}
