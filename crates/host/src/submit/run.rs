//! Runs a submission on this host, or forwards it to the holder of its ticket.

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
use galenaloft_policy::ticket::BeginOutcome;
use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;

use crate::gather::Query;
use crate::gather::ShardTask;
use crate::network::Network;
use crate::node::Node;
use crate::submit::SubmitOutcome;

/// How long after the deadline of a forwarded submission its reply is still awaited.
const FORWARD_GRACE: Duration = Duration::from_millis(50);

impl<N: Network> Node<N> {
    /// Runs a caller's submission on the host that holds its ticket, this one or another.
    ///
    /// Looks for a copy of the outcome if the holder is unknown, unreachable, no longer the holder
    /// or still running the submission.
    pub async fn submit(self: &Arc<Self>, submission: Submission) -> SubmitOutcome {
        let arrived = now();
        let deadline = arrived + submission.time_left;
        let ticket = submission.ticket.clone();
        let digest = digest_of(&submission);
        if lock(&self.tickets).holds(ticket.incarnation) {
            return SubmitOutcome::from_reply(self.submit_here(submission, deadline).await);
        }
        let holder = lock(&self.members).rights_holder(ticket.incarnation).cloned();
        let reply = match holder {
            Some(holder) => self.forward(&holder, submission).await,
            None => SubmissionReply::NotHolder,
        };
        match reply {
            SubmissionReply::NotHolder | SubmissionReply::StillRunning => {
                match self.find_copy(&ticket).await {
                    Some(outcome) if outcome.digest == digest => {
                        SubmitOutcome::from_stored(outcome, true)
                    }
                    Some(_) => SubmitOutcome::from_reply(SubmissionReply::OtherRequest),
                    None => SubmitOutcome::from_reply(reply),
                }
            }
            reply => SubmitOutcome::from_reply(reply),
        }
    }

    async fn forward(&self, holder: &HostFact, submission: Submission) -> SubmissionReply {
        let timeout = submission.time_left + FORWARD_GRACE;
        let call = self.links.call(holder.address, timeout, |peer, cx| async move {
            peer.submit(cx, submission).await
        });
        match call.await {
            Ok(reply) => reply,
            // Even if this call did not arrive, an earlier one with the same ticket may have.
            // `NotHolder` becomes the verdict `MayHaveRun`.
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
        // An outcome is replayed unless this call has started the run.
        let mut replayed = true;
        loop {
            // Registers for the notification before `begin`, so that a run that ends in between is
            // not missed.
            let ended = self.ticket_ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            let begin = lock(&self.tickets).begin(&ticket, digest, now());
            match begin {
                BeginOutcome::Run => {
                    replayed = false;
                    let node = self.clone();
                    let submission = submission.clone();
                    // A separate task records the outcome even if the caller disconnects.
                    tokio::spawn(
                        async move { node.run_ticket(submission, digest, deadline).await },
                    );
                }
                BeginOutcome::Join => {}
                BeginOutcome::Stored(outcome) => {
                    return SubmissionReply::Ended { outcome, replayed };
                }
                BeginOutcome::OtherRequest => return SubmissionReply::OtherRequest,
                BeginOutcome::Expired => return SubmissionReply::Expired,
                BeginOutcome::Forged => return SubmissionReply::Forged,
                BeginOutcome::NotHolder => return SubmissionReply::NotHolder,
                BeginOutcome::Full => return SubmissionReply::Full,
            }
            tokio::select! {
                biased;
                () = ended => {}
                () = sleep_until(deadline) => return SubmissionReply::StillRunning,
            }
        }
    }

    /// Runs a submission, and records its outcome in the metrics, the ticket table and the copies.
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
                Verdict::Ran => lock(&state).record_answer(latency, true),
                Verdict::NotRun | Verdict::MayHaveRun => lock(&state).record_refusal(),
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

    /// Sends a submission to a searcher that holds the shard of its key.
    async fn run_submission(
        &self,
        submission: &Submission,
        digest: u64,
        deadline: Instant,
    ) -> StoredOutcome {
        let outcome = |verdict, receipt: String, reason: String| StoredOutcome {
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
            Err(e) => return outcome(Verdict::NotRun, String::new(), e.to_string()),
        };
        plan.body.clone_from(&submission.body);
        let target = plan.layout.collections.get(&plan.kind.collection).and_then(|collection| {
            let snapshot_id = self.snapshot_for(&plan, collection)?;
            Some((
                snapshot_id,
                collection.snapshots[&snapshot_id].shard_of(key_hash(&submission.key))?,
            ))
        });
        let Some((snapshot_id, shard)) = target else {
            let reason = FailureReason::NoReplica.to_string();
            return outcome(Verdict::NotRun, String::new(), reason);
        };
        let stored = match ShardTask::new(self, &plan, snapshot_id, shard).run().await {
            Ok(result) => outcome(Verdict::Ran, result.receipt, String::new()),
            Err(failure) => outcome(failure.verdict, String::new(), failure.reason.to_string()),
        };
        self.explain.insert(&plan.request_id, plan.trace);
        stored
    }
}

/// Returns the hash of a request, which shows whether a ticket is reused for another request.
fn digest_of(submission: &Submission) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in [&*submission.kind, &submission.key, &submission.body] {
        hasher.write_usize(part.len());
        hasher.write(part.as_bytes());
    }
    hasher.finish()
}
