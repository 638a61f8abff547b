//! The service that every entry host offers to its peers.

use galenaloft_policy::attempt::AttemptReply;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::revision::Stamp;
use galenaloft_policy::ticket::Handover;
use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::ticket::Ticket;

use crate::messages::Probe;
use crate::messages::Published;
use crate::messages::PublishedKey;
use crate::messages::Submission;
use crate::messages::SubmissionReply;

/// Calls between entry hosts. A caller that goes away cancels its call.
#[tarpc::service]
pub trait Peer {
    /// Runs an attempt through the queue of its searcher.
    async fn execute(req: AttemptRequest) -> AttemptReply;

    /// Runs a submission whose ticket the receiver holds.
    async fn submit(submission: Submission) -> SubmissionReply;

    /// Keeps a copy of an outcome, which never changes any more.
    async fn store_outcome(ticket: Ticket, outcome: StoredOutcome);

    /// Returns the copy of an outcome, if the receiver has one.
    async fn find_outcome(ticket: Ticket) -> Option<StoredOutcome>;

    /// Exchanges facts; the reply proves that the receiver is alive.
    async fn probe(probe: Probe) -> Probe;

    /// Probes a third host on behalf of the sender.
    async fn probe_through(target: HostFact) -> bool;

    /// Returns a published value that is newer than `than`, if the receiver has one.
    async fn published(key: PublishedKey, than: Stamp) -> Option<Published>;

    /// Takes over the right that a stopping host has given up.
    async fn adopt(handover: Handover) -> bool;
}
