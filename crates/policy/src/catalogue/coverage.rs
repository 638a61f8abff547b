//! Coverage of a snapshot by an answer, counted in documents.

use std::collections::BTreeMap;
use std::collections::btree_map;

use crate::attempt::FailureReason;
use crate::catalogue::ShardSpec;
use crate::catalogue::SnapshotSpec;
use crate::ids::DocumentCount;
use crate::ids::FirmName;
use crate::ids::ShardId;

/// A shard that the answer does not cover completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Missing {
    /// Number of the shard.
    pub shard: ShardId,
    /// Number of documents of the shard that were not searched.
    pub documents: DocumentCount,
    /// Why they were not searched.
    pub reason: FailureReason,
}

/// Number of documents searched, out of a total.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Number of documents searched.
    pub covered: DocumentCount,
    /// Number of documents in the snapshot, or of one former firm in the snapshot.
    pub total: DocumentCount,
}

impl Coverage {
    /// Returns the covered fraction, from 0.0 to 1.0. An empty snapshot counts as fully covered.
    pub fn ratio(&self) -> f64 {
        if self.total == 0 {
            return 1.0;
        }
        f64::from(self.covered) / f64::from(self.total)
    }

    /// Returns whether all documents are covered.
    pub fn is_complete(&self) -> bool {
        self.covered == self.total
    }
}

/// Counts the coverage of one answer while the shards reply.
#[derive(Debug)]
pub struct CoverageCounter<'a> {
    snapshot: &'a SnapshotSpec,
    covered: BTreeMap<ShardId, DocumentCount>,
    missing: BTreeMap<ShardId, FailureReason>,
    /// Number of documents of each shard.
    sizes: BTreeMap<ShardId, DocumentCount>,
    coverage: Coverage,
}

impl<'a> CoverageCounter<'a> {
    /// Creates a counter for an answer that covers no shard yet.
    pub fn new(snapshot: &'a SnapshotSpec) -> Self {
        let sizes = snapshot.shards.iter().map(|s| (s.id, s.documents));
        Self {
            snapshot,
            covered: BTreeMap::new(),
            missing: BTreeMap::new(),
            sizes: sizes.collect(),
            coverage: Coverage { covered: 0, total: snapshot.documents() },
        }
    }

    /// Counts `documents` of a shard as covered, limited to the size of the shard. Only the first
    /// call for a shard counts.
    pub fn mark_covered(&mut self, shard: ShardId, documents: DocumentCount) {
        let size = self.sizes.get(&shard).copied().unwrap_or(0);
        let documents = documents.min(size);
        if let btree_map::Entry::Vacant(entry) = self.covered.entry(shard) {
            entry.insert(documents);
            self.coverage.covered += documents;
        }
        self.missing.remove(&shard);
    }

    /// Records why a shard did not answer. Has no effect on a shard that has answered, even if only
    /// in part.
    pub fn mark_missing(&mut self, shard: ShardId, reason: FailureReason) {
        if !self.covered.contains_key(&shard) {
            self.missing.insert(shard, reason);
        }
    }

    /// Returns the coverage so far.
    pub fn coverage(&self) -> Coverage {
        self.coverage
    }

    /// Returns the coverage of each former firm.
    ///
    /// A partly searched shard counts as uncovered for all its firms, because it is not known which
    /// firms the searched documents belong to.
    pub fn by_firm(&self) -> BTreeMap<FirmName, Coverage> {
        let mut firms: BTreeMap<FirmName, Coverage> = BTreeMap::new();
        for shard in &self.snapshot.shards {
            let complete = self.covered_documents(shard) == shard.documents;
            for (firm, documents) in &shard.firms {
                let coverage = firms.entry(firm.clone()).or_default();
                coverage.total += documents;
                coverage.covered += if complete { *documents } else { 0 };
            }
        }
        firms
    }

    /// Returns every shard that is not completely covered, with the reason.
    pub fn missing(&self) -> Vec<Missing> {
        self.snapshot.shards.iter().filter_map(|s| self.missing_in_shard(s)).collect()
    }

    fn covered_documents(&self, shard: &ShardSpec) -> DocumentCount {
        self.covered.get(&shard.id).copied().unwrap_or(0)
    }

    fn missing_in_shard(&self, shard: &ShardSpec) -> Option<Missing> {
        let documents = shard.documents - self.covered_documents(shard);
        if documents == 0 {
            return None;
        }
        let partial = self.covered.contains_key(&shard.id);
        // A shard without a recorded reason has not answered in time.
        let fallback = if partial {
            FailureReason::BadReply("shard was searched only in part".to_owned())
        } else {
            FailureReason::TimedOut
        };
        let reason = self.missing.get(&shard.id).cloned().unwrap_or(fallback);
        Some(Missing { shard: shard.id, documents, reason })
    }
}
