//! One shard of a query: attempts, hedges and retries until one runs.

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

use crate::gather::in_flight::InFlight;
use crate::gather::plan::Plan;
use crate::network::Network;
use crate::node::Node;

type Attempt<'a> = BoxFuture<'a, Result<ShardResult, AttemptFailure>>;

/// The work on one shard of a query.
pub struct ShardTask<'a, N: Network> {
    node: &'a Node<N>,
    plan: &'a Plan,
    snapshot: SnapshotId,
    shard: &'a ShardSpec,
    /// Replicas that were asked already.
    tried: Vec<SearcherId>,
    /// `MayHaveRun` once any attempt may have run.
    verdict: Verdict,
}

impl<'a, N: Network> ShardTask<'a, N> {
    /// Prepares the work; nothing is sent yet.
    pub fn new(
        node: &'a Node<N>,
        plan: &'a Plan,
        snapshot: SnapshotId,
        shard: &'a ShardSpec,
    ) -> Self {
        let (tried, verdict) = (Vec::new(), Verdict::NotRun);
        Self { node, plan, snapshot, shard, tried, verdict }
    }

    /// Asks the replicas of the shard until one answers, the deadline passes or none is left.
    ///
    /// A non-idempotent attempt is made again only when the last one certainly did not run.
    pub async fn run(mut self) -> Result<ShardResult, AttemptFailure> {
        let mut running: FuturesUnordered<Attempt<'_>> = FuturesUnordered::new();
        let Some(first) = self.next_attempt() else {
            return Err(AttemptFailure::not_run(FailureReason::NoReplica));
        };
        running.push(first);
        self.plan.attempts.first.fetch_add(1, Ordering::Relaxed);
        let mut hedge_at = self.first_hedge();
        loop {
            let hedge_time = hedge_at.unwrap_or(self.plan.deadline);
            tokio::select! {
                biased;
                Some(result) = running.next() => match result {
                    Ok(result) => return Ok(result),
                    Err(failure) => match self.after_failure(&failure) {
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

    fn first_hedge(&self) -> Option<Instant> {
        let mut state = lock(&self.plan.kind_state);
        state.hedge.note_first_attempt();
        state.retry.note_first_attempt();
        if !self.plan.kind.operation.is_idempotent() {
            return None;
        }
        state.hedge.hedge_at(now()).filter(|at| *at < self.plan.deadline)
    }

    fn hedge(&mut self) -> Option<Attempt<'a>> {
        let (plan, replicas) = (self.plan, &self.shard.replicas);
        let loaded = lock(&self.node.cluster_view).is_shedding(replicas, plan.kind.rank, now());
        // Where work waits for slots, a second attempt only makes the queues longer.
        if loaded || self.tried.len() >= replicas.len() || !lock(&plan.kind_state).hedge.try_spend()
        {
            return None;
        }
        let hedge = self.next_attempt()?;
        plan.attempts.hedges.fetch_add(1, Ordering::Relaxed);
        self.note(|last| format!("hedged to {last}"));
        Some(hedge)
    }

    fn after_failure(&mut self, failure: &AttemptFailure) -> Option<Attempt<'a>> {
        let plan = self.plan;
        if failure.verdict == Verdict::MayHaveRun {
            self.verdict = Verdict::MayHaveRun;
        }
        self.note(|last| format!("{last}: {}", failure.reason));
        let safe = plan.kind.operation.is_idempotent() || self.verdict == Verdict::NotRun;
        if !safe || now() >= plan.deadline || !lock(&plan.kind_state).retry.try_spend() {
            return None;
        }
        if failure.reason == FailureReason::PeerLost {
            // The searcher did nothing wrong: another owner may reach it.
            self.tried.pop();
        }
        let retry = self.next_attempt()?;
        plan.attempts.retries.fetch_add(1, Ordering::Relaxed);
        self.note(|last| format!("retried on {last}"));
        Some(retry)
    }

    /// Prepares an attempt on the best replica that was not tried yet.
    fn next_attempt(&mut self) -> Option<Attempt<'a>> {
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
        Some(observe(self.node, plan, req).boxed())
    }

    fn choose_replica(&self, present: Instant) -> Option<SearcherId> {
        let (node, plan) = (self.node, self.plan);
        let (collection, rank) = (&plan.kind.collection, plan.kind.rank);
        let submits = !plan.kind.operation.is_idempotent();
        let view = lock(&node.cluster_view);
        let usable = self.shard.replicas.iter().filter(|id| {
            !self.tried.contains(id)
                && !node.is_listed_leaving(id)
                && view.is_usable(id, collection, self.snapshot, present)
                && (submits || view.admits_at(id, rank, plan.draw, present))
        });
        let zoned = usable.filter_map(|id| {
            let spec = plan.layout.searchers.get(id)?;
            Some((id, spec.zone == node.settings.zone))
        });
        view.replicas.choose(zoned, present).cloned()
    }

    fn note(&self, decision: impl FnOnce(&str) -> String) {
        let last = self.tried.last().map_or("no replica", |id| id);
        self.plan.trace.note(|| format!("shard {}: {}", self.shard.id, decision(last)));
    }
}

/// Runs an attempt and learns from its outcome, also when it is given up.
async fn observe<N: Network>(
    node: &Node<N>,
    plan: &Plan,
    req: AttemptRequest,
) -> Result<ShardResult, AttemptFailure> {
    let searcher = req.searcher.clone();
    let Some(spec) = plan.layout.searchers.get(&searcher) else {
        return Err(AttemptFailure::not_run(FailureReason::NoReplica));
    };
    let snapshot = req.snapshot;
    let in_flight = InFlight::new(node, &searcher, now());
    let result = node.run_attempt(spec, req).await;
    let present = now();
    let latency = in_flight.end(present);
    let mut view = lock(&node.cluster_view);
    match &result {
        Ok(_) => {
            view.replicas.note_ran(&searcher, latency, present);
            drop(view);
            lock(&plan.kind_state).hedge.note_latency(latency, present);
        }
        Err(failure) => {
            let collection = &plan.kind.collection;
            view.note_failure(&searcher, collection, snapshot, &failure.reason, present);
        }
    }
    result
}
