//! Fetches one entry by its key, from the shard that holds the key.

use galenaloft_policy::catalogue::CoverageCounter;
use galenaloft_policy::catalogue::SnapshotSpec;
use galenaloft_policy::catalogue::key_hash;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::sleep_until;

use crate::gather::QueryResponse;
use crate::gather::RequestError;
use crate::gather::ShardTask;
use crate::gather::plan::Plan;
use crate::gather::search::collection_of;
use crate::network::Network;
use crate::node::Node;

impl<N: Network> Node<N> {
    /// Fetches the entry whose key is the plan's text.
    ///
    /// The coverage counts the key's shard only: a complete answer without an entry proves that
    /// the snapshot has no entry with this key. Entries with another key are dropped.
    pub(crate) async fn fetch(&self, plan: &Plan) -> Result<QueryResponse, RequestError> {
        let no_snapshot = || RequestError::NoSnapshot(plan.kind.collection.to_string());
        let collection = collection_of(plan)?;
        let snapshot_id = self.snapshot_for(plan, collection).ok_or_else(no_snapshot)?;
        let shard = collection.snapshots[&snapshot_id]
            .shard_of(key_hash(&plan.text))
            .ok_or_else(no_snapshot)?;
        let attempt = ShardTask::new(self, plan, snapshot_id, shard).run();
        let result = tokio::select! {
            biased;
            result = attempt => result,
            () = sleep_until(plan.deadline) => {
                let reason = "the deadline passed".to_owned();
                return Err(RequestError::Failed(Verdict::MayHaveRun, reason));
            }
        };
        let result = result.map_err(|e| RequestError::Failed(e.verdict, e.reason.to_string()))?;
        let shard_only = SnapshotSpec { shards: vec![shard.clone()] };
        let mut counter = CoverageCounter::new(&shard_only);
        counter.mark_covered(shard.id, result.documents);
        let entries = result.entries.into_iter().filter(|entry| entry.key == plan.text);
        let entries: Vec<_> = entries.take(1).collect();
        Ok(QueryResponse {
            request_id: plan.request_id.clone(),
            snapshot: snapshot_id,
            coverage: counter.coverage(),
            firms: counter.by_firm(),
            missing: counter.missing(),
            total_hits: entries.len() as u32,
            entries,
            revision: plan.revision,
        })
    }
}
