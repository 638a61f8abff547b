//! What hosts tell each other of a host.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Capacity;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::ZoneId;

/// Capacity of a host that has one core of usual speed to itself.
pub const FULL_CORE_CAPACITY: Capacity = 1_000;

/// State of a host; of two facts of one generation the greater state wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum HostState {
    /// It answers probes.
    Alive,
    /// It did not answer and may yet refute this.
    Suspect,
    /// It did not answer and did not refute its suspicion in time.
    Dead,
    /// It said that it is stopping.
    Leaving,
}

/// A statement about one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostFact {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it answers other hosts.
    pub address: SocketAddr,
    /// What it has of a processor.
    pub capacity: Capacity,
    /// The run of the process that the fact is about.
    pub incarnation: Incarnation,
    /// Grows each time the host refutes a suspicion and at each start.
    pub generation: u64,
    /// What is stated.
    pub state: HostState,
    /// Holders of rights handed over by this host's earlier incarnations.
    pub adopted: Vec<Incarnation>,
}

impl HostFact {
    /// Returns whether this fact replaces `other`, a fact about the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.generation, self.state) > (other.generation, other.state)
    }
}
