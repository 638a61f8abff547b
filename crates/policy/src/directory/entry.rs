//! Registration entry of a searcher.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::SearcherId;
use crate::ids::SearcherStartTime;
use crate::ids::ServiceId;
use crate::ids::ZoneId;

/// Whether a searcher accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SearcherState {
    /// The searcher accepts requests.
    Ready,
    /// The searcher is shutting down and accepts no new requests.
    Draining,
}

/// One run of a searcher process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SearcherRun {
    /// Id of the searcher.
    pub searcher: SearcherId,
    /// Time at which it started.
    pub start_time: SearcherStartTime,
}

/// Registration entry of one searcher, without the fields that change with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SearcherEntry {
    /// Id of the searcher.
    pub id: SearcherId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: ZoneId,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: SearcherState,
    /// Remaining time for which it is slow after its start.
    pub warmup_left: Duration,
    /// Time at which it started. It distinguishes two runs that use the same id.
    #[serde(rename = "born")]
    pub start_time: SearcherStartTime,
}

impl SearcherEntry {
    /// Returns the run that the entry describes.
    pub fn run(&self) -> SearcherRun {
        SearcherRun { searcher: self.id.clone(), start_time: self.start_time }
    }

    /// Returns whether both entries describe the same run of the same searcher process.
    pub fn is_same_run(&self, other: &Self) -> bool {
        self.id == other.id
            && self.start_time == other.start_time
            && self.address == other.address
            && self.service == other.service
    }

    /// Returns whether a later entry counts as draining because of this one, whatever it states
    /// itself: a run that has begun to drain never accepts requests again.
    pub fn makes_draining(&self, later: &Self) -> bool {
        self.state == SearcherState::Draining && self.is_same_run(later)
    }
}
