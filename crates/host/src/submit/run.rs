//! Running a submission here, or forwarding it to the holder of its ticket.

use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_peer::Submission;
use galenaloft_peer::SubmissionReply;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::attempt::Operation;
use galenaloft_policy::catalogue::key_hash;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::routing::ranking;
use galenaloft_policy::ticket::Begin;
use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::ticket::Ticket;
use galenaloft_policy::verdict::Verdict;
use galenaloft_telemetry::log::Event;

use crate::clock::now;
use crate::clock::sleep_until;
use crate::edges::Edges;
use crate::gather::Query;
use crate::node::Node;
use crate::sync::lock;

/// How much longer than the caller's deadline a forwarded submission's reply is awaited.
const FORWARD_GRACE: Duration = Duration::from_millis(50);

/// Longest wait for a peer that keeps or looks up the copy of an outcome.
const COPY_TIMEOUT: Duration = Duration::from_millis(300);

/// Peers that keep a copy of each outcome.
const COPIES: usize = 2;

/// What a submission came to, for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitOutcome {
    /// Whether the ticket's request ran.
    pub verdict: Verdict,
    /// HTTP status that tells of the outcome.
    pub status: u16,
    /// The receipt; empty unless it ran.
    pub receipt: String,
    /// Whether an earlier request of the ticket ran it.
    pub replayed: bool,
    /// Why there is no receipt; empty when it ran.
    pub error: String,
}

impl SubmitOutcome {
    fn failed(verdict: Verdict, status: u16, error: &str) -> Self {
        let (receipt, error) = (String::new(), error.to_owned());
        Self {
            verdict,
            status,
            receipt,
            replayed: false,
            error,
        }
    }

    fn ended(outcome: StoredOutcome, replayed: bool) -> Self {
        let status = match outcome.verdict {
            Verdict::Ran => 200,
            Verdict::NotRun => 503,
            Verdict::MayHaveRun => 504,
        };
        let StoredOutcome {
            verdict,
            receipt,
            reason: error,
            ..
        } = outcome;
        Self {
            verdict,
            status,
            receipt,
            replayed,
            error,
        }
    }

    fn of_reply(reply: SubmissionReply) -> Self {
        match reply {
            SubmissionReply::Ended { outcome, replayed } => Self::ended(outcome, replayed),
            SubmissionReply::StillRunning => Self::failed(
                Verdict::MayHaveRun,
                504,
                "it is still running; repeat the ticket",
            ),
            SubmissionReply::OtherRequest => Self::failed(
                Verdict::NotRun,
                409,
                "the ticket was used for another request",
            ),
            SubmissionReply::Expired => {
                Self::failed(Verdict::MayHaveRun, 410, "the ticket is past its life")
            }
            SubmissionReply::Forged => {
                Self::failed(Verdict::NotRun, 400, "no such ticket was issued")
            }
            SubmissionReply::NotHolder => Self::failed(
                Verdict::MayHaveRun,
                504,
                "the host that holds the ticket is lost; it will not run again",
            ),
            SubmissionReply::Full => {
                Self::failed(Verdict::MayHaveRun, 503, "too many tickets are remembered")
            }
        }
    }
}

impl<E: Edges> Node<E> {
    /// Runs a caller's submission, here or at the holder of its ticket.
    pub async fn submit(self: &Arc<Self>, submission: Submission) -> SubmitOutcome {
        let present = now();
        let deadline = present + submission.time_left;
        let ticket = submission.ticket.clone();
        let digest = digest_of(&submission);
        if lock(&self.tickets).holds(ticket.incarnation) {
            return SubmitOutcome::of_reply(self.submit_here(submission, deadline).await);
        }
        let holder = lock(&self.members).holder(ticket.incarnation).cloned();
        let reply = match holder {
            Some(holder) => self.forward(&holder, submission).await,
            None => SubmissionReply::NotHolder,
        };
        match reply {
            SubmissionReply::NotHolder | SubmissionReply::StillRunning => {
                match self.find_copy(&ticket).await {
                    Some(outcome) if outcome.digest == digest => {
                        SubmitOutcome::ended(outcome, true)
                    }
                    Some(_) => SubmitOutcome::of_reply(SubmissionReply::OtherRequest),
                    None => SubmitOutcome::of_reply(reply),
                }
            }
            reply => SubmitOutcome::of_reply(reply),
        }
    }

    async fn forward(&self, holder: &HostFact, submission: Submission) -> SubmissionReply {
        let limit = submission.time_left + FORWARD_GRACE;
        let call = self
            .links
            .call(holder.address, limit, |peer, cx| async move {
                peer.submit(cx, submission).await
            });
        match call.await {
            Ok(reply) => reply,
            // Whether or not this call arrived, an earlier one with the same ticket may have.
            Err(_) => SubmissionReply::NotHolder,
        }
    }

    /// Runs a submission whose ticket this host holds.
    pub async fn submit_here(
        self: &Arc<Self>,
        submission: Submission,
        deadline: Instant,
    ) -> SubmissionReply {
        let digest = digest_of(&submission);
        let ticket = submission.ticket.clone();
        let mut replayed = true;
        loop {
            let ended = self.ticket_ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            let begin = lock(&self.tickets).begin(&ticket, digest, now());
            match begin {
                Begin::Run => {
                    replayed = false;
                    let node = self.clone();
                    let submission = submission.clone();
                    // The run goes on when its caller goes away: its outcome must be known.
                    tokio::spawn(
                        async move { node.run_ticket(submission, digest, deadline).await },
                    );
                }
                Begin::Join => {}
                Begin::Stored(outcome) => return SubmissionReply::Ended { outcome, replayed },
                Begin::OtherRequest => return SubmissionReply::OtherRequest,
                Begin::Expired => return SubmissionReply::Expired,
                Begin::Forged => return SubmissionReply::Forged,
                Begin::NotHolder => return SubmissionReply::NotHolder,
                Begin::Full => return SubmissionReply::Full,
            }
            tokio::select! {
                biased;
                () = ended => {}
                () = sleep_until(deadline) => return SubmissionReply::StillRunning,
            }
        }
    }

    async fn run_ticket(self: &Arc<Self>, submission: Submission, digest: u64, deadline: Instant) {
        let started = now();
        let outcome = self.run_submission(&submission, digest, deadline).await;
        let latency = now().saturating_duration_since(started);
        if let Some(sheet) = self.values.sheet()
            && let Some((name, kind)) = sheet.kind(&submission.kind)
        {
            self.metrics.submitted(name, kind.rank, latency);
            let state = self.kinds.get(name, kind, now());
            match outcome.verdict {
                Verdict::Ran => lock(&state).note_answer(latency, true),
                Verdict::NotRun | Verdict::MayHaveRun => lock(&state).note_refusal(),
            }
        }
        Event::new("submission_ended")
            .with("ticket", &submission.ticket)
            .with("verdict", outcome.verdict)
            .with("reason", &outcome.reason)
            .debug();
        lock(&self.tickets).finish(&submission.ticket, outcome.clone());
        self.ticket_ended.notify_waiters();
        self.copy_outcome(&submission.ticket, &outcome).await;
    }

    async fn run_submission(
        &self,
        submission: &Submission,
        digest: u64,
        deadline: Instant,
    ) -> StoredOutcome {
        let ended = |verdict, receipt: String, reason: String| StoredOutcome {
            verdict,
            receipt,
            reason,
            digest,
        };
        let query = Query {
            kind: submission.kind.to_string(),
            operation: Operation::Submit,
            text: submission.key.clone(),
            limit: 1,
            caller_deadline: Some(deadline),
        };
        let mut plan = match self.plan(&query, now()) {
            Ok(plan) => plan,
            Err(e) => return ended(Verdict::NotRun, String::new(), e.to_string()),
        };
        plan.body.clone_from(&submission.body);
        let target = plan
            .layout
            .collections
            .get(&plan.kind.collection)
            .and_then(|collection| {
                let id = self.snapshot_for(&plan, collection)?;
                Some((
                    id,
                    collection.snapshots[&id].shard_of(key_hash(&submission.key))?,
                ))
            });
        let Some((snapshot, shard)) = target else {
            let reason = FailureReason::NoReplica.to_string();
            return ended(Verdict::NotRun, String::new(), reason);
        };
        let outcome = match self.run_shard(&plan, snapshot, shard).await {
            Ok(result) => ended(Verdict::Ran, result.receipt, String::new()),
            Err(failure) => ended(failure.verdict, String::new(), failure.reason.to_string()),
        };
        self.explain.keep(&plan.request_id, plan.trace);
        outcome
    }

    async fn copy_outcome(&self, ticket: &Ticket, outcome: &StoredOutcome) {
        self.copies.keep(ticket, outcome.clone());
        for holder in self.copy_holders(ticket) {
            let (ticket, outcome) = (ticket.clone(), outcome.clone());
            let call = self
                .links
                .call(holder.address, COPY_TIMEOUT, |peer, cx| async move {
                    peer.store_outcome(cx, ticket, outcome).await
                });
            // A copy that is not kept only makes a later verdict less certain.
            let _ = call.await;
        }
    }

    async fn find_copy(&self, ticket: &Ticket) -> Option<StoredOutcome> {
        if let Some(outcome) = self.copies.get(ticket) {
            return Some(outcome);
        }
        for holder in self.copy_holders(ticket) {
            let ticket = ticket.clone();
            let call = self
                .links
                .call(holder.address, COPY_TIMEOUT, |peer, cx| async move {
                    peer.find_outcome(cx, ticket).await
                });
            if let Ok(Some(outcome)) = call.await {
                return Some(outcome);
            }
        }
        None
    }

    /// Returns the peers that keep copies of a ticket's outcome. The issuer is left out: its copy
    /// would be lost with it.
    fn copy_holders(&self, ticket: &Ticket) -> Vec<HostFact> {
        let members = lock(&self.members);
        let hosts = members
            .working()
            .map(|fact| &fact.host)
            .filter(|host| **host != ticket.host);
        let ranked = ranking(&ticket.to_string(), hosts);
        let others = ranked
            .into_iter()
            .take(COPIES)
            .filter(|host| **host != self.settings.host);
        others
            .filter_map(|host| members.get(host).cloned())
            .collect()
    }
}

/// Returns the hash that tells one request from another under the same ticket.
fn digest_of(submission: &Submission) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in [&*submission.kind, &submission.key, &submission.body] {
        hasher.write_usize(part.len());
        hasher.write(part.as_bytes());
    }
    hasher.finish()
}
