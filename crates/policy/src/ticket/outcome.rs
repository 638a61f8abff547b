//! What a ticket's run came to.

use serde::Deserialize;
use serde::Serialize;

use crate::verdict::Verdict;

/// The outcome of a ticket's run, kept for repeats of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// Whether it ran.
    pub verdict: Verdict,
    /// The backend server's receipt; empty unless it ran.
    pub receipt: String,
    /// Why there is no receipt; empty when it ran.
    pub reason: String,
    /// Hash of the request that the ticket ran.
    pub digest: u64,
}
