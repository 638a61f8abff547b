//! What a searcher says of itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::SearcherId;
use crate::ids::SearcherStartTime;
use crate::ids::ServiceId;
use crate::ids::ZoneId;

/// Whether a searcher takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearcherState {
    /// It serves.
    Ready,
    /// It is leaving and takes no new work.
    Draining,
}

/// One searcher as it registered itself, without what changes at each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherEntry {
    /// Its id.
    pub id: SearcherId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: SearcherState,
    /// How much longer it is slow after its start.
    pub warmup_left: Duration,
    /// When it started, which tells two runs under one id apart.
    pub born: SearcherStartTime,
}

impl SearcherEntry {
    /// Returns whether `other` describes the same run of the same process.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.id == other.id
            && self.born == other.born
            && self.address == other.address
            && self.service == other.service
    }
}
