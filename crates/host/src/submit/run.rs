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

/// How much longer than the caller's deadline a forwarded submission's reply is awaited.
const FORWARD_GRACE: Duration = Duration::from_millis(50);

impl<N: Network> Node<N> {
    /// Runs a caller's submission, here or at the holder of its ticket.
    pub async fn submit(self: &Arc<Self>, submission: Submission) -> SubmitOutcome {
        let present = now();
        let deadline = present + submission.time_left;
        let ticket = submission.ticket.clone();
        let digest = digest_of(&submission);
        if lock(&self.tickets).holds(ticket.incarnation) {
            return SubmitOutcome::of_reply(self.submit_here(submission, deadline).await);
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
        let call = self.links.call(holder.address, limit, |peer, cx| async move {
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
                BeginOutcome::Run => {
                    replayed = false;
                    let node = self.clone();
                    let submission = submission.clone();
                    // The run goes on when its caller goes away: its outcome must be known.
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
        let target = plan.layout.collections.get(&plan.kind.collection).and_then(|collection| {
            let id = self.snapshot_for(&plan, collection)?;
            Some((id, collection.snapshots[&id].shard_of(key_hash(&submission.key))?))
        });
        let Some((snapshot, shard)) = target else {
            let reason = FailureReason::NoReplica.to_string();
            return ended(Verdict::NotRun, String::new(), reason);
        };
        let outcome = match ShardTask::new(self, &plan, snapshot, shard).run().await {
            Ok(result) => ended(Verdict::Ran, result.receipt, String::new()),
            Err(failure) => ended(failure.verdict, String::new(), failure.reason.to_string()),
        };
        self.explain.keep(&plan.request_id, plan.trace);
        outcome
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
