//! Searches all shards of one snapshot.

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

use crate::gather::Query;
use crate::gather::QueryResponse;
use crate::gather::RequestError;
use crate::gather::ShardTask;
use crate::gather::explain::Trace;
use crate::gather::plan::AttemptCounts;
use crate::gather::plan::Plan;
use crate::network::Network;
use crate::node::Node;

/// Part of a kind's deadline that is reserved for merging results and sending the answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(5);

/// Greatest number of snapshots that one query tries in turn.
const MAX_SNAPSHOTS: usize = 3;

/// Greatest number of entries in an answer.
const MAX_LIMIT: u32 = 1_000;

/// Number of entries in an answer when the caller sets no limit.
const DEFAULT_LIMIT: u32 = 10;

/// An answer that has reached its coverage floor is sent without the missing shards once this
/// multiple of the hedge delay has passed since the query arrived.
const EARLY_ANSWER_FACTOR: u32 = 2;

/// Merged results of the shards of one snapshot that answered, and why the others did not.
struct ScatterResult {
    response: QueryResponse,
    verdict: Verdict,
    /// Whether a searcher did not hold the snapshot.
    snapshot_not_held: bool,
}

impl<N: Network> Node<N> {
    /// Runs a search on one snapshot, or a fetch on one of its shards.
    pub async fn query(&self, query: Query) -> Result<QueryResponse, RequestError> {
        let plan = self.plan(&query, now())?;
        let result = match query.operation {
            Operation::Search => self.search(&plan).await,
            // Submissions run through `Node::submit` and never arrive here.
            Operation::Fetch | Operation::Submit => self.fetch(&plan).await,
        };
        self.record_query(&plan, &result);
        self.explain.insert(&plan.request_id, plan.trace);
        result
    }

    /// Prepares a query under the current sheet and layout.
    pub(crate) fn plan(&self, query: &Query, arrived: Instant) -> Result<Plan, RequestError> {
        if !self.is_initialized() {
            return Err(RequestError::NotReady);
        }
        let (stamp, sheet) = self.values.stamped_sheet().ok_or(RequestError::NotReady)?;
        let layout = self.values.layout().ok_or(RequestError::NotReady)?;
        let (kind_name, kind) =
            sheet.kind(&query.kind).ok_or_else(|| RequestError::UnknownKind(query.kind.clone()))?;
        if kind.operation != query.operation {
            return Err(RequestError::WrongOperation(query.kind.clone()));
        }
        let deadline = arrived + kind.deadline.saturating_sub(ANSWER_RESERVE);
        let deadline = query.caller_deadline.map_or(deadline, |caller| caller.min(deadline));
        let limit = if query.limit == 0 { DEFAULT_LIMIT } else { query.limit.min(MAX_LIMIT) };
        let request_id = self.next_request_id();
        Ok(Plan {
            draw: Draw::from_request_id(&request_id),
            request_id,
            kind_name: kind_name.clone(),
            kind: kind.clone(),
            kind_state: self.kinds.get(kind_name, kind, arrived),
            layout,
            revision: stamp.revision,
            text: query.text.clone(),
            body: String::new(),
            limit,
            started: arrived,
            deadline,
            trace: Trace::default(),
            attempts: AttemptCounts::default(),
        })
    }

    /// Searches one snapshot. If searchers turn out not to hold it and its coverage stays below the
    /// floor, searches another one. Returns the answer with the greatest coverage.
    ///
    /// A query that the searchers would shed fails, or keeps the answer of an earlier snapshot.
    async fn search(&self, plan: &Plan) -> Result<QueryResponse, RequestError> {
        let collection = collection_of(plan)?;
        let mut best: Option<ScatterResult> = None;
        let mut tried: Vec<SnapshotId> = Vec::new();
        while tried.len() < MAX_SNAPSHOTS {
            let Some(snapshot_id) = self.snapshot_for(plan, collection) else {
                break;
            };
            if tried.contains(&snapshot_id) {
                break;
            }
            let admitted = self.is_admitted(plan, &collection.snapshots[&snapshot_id]);
            match next_action(!tried.is_empty(), admitted) {
                QueryAction::AskShards => {}
                QueryAction::KeepAnswer => break,
                QueryAction::Refuse => return Err(RequestError::Shed),
            }
            tried.push(snapshot_id);
            plan.trace.record(|| format!("snapshot {snapshot_id}: chosen"));
            let result = self.scatter(plan, snapshot_id, &collection.snapshots[&snapshot_id]).await;
            let ratio = result.response.coverage.ratio();
            let try_another = result.snapshot_not_held && ratio < plan.kind.coverage_floor;
            if best.as_ref().is_none_or(|current| ratio > current.response.coverage.ratio()) {
                best = Some(result);
            }
            if !try_another || now() >= plan.deadline {
                break;
            }
        }
        let no_snapshot = || RequestError::NoSnapshot(plan.kind.collection.to_string());
        let ScatterResult { response, verdict, .. } = best.ok_or_else(no_snapshot)?;
        let nothing_covered = response.coverage.covered == 0 && response.coverage.total > 0;
        if verdict == Verdict::Ran || !nothing_covered {
            return Ok(response);
        }
        let reason = response
            .missing
            .first()
            .map_or(String::new(), |missing_shard| missing_shard.reason.to_string());
        Err(RequestError::Failed(verdict, reason))
    }

    /// Returns whether every shard is expected to admit a query. If one sheds it, the work of the
    /// others is wasted.
    fn is_admitted(&self, plan: &Plan, snapshot: &SnapshotSpec) -> bool {
        lock(&self.cluster_view).admits(snapshot, plan.kind.rank, plan.draw, now())
    }

    /// Returns the snapshot to query: the newest one expected to reach the kind's coverage floor,
    /// else the one with the greatest expected coverage.
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

    /// Queries every shard of one snapshot.
    ///
    /// Returns when all shards have answered or failed, when the coverage reaches its floor and
    /// the time for an early answer has come, or when the deadline passes.
    async fn scatter(
        &self,
        plan: &Plan,
        snapshot_id: SnapshotId,
        snapshot: &SnapshotSpec,
    ) -> ScatterResult {
        let mut counter = CoverageCounter::new(snapshot);
        let mut merger = EntryMerger::default();
        let mut verdict = Verdict::NotRun;
        let mut snapshot_not_held = false;
        let mut running: FuturesUnordered<_> = snapshot
            .shards
            .iter()
            .map(|shard| async move {
                (shard.id, ShardTask::new(self, plan, snapshot_id, shard).run().await)
            })
            .collect();
        let early_answer_at = self.early_answer_time(plan);
        while !running.is_empty() {
            let floor_reached = counter.coverage().ratio() >= plan.kind.coverage_floor;
            let wait_until = if floor_reached { early_answer_at } else { plan.deadline };
            let finished = tokio::select! {
                biased;
                Some(finished) = running.next() => finished,
                () = sleep_until(wait_until) => break,
            };
            match finished {
                (shard, Ok(result)) => {
                    verdict = Verdict::Ran;
                    add_result(&mut counter, &mut merger, shard, result);
                }
                (shard, Err(AttemptFailure { verdict: shard_verdict, reason })) => {
                    if verdict == Verdict::NotRun {
                        verdict = shard_verdict;
                    }
                    snapshot_not_held |= matches!(reason, FailureReason::WrongSnapshot(_));
                    counter.mark_missing(shard, reason);
                }
            }
        }
        if !running.is_empty() && verdict == Verdict::NotRun {
            verdict = Verdict::MayHaveRun;
        }
        let response = QueryResponse {
            request_id: plan.request_id.clone(),
            snapshot: snapshot_id,
            coverage: counter.coverage(),
            firms: counter.by_firm(),
            missing: counter.missing(),
            total_hits: merger.total_hits(),
            entries: merger.finish(plan.limit as usize, plan.kind.spread),
            revision: plan.revision,
        };
        ScatterResult { response, verdict, snapshot_not_held }
    }

    /// Returns when an answer that reaches its coverage floor is sent without the missing shards.
    fn early_answer_time(&self, plan: &Plan) -> Instant {
        match plan.kind.stragglers {
            Stragglers::Wait => plan.deadline,
            Stragglers::AnswerEarly => {
                let hedge_at = lock(&plan.kind_state).hedge.hedge_at(plan.started);
                let early = hedge_at.map(|hedge_at| {
                    plan.started
                        + hedge_at.saturating_duration_since(plan.started) * EARLY_ANSWER_FACTOR
                });
                early.map_or(plan.deadline, |early| early.min(plan.deadline))
            }
        }
    }

    /// Records a finished query in the metrics, the statistics of its kind and its trace.
    fn record_query(&self, plan: &Plan, result: &Result<QueryResponse, RequestError>) {
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
            Ok(response) => {
                let coverage = response.coverage;
                state.record_answer(latency, coverage.is_complete());
                let extra_load = attempts.extra_load();
                self.metrics.answered(kind, plan.kind.rank, latency, coverage.ratio(), extra_load);
            }
            Err(e) => {
                state.record_refusal();
                plan.trace.record(|| format!("failed: {e}"));
            }
        }
    }
}

/// Returns the collection that a plan reads from or submits to.
pub(crate) fn collection_of(plan: &Plan) -> Result<&CollectionLayout, RequestError> {
    let name = &plan.kind.collection;
    let collection = plan.layout.collections.get(name);
    collection.ok_or_else(|| RequestError::NoSnapshot(name.to_string()))
}

/// Adds the result of one shard to the coverage and to the merged entries.
fn add_result(
    counter: &mut CoverageCounter<'_>,
    merger: &mut EntryMerger,
    shard: ShardId,
    result: ShardResult,
) {
    counter.mark_covered(shard, result.documents);
    merger.add(result.entries, result.total_hits);
}
