//! Runs a query on one shard: sends attempts, hedges and retries until one succeeds.

use std::sync::atomic::Ordering;
use std::time::Instant;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::stream::StreamExt;
use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::attempt::ShardResult;
use galenaloft_policy::catalogue::ShardSpec;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::SnapshotId;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_runtime::sync::lock;

use crate::gather::in_flight::InFlightGuard;
use crate::gather::plan::Plan;
use crate::network::Network;
use crate::node::Node;

type AttemptFuture<'a> = BoxFuture<'a, Result<ShardResult, AttemptFailure>>;

/// The work on one shard of a query.
pub struct ShardTask<'a, N: Network> {
    node: &'a Node<N>,
    plan: &'a Plan,
    snapshot: SnapshotId,
    shard: &'a ShardSpec,
    /// Replicas that were already tried.
    tried: Vec<SearcherId>,
    /// `MayHaveRun` once any attempt may have run.
    verdict: Verdict,
}

impl<'a, N: Network> ShardTask<'a, N> {
    /// Creates the task; it sends nothing yet.
    pub fn new(
        node: &'a Node<N>,
        plan: &'a Plan,
        snapshot: SnapshotId,
        shard: &'a ShardSpec,
    ) -> Self {
        let (tried, verdict) = (Vec::new(), Verdict::NotRun);
        Self { node, plan, snapshot, shard, tried, verdict }
    }

    /// Tries the replicas of the shard until one answers, none remains or no retry is allowed.
    ///
    /// A non-idempotent request is retried only while none of its attempts may have run.
    pub async fn run(mut self) -> Result<ShardResult, AttemptFailure> {
        let mut running: FuturesUnordered<AttemptFuture<'_>> = FuturesUnordered::new();
        let Some(first) = self.next_attempt() else {
            return Err(AttemptFailure::not_run(FailureReason::NoReplica));
        };
        running.push(first);
        self.plan.attempts.first.fetch_add(1, Ordering::Relaxed);
        let mut hedge_at = self.schedule_hedge();
        loop {
            // The fallback is unused: without a hedge, the branch below is disabled.
            let hedge_time = hedge_at.unwrap_or(self.plan.deadline);
            tokio::select! {
                biased;
                Some(result) = running.next() => match result {
                    Ok(result) => return Ok(result),
                    Err(failure) => match self.retry_after_failure(&failure) {
                        Some(retry) => running.push(retry),
                        None if running.is_empty() => {
                            return Err(AttemptFailure { verdict: self.verdict, ..failure });
                        }
                        None => {}
                    },
                },
                () = sleep_until(hedge_time), if hedge_at.is_some() => {
                    hedge_at = None;
                    running.extend(self.hedge());
                }
            }
        }
    }

    /// Counts the first attempt in the budgets. Returns when to hedge it, if at all.
    fn schedule_hedge(&self) -> Option<Instant> {
        let mut state = lock(&self.plan.kind_state);
        state.hedge.record_first_attempt();
        state.retry.record_first_attempt();
        if !self.plan.kind.operation.is_idempotent() {
            return None;
        }
        state.hedge.hedge_at(now()).filter(|hedge_at| *hedge_at < self.plan.deadline)
    }

    /// Prepares a hedge on an untried replica. Returns `None` if there is none, if any replica
    /// sheds load or if the hedge budget is exhausted.
    fn hedge(&mut self) -> Option<AttemptFuture<'a>> {
        let (plan, replicas) = (self.plan, &self.shard.replicas);
        let overloaded = lock(&self.node.cluster_view).is_shedding(replicas, plan.kind.rank, now());
        // While searchers shed load, a second attempt would only lengthen their queues.
        if overloaded
            || self.tried.len() >= replicas.len()
            || !lock(&plan.kind_state).hedge.try_spend()
        {
            return None;
        }
        let hedge = self.next_attempt()?;
        plan.attempts.hedges.fetch_add(1, Ordering::Relaxed);
        self.record(|last_tried| format!("hedged to {last_tried}"));
        Some(hedge)
    }

    /// Records a failed attempt and prepares a retry, if one is allowed.
    fn retry_after_failure(&mut self, failure: &AttemptFailure) -> Option<AttemptFuture<'a>> {
        let plan = self.plan;
        if failure.verdict == Verdict::MayHaveRun {
            self.verdict = Verdict::MayHaveRun;
        }
        self.record(|last_tried| format!("{last_tried}: {}", failure.reason));
        let may_retry = plan.kind.operation.is_idempotent() || self.verdict == Verdict::NotRun;
        if !may_retry || now() >= plan.deadline || !lock(&plan.kind_state).retry.try_spend() {
            return None;
        }
        if failure.reason == FailureReason::PeerLost {
            // The owner failed, not the searcher: another owner may reach the searcher.
            self.tried.pop();
        }
        let retry = self.next_attempt()?;
        plan.attempts.retries.fetch_add(1, Ordering::Relaxed);
        self.record(|last_tried| format!("retried on {last_tried}"));
        Some(retry)
    }

    /// Prepares an attempt on the best replica that has not been tried yet.
    fn next_attempt(&mut self) -> Option<AttemptFuture<'a>> {
        let present = now();
        let searcher = self.choose_replica(present)?;
        self.tried.push(searcher.clone());
        let plan = self.plan;
        let req = AttemptRequest {
            attempt: self.node.next_attempt_id(),
            searcher,
            operation: plan.kind.operation,
            kind: plan.kind_name.clone(),
            rank: plan.kind.rank,
            draw: plan.draw,
            collection: plan.kind.collection.clone(),
            snapshot: self.snapshot,
            shard: self.shard.id,
            text: plan.text.clone(),
            body: plan.body.clone(),
            limit: plan.limit,
            time_left: plan.deadline.saturating_duration_since(present),
        };
        Some(run_and_record(self.node, plan, req).boxed())
    }

    /// Returns the best replica that is untried, usable and expected to admit the query.
    /// Submissions are never shed, so admission does not matter to them.
    fn choose_replica(&self, present: Instant) -> Option<SearcherId> {
        let (node, plan) = (self.node, self.plan);
        let (collection, rank) = (&plan.kind.collection, plan.kind.rank);
        let is_submission = !plan.kind.operation.is_idempotent();
        let view = lock(&node.cluster_view);
        let usable = self.shard.replicas.iter().filter(|id| {
            !self.tried.contains(id)
                && !node.is_listed_leaving(id)
                && view.is_usable(id, collection, self.snapshot, present)
                && (is_submission || view.searcher_admits(id, rank, plan.draw, present))
        });
        let candidates = usable.filter_map(|id| {
            let spec = plan.layout.searchers.get(id)?;
            Some((id, spec.zone == node.settings.zone))
        });
        view.replicas.choose(candidates, present).cloned()
    }

    /// Records a decision about the replica that was tried last.
    fn record(&self, decision: impl FnOnce(&str) -> String) {
        let last_tried = self.tried.last().map_or("no replica", |id| id);
        self.plan.trace.record(|| format!("shard {}: {}", self.shard.id, decision(last_tried)));
    }
}

/// Runs an attempt and records its outcome in the cluster view. If the future is dropped before the
/// attempt ends, the attempt is recorded as abandoned.
async fn run_and_record<N: Network>(
    node: &Node<N>,
    plan: &Plan,
    req: AttemptRequest,
) -> Result<ShardResult, AttemptFailure> {
    let searcher = req.searcher.clone();
    let Some(spec) = plan.layout.searchers.get(&searcher) else {
        return Err(AttemptFailure::not_run(FailureReason::NoReplica));
    };
    let snapshot = req.snapshot;
    let in_flight = InFlightGuard::new(node, &searcher, now());
    let result = node.run_attempt(spec, req).await;
    let present = now();
    let latency = in_flight.end(present);
    let mut view = lock(&node.cluster_view);
    match &result {
        Ok(_) => {
            view.replicas.record_ran(&searcher, latency, present);
            drop(view);
            lock(&plan.kind_state).hedge.record_latency(latency, present);
        }
        Err(failure) => {
            let collection = &plan.kind.collection;
            view.record_failure(&searcher, collection, snapshot, &failure.reason, present);
        }
    }
    result
}
