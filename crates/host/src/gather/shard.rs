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

use crate::clock::now;
use crate::clock::sleep_until;
use crate::edges::Edges;
use crate::gather::plan::Plan;
use crate::node::Node;
use crate::sync::lock;

type Attempt<'a> = BoxFuture<'a, Result<ShardResult, AttemptFailure>>;

impl<E: Edges> Node<E> {
    /// Asks the replicas of a shard until one answers, the deadline passes or none is left.
    ///
    /// A non-idempotent attempt is made again only when the last one certainly did not run.
    pub(crate) async fn run_shard(
        &self,
        plan: &Plan,
        snapshot: SnapshotId,
        shard: &ShardSpec,
    ) -> Result<ShardResult, AttemptFailure> {
        let mut tried = Vec::new();
        let mut running: FuturesUnordered<Attempt<'_>> = FuturesUnordered::new();
        let Some(first) = self.next_attempt(plan, snapshot, shard, &mut tried) else {
            return Err(AttemptFailure::not_run(FailureReason::NoReplica));
        };
        running.push(first);
        plan.attempts.first.fetch_add(1, Ordering::Relaxed);
        let mut hedge_at = self.first_hedge(plan);
        let mut verdict = Verdict::NotRun;
        loop {
            let hedge_time = hedge_at.unwrap_or(plan.deadline);
            tokio::select! {
                biased;
                Some(result) = running.next() => match result {
                    Ok(result) => return Ok(result),
                    Err(failure) => {
                        if failure.verdict == Verdict::MayHaveRun {
                            verdict = Verdict::MayHaveRun;
                        }
                        let failure = AttemptFailure { verdict, ..failure };
                        match self.after_failure(plan, snapshot, shard, &mut tried, &failure) {
                            Some(retry) => running.push(retry),
                            None if running.is_empty() => return Err(failure),
                            None => {}
                        }
                    }
                },
                () = sleep_until(hedge_time), if hedge_at.is_some() => {
                    hedge_at = None;
                    if let Some(hedge) = self.hedge(plan, snapshot, shard, &mut tried) {
                        running.push(hedge);
                    }
                }
            }
        }
    }

    fn first_hedge(&self, plan: &Plan) -> Option<Instant> {
        let mut state = lock(&plan.kind_state);
        state.hedge.note_first_attempt();
        state.retry.note_first_attempt();
        if !plan.kind.operation.is_idempotent() {
            return None;
        }
        state.hedge.hedge_at(now()).filter(|at| *at < plan.deadline)
    }

    fn hedge<'a>(
        &'a self,
        plan: &'a Plan,
        snapshot: SnapshotId,
        shard: &'a ShardSpec,
        tried: &mut Vec<SearcherId>,
    ) -> Option<Attempt<'a>> {
        let loaded = lock(&self.beliefs).is_shedding(&shard.replicas, plan.kind.rank, now());
        // Where work waits for slots, a second attempt only makes the queues longer.
        if loaded || tried.len() >= shard.replicas.len() || !lock(&plan.kind_state).hedge.spend() {
            return None;
        }
        let hedge = self.next_attempt(plan, snapshot, shard, tried)?;
        plan.attempts.hedges.fetch_add(1, Ordering::Relaxed);
        plan.trace
            .note(|| format!("shard {}: hedged to {}", shard.id, last(tried)));
        Some(hedge)
    }

    fn after_failure<'a>(
        &'a self,
        plan: &'a Plan,
        snapshot: SnapshotId,
        shard: &'a ShardSpec,
        tried: &mut Vec<SearcherId>,
        failure: &AttemptFailure,
    ) -> Option<Attempt<'a>> {
        plan.trace
            .note(|| format!("shard {}: {}: {}", shard.id, last(tried), failure.reason));
        let safe = plan.kind.operation.is_idempotent() || failure.verdict == Verdict::NotRun;
        if !safe || now() >= plan.deadline || !lock(&plan.kind_state).retry.spend() {
            return None;
        }
        if failure.reason == FailureReason::PeerLost {
            // The searcher did nothing wrong: another owner may reach it.
            tried.pop();
        }
        let retry = self.next_attempt(plan, snapshot, shard, tried)?;
        plan.attempts.retries.fetch_add(1, Ordering::Relaxed);
        plan.trace
            .note(|| format!("shard {}: retried on {}", shard.id, last(tried)));
        Some(retry)
    }

    /// Prepares an attempt on the best replica that was not tried yet.
    fn next_attempt<'a>(
        &'a self,
        plan: &'a Plan,
        snapshot: SnapshotId,
        shard: &'a ShardSpec,
        tried: &mut Vec<SearcherId>,
    ) -> Option<Attempt<'a>> {
        let present = now();
        let searcher = self.choose_replica(plan, snapshot, shard, tried, present)?;
        tried.push(searcher.clone());
        let req = AttemptRequest {
            attempt: self.next_attempt_id(),
            searcher: searcher.clone(),
            operation: plan.kind.operation,
            kind: plan.kind_name.clone(),
            rank: plan.kind.rank,
            draw: plan.draw,
            collection: plan.kind.collection.clone(),
            snapshot,
            shard: shard.id,
            text: plan.text.clone(),
            body: plan.body.clone(),
            limit: plan.limit,
            time_left: plan.deadline.saturating_duration_since(present),
        };
        Some(self.observe_attempt(plan, searcher, req).boxed())
    }

    fn choose_replica(
        &self,
        plan: &Plan,
        snapshot: SnapshotId,
        shard: &ShardSpec,
        tried: &[SearcherId],
        present: Instant,
    ) -> Option<SearcherId> {
        let beliefs = lock(&self.beliefs);
        let collection = &plan.kind.collection;
        let submits = !plan.kind.operation.is_idempotent();
        let usable = shard.replicas.iter().filter(|id| {
            !tried.contains(id)
                && !self.is_listed_leaving(id)
                && beliefs.is_usable(id, collection, snapshot, present)
                && (submits || beliefs.admits_at(id, plan.kind.rank, plan.draw, present))
        });
        let zoned = usable.filter_map(|id| {
            let spec = plan.layout.searchers.get(id)?;
            Some((id, spec.zone == self.settings.zone))
        });
        beliefs.replicas.choose(zoned, present).cloned()
    }

    /// Runs an attempt and learns from its outcome, also when it is given up.
    async fn observe_attempt(
        &self,
        plan: &Plan,
        searcher: SearcherId,
        req: AttemptRequest,
    ) -> Result<ShardResult, AttemptFailure> {
        let Some(spec) = plan.layout.searchers.get(&searcher) else {
            return Err(AttemptFailure::not_run(FailureReason::NoReplica));
        };
        let (collection, snapshot) = (req.collection.clone(), req.snapshot);
        let sent = now();
        let mut guard = InFlight::new(self, &searcher, sent);
        let result = self.run_attempt(spec, req).await;
        guard.ended = true;
        let present = now();
        let latency = present.saturating_duration_since(sent);
        let mut beliefs = lock(&self.beliefs);
        match &result {
            Ok(_) => beliefs.replicas.note_ran(&searcher, latency, present),
            Err(failure) => match &failure.reason {
                FailureReason::WrongSnapshot(_) => {
                    beliefs.replicas.note_ended(&searcher);
                    beliefs.note_lack(&searcher, &collection, snapshot, present);
                }
                FailureReason::Draining => {
                    beliefs.replicas.note_ended(&searcher);
                    beliefs.replicas.note_draining(&searcher, present);
                }
                FailureReason::PeerLost
                | FailureReason::Cancelled
                | FailureReason::Shed
                | FailureReason::QueueFull
                | FailureReason::Expired => {
                    beliefs.replicas.note_ended(&searcher);
                }
                _ => beliefs.replicas.note_failed(&searcher, present),
            },
        }
        drop(beliefs);
        if result.is_ok() {
            lock(&plan.kind_state).hedge.note_latency(latency, present);
        }
        result
    }
}

fn last(tried: &[SearcherId]) -> &str {
    tried.last().map_or("no replica", |id| id)
}

/// Counts an attempt as in flight until it ends or is given up.
struct InFlight<'a, E: Edges> {
    node: &'a Node<E>,
    searcher: &'a SearcherId,
    sent: Instant,
    ended: bool,
}

impl<'a, E: Edges> InFlight<'a, E> {
    fn new(node: &'a Node<E>, searcher: &'a SearcherId, sent: Instant) -> Self {
        lock(&node.beliefs).replicas.note_sent(searcher);
        Self {
            node,
            searcher,
            sent,
            ended: false,
        }
    }
}

impl<E: Edges> Drop for InFlight<'_, E> {
    fn drop(&mut self) {
        if !self.ended {
            let present = now();
            let waited = present.saturating_duration_since(self.sent);
            lock(&self.node.beliefs)
                .replicas
                .note_abandoned(self.searcher, waited, present);
        }
    }
}
