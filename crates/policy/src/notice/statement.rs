//! What a searcher states about itself in one answer.

use std::time::Duration;

/// Statements of a searcher about itself in one answer, whatever the answer is to.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Notice {
    /// Whether it is leaving and should get no new requests.
    pub leaving: bool,
    /// Time for which it wants no requests from this host.
    pub pause: Option<Duration>,
}
