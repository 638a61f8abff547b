//! Outcome of the submission that a ticket names.

use serde::Deserialize;
use serde::Serialize;

use crate::verdict::Verdict;

/// Outcome of the submission that a ticket names, kept to answer repeats of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// Whether the submission ran.
    pub verdict: Verdict,
    /// Receipt of the backend server; empty unless the submission ran.
    pub receipt: String,
    /// Why there is no receipt; empty if the submission ran.
    pub reason: String,
    /// Hash of the request that used the ticket.
    pub digest: u64,
}
