//! What a searcher states about itself in one answer.

use std::time::Duration;

use crate::ids::RequestRate;

/// What an answer states about the limit of its searcher.
#[derive(Debug, Default)]
pub enum StatedLimit {
    /// Nothing, since the answer is not known to be the searcher's own or its statement is invalid.
    #[default]
    Unknown,
    /// The searcher has no limit.
    Unlimited,
    /// The searcher takes so many requests from all hosts together.
    Limited(RequestRate),
}

/// What an answer states about the requests at its searcher.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StatedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at a time; at least 1.
    pub slots: u32,
    /// How long work takes on the machine at this moment, as a multiple of the usual time.
    pub slowness: f64,
    /// Whether the answer is to a request that ran, which the searcher may still count as running.
    pub after_run: bool,
}

/// Statements of a searcher about itself in one answer, whatever the answer is to.
#[derive(Debug, Default)]
pub struct Notice {
    /// Whether it is leaving and should get no new requests.
    pub leaving: bool,
    /// Time for which it wants no requests from this host.
    pub pause: Option<Duration>,
    /// Limit on the requests from all hosts together.
    pub limit: StatedLimit,
    /// Requests at the searcher, if it states them.
    pub load: Option<StatedLoad>,
}
