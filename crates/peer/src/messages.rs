//! Messages between entry hosts.

use std::sync::Arc;
use std::time::Duration;

use galenaloft_policy::ids::KindName;
use galenaloft_policy::ids::Revision;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::revision::Stamp;
use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::ticket::Ticket;
use serde::Deserialize;
use serde::Serialize;

/// Stamps of a host's current published values.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamps {
    /// The operators' sheet.
    pub sheet: Stamp,
    /// The catalogue's layout.
    pub layout: Stamp,
}

/// Key of a value that the control plane publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishedKey {
    /// The operators' sheet.
    Sheet,
    /// The catalogue's layout.
    Layout,
}

/// The text of a published value and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedValue {
    /// Revision that the control plane assigned.
    pub revision: Revision,
    /// The text as published.
    pub text: Arc<str>,
}

/// A probe or the reply to one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Stamps of the sender's current values.
    pub stamps: Stamps,
    /// Facts about hosts, the sender's own first.
    pub facts: Vec<HostFact>,
    /// Whether the sender has just started and requests every fact.
    pub wants_all: bool,
}

/// A filing or reservation, forwarded to the holder of its ticket's right.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Kind of the request.
    pub kind: KindName,
    /// Ticket that names this submission.
    pub ticket: Ticket,
    /// Key of the entry that it concerns.
    pub key: String,
    /// Body of the request.
    pub body: String,
    /// Time until the caller stops waiting.
    pub time_left: Duration,
}

/// Result of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionReply {
    /// The submission has ended, in this request or an earlier one.
    Ended {
        /// The outcome.
        outcome: StoredOutcome,
        /// Whether the outcome comes from an earlier request.
        replayed: bool,
    },
    /// The submission is still running when the caller stops waiting.
    StillRunning,
    /// The ticket has been used for a different request.
    OtherRequest,
    /// The ticket has expired.
    Expired,
    /// No such ticket was issued.
    Forged,
    /// The host does not hold the right to run the ticket.
    NotHolder,
    /// The ticket table is full.
    Full,
}
