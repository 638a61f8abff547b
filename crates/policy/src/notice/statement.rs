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

/// Statements of a searcher about itself in one answer, whatever the answer is to.
#[derive(Debug, Default)]
pub struct Notice {
    /// Whether it is leaving and should get no new requests.
    pub leaving: bool,
    /// Time for which it wants no requests from this host.
    pub pause: Option<Duration>,
    /// Limit on the requests from all hosts together.
    pub limit: StatedLimit,
}
