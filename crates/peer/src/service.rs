//! The RPC service that every entry host provides to its peers.

use galenaloft_policy::attempt::AttemptReply;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::revision::Stamp;
use galenaloft_policy::ticket::Handover;
use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::ticket::Ticket;

use crate::messages::Probe;
use crate::messages::PublishedKey;
use crate::messages::PublishedValue;
use crate::messages::Submission;
use crate::messages::SubmissionReply;

/// Calls between entry hosts. A call is cancelled if its caller drops it or disconnects.
#[tarpc::service]
pub trait Peer {
    /// Runs an attempt through the receiver's queue for its searcher.
    async fn execute(req: AttemptRequest) -> AttemptReply;

    /// Runs a submission if the receiver holds the right to run its ticket.
    async fn submit(submission: Submission) -> SubmissionReply;

    /// Stores a copy of an outcome, which is final.
    async fn store_outcome(ticket: Ticket, outcome: StoredOutcome);

    /// Returns the receiver's copy of an outcome, if it has one.
    async fn find_outcome(ticket: Ticket) -> Option<StoredOutcome>;

    /// Returns some of the receiver's copies that `host` is chosen to keep, in the order of their tickets
    /// and beginning after the ticket `after`; none after the last one.
    async fn copies_for(host: HostId, after: String) -> Vec<(Ticket, StoredOutcome)>;

    /// Exchanges facts about hosts. The reply proves that the receiver is alive.
    async fn probe(probe: Probe) -> Probe;

    /// Probes a third host on behalf of the sender; returns whether it replied.
    async fn probe_through(target: HostFact) -> bool;

    /// Returns a published value that is newer than `than`, if the receiver has one.
    async fn published(key: PublishedKey, than: Stamp) -> Option<PublishedValue>;

    /// Takes over the right that a stopping host has released; returns whether the receiver
    /// accepted it.
    async fn adopt(handover: Handover) -> bool;
}
