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

/// The published values that a host has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamps {
    /// The operators' sheet.
    pub sheet: Stamp,
    /// The catalogue's layout.
    pub layout: Stamp,
}

/// A value that the platform publishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublishedKey {
    /// The operators' sheet.
    Sheet,
    /// The catalogue's layout.
    Layout,
}

/// The text of a published value with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The platform's version.
    pub revision: Revision,
    /// The text as published.
    pub text: Arc<str>,
}

/// A probe or the reply to one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// What the sender has in force.
    pub stamps: Stamps,
    /// Facts about hosts, the sender's own first.
    pub facts: Vec<HostFact>,
    /// Whether the sender is new and wants every fact.
    pub wants_all: bool,
}

/// A filing or reservation on its way to the holder of its ticket.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Kind of work.
    pub kind: KindName,
    /// The right to run it.
    pub ticket: Ticket,
    /// Key that it concerns.
    pub key: String,
    /// Content.
    pub body: String,
    /// Time until the caller stops waiting.
    pub time_left: Duration,
}

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionReply {
    /// Its ticket's run ended, now or earlier.
    Ended {
        /// The outcome.
        outcome: StoredOutcome,
        /// Whether an earlier request ran it.
        replayed: bool,
    },
    /// It is still running when the caller stops waiting.
    StillRunning,
    /// The ticket belongs to another request.
    OtherRequest,
    /// The ticket is past its life.
    Expired,
    /// No such ticket was issued.
    Forged,
    /// The host does not hold the ticket's right.
    NotHolder,
    /// Too many tickets are remembered.
    Full,
}
