//! Searches: every shard of one snapshot.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::stream::FuturesUnordered;
use futures::stream::StreamExt;
use galenaloft_config::sheet::Stragglers;
use galenaloft_policy::admission::Draw;
use galenaloft_policy::admission::QueryAction;
use galenaloft_policy::admission::next_action;
use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::attempt::Operation;
use galenaloft_policy::attempt::ShardResult;
use galenaloft_policy::catalogue::CollectionLayout;
use galenaloft_policy::catalogue::CoverageCounter;
use galenaloft_policy::catalogue::EntryMerger;
use galenaloft_policy::catalogue::SnapshotSpec;
use galenaloft_policy::catalogue::choose_snapshot;
use galenaloft_policy::ids::ShardId;
use galenaloft_policy::ids::SnapshotId;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::metrics::AttemptRole;

use crate::gather::Gathered;
use crate::gather::Query;
use crate::gather::RequestError;
use crate::gather::ShardTask;
use crate::gather::explain::Trace;
use crate::gather::plan::AttemptCounts;
use crate::gather::plan::Plan;
use crate::network::Network;
use crate::node::Node;

/// Time kept back from the deadline to merge and to send the answer.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// Most snapshots that one query tries in turn.
const MAX_SNAPSHOTS: usize = 3;

/// Most entries of an answer.
const MAX_LIMIT: u32 = 1_000;

/// Entries of an answer when the caller does not say.
const DEFAULT_LIMIT: u32 = 10;

/// How long a shard may be late, as a multiple of the time after which it is hedged, before an
/// answer that meets its floor goes out without it.
const LATE_FACTOR: u32 = 2;

/// What one scatter over a snapshot gave.
struct Scatter {
    gathered: Gathered,
    verdict: Verdict,
    lacking: bool,
}

impl<N: Network> Node<N> {
    /// Answers a search from one snapshot, or a fetch from one shard of it.
    pub async fn query(&self, query: Query) -> Result<Gathered, RequestError> {
        let plan = self.plan(&query, now())?;
        let result = match query.operation {
            Operation::Search => self.search(&plan).await,
            Operation::Fetch | Operation::Submit => self.fetch(&plan).await,
        };
        self.note_query(&plan, &result);
        self.explain.keep(&plan.request_id, plan.trace);
        result
    }

    /// Prepares a query under the sheet and the layout in force.
    pub(crate) fn plan(&self, query: &Query, present: Instant) -> Result<Plan, RequestError> {
        if !self.is_informed() {
            return Err(RequestError::NotReady);
        }
        let (stamp, sheet) = self.values.stamped_sheet().ok_or(RequestError::NotReady)?;
        let layout = self.values.layout().ok_or(RequestError::NotReady)?;
        let (kind_name, kind) =
            sheet.kind(&query.kind).ok_or_else(|| RequestError::UnknownKind(query.kind.clone()))?;
        if kind.operation != query.operation {
            return Err(RequestError::WrongOperation(query.kind.clone()));
        }
        let deadline = present + kind.deadline.saturating_sub(ANSWER_TIME);
        let deadline = query.caller_deadline.map_or(deadline, |caller| caller.min(deadline));
        let limit = if query.limit == 0 { DEFAULT_LIMIT } else { query.limit.min(MAX_LIMIT) };
        let request_id = self.next_request_id();
        Ok(Plan {
            draw: Draw::from_request_id(&request_id),
            request_id,
            kind_name: kind_name.clone(),
            kind: kind.clone(),
            kind_state: self.kinds.get(kind_name, kind, present),
            layout,
            revision: stamp.revision,
            text: query.text.clone(),
            body: String::new(),
            limit,
            started: present,
            deadline,
            trace: Trace::default(),
            attempts: AttemptCounts::default(),
        })
    }

    async fn search(&self, plan: &Plan) -> Result<Gathered, RequestError> {
        let collection = collection_of(plan)?;
        let mut best: Option<Scatter> = None;
        let mut asked: Vec<SnapshotId> = Vec::new();
        while asked.len() < MAX_SNAPSHOTS {
            let Some(id) = self.snapshot_for(plan, collection) else {
                break;
            };
            if asked.contains(&id) {
                break;
            }
            let admitted = self.is_admitted(plan, &collection.snapshots[&id]);
            match next_action(!asked.is_empty(), admitted) {
                QueryAction::AskShards => {}
                QueryAction::KeepAnswer => break,
                QueryAction::Refuse => return Err(RequestError::Shed),
            }
            asked.push(id);
            plan.trace.note(|| format!("snapshot {id}: chosen"));
            let scatter = self.scatter(plan, id, &collection.snapshots[&id]).await;
            let ratio = scatter.gathered.coverage.ratio();
            let retry = scatter.lacking && ratio < plan.kind.coverage_floor;
            if best.as_ref().is_none_or(|b| ratio > b.gathered.coverage.ratio()) {
                best = Some(scatter);
            }
            if !retry || now() >= plan.deadline {
                break;
            }
        }
        let none = || RequestError::NoSnapshot(plan.kind.collection.to_string());
        let Scatter { gathered, verdict, .. } = best.ok_or_else(none)?;
        let nothing = gathered.coverage.covered == 0 && gathered.coverage.total > 0;
        if verdict == Verdict::Ran || !nothing {
            return Ok(gathered);
        }
        let why = gathered.missing.first().map_or(String::new(), |m| m.reason.to_string());
        Err(RequestError::Failed(verdict, why))
    }

    /// Returns whether every shard takes a query; the others would work in vain.
    fn is_admitted(&self, plan: &Plan, snapshot: &SnapshotSpec) -> bool {
        lock(&self.cluster_view).admits(snapshot, plan.kind.rank, plan.draw, now())
    }

    pub(crate) fn snapshot_for(
        &self,
        plan: &Plan,
        collection: &CollectionLayout,
    ) -> Option<SnapshotId> {
        let present = now();
        let view = lock(&self.cluster_view);
        choose_snapshot(collection, plan.kind.coverage_floor, |searcher, snapshot| {
            view.is_usable(searcher, &plan.kind.collection, snapshot, present)
        })
    }

    /// Asks every shard of one snapshot until all answered, the floor is met and the rest is
    /// late, or the deadline passes.
    async fn scatter(&self, plan: &Plan, id: SnapshotId, snapshot: &SnapshotSpec) -> Scatter {
        let mut counter = CoverageCounter::new(snapshot);
        let mut merge = EntryMerger::default();
        let mut verdict = Verdict::NotRun;
        let mut lacking = false;
        let mut running: FuturesUnordered<_> =
            snapshot
                .shards
                .iter()
                .map(|shard| async move {
                    (shard.id, ShardTask::new(self, plan, id, shard).run().await)
                })
                .collect();
        let late = self.late_after(plan);
        while !running.is_empty() {
            let met = counter.coverage().ratio() >= plan.kind.coverage_floor;
            let limit = if met { late } else { plan.deadline };
            let next = tokio::select! {
                biased;
                Some(next) = running.next() => next,
                () = sleep_until(limit) => break,
            };
            match next {
                (shard, Ok(result)) => {
                    verdict = Verdict::Ran;
                    add(&mut counter, &mut merge, shard, result);
                }
                (shard, Err(AttemptFailure { verdict: attempt, reason })) => {
                    if verdict == Verdict::NotRun {
                        verdict = attempt;
                    }
                    lacking |= matches!(reason, FailureReason::WrongSnapshot(_));
                    counter.mark_missing(shard, reason);
                }
            }
        }
        if !running.is_empty() && verdict == Verdict::NotRun {
            verdict = Verdict::MayHaveRun;
        }
        let gathered = Gathered {
            request_id: plan.request_id.clone(),
            snapshot: id,
            coverage: counter.coverage(),
            firms: counter.by_firm(),
            missing: counter.missing(),
            total_hits: merge.total_hits(),
            entries: merge.finish(plan.limit as usize, plan.kind.spread),
            revision: plan.revision,
        };
        Scatter { gathered, verdict, lacking }
    }

    /// Returns when an answer that meets its floor goes out without the shards still missing.
    fn late_after(&self, plan: &Plan) -> Instant {
        match plan.kind.stragglers {
            Stragglers::Wait => plan.deadline,
            Stragglers::AnswerEarly => {
                let hedge_at = lock(&plan.kind_state).hedge.hedge_at(plan.started);
                let late = hedge_at.map(|at| {
                    plan.started + at.saturating_duration_since(plan.started) * LATE_FACTOR
                });
                late.map_or(plan.deadline, |late| late.min(plan.deadline))
            }
        }
    }

    fn note_query(&self, plan: &Plan, result: &Result<Gathered, RequestError>) {
        let latency = now().saturating_duration_since(plan.started);
        let (kind, attempts) = (&plan.kind_name, &plan.attempts);
        for (role, count) in [
            (AttemptRole::First, &attempts.first),
            (AttemptRole::Hedge, &attempts.hedges),
            (AttemptRole::Retry, &attempts.retries),
        ] {
            self.metrics.attempts(kind, role, count.load(Ordering::Relaxed));
        }
        let mut state = lock(&plan.kind_state);
        match result {
            Ok(gathered) => {
                let coverage = gathered.coverage;
                state.note_answer(latency, coverage.is_complete());
                let extra = attempts.extra_load();
                self.metrics.answered(kind, plan.kind.rank, latency, coverage.ratio(), extra);
            }
            Err(e) => {
                state.note_refusal();
                plan.trace.note(|| format!("failed: {e}"));
            }
        }
    }
}

/// Returns the collection that a plan reads or writes.
pub(crate) fn collection_of(plan: &Plan) -> Result<&CollectionLayout, RequestError> {
    let name = &plan.kind.collection;
    let collection = plan.layout.collections.get(name);
    collection.ok_or_else(|| RequestError::NoSnapshot(name.to_string()))
}

fn add(
    counter: &mut CoverageCounter<'_>,
    merge: &mut EntryMerger,
    shard: ShardId,
    result: ShardResult,
) {
    counter.mark_covered(shard, result.documents);
    merge.add(result.entries, result.total_hits);
}
