//! How much of a snapshot an answer covers, counted in documents.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use crate::attempt::FailureReason;
use crate::catalogue::ShardSpec;
use crate::catalogue::SnapshotSpec;
use crate::ids::DocumentCount;
use crate::ids::FirmName;
use crate::ids::ShardId;

/// A shard that the answer does not cover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Missing {
    /// Number of the shard.
    pub shard: ShardId,
    /// Documents that the answer lacks.
    pub documents: DocumentCount,
    /// Why they are missing.
    pub reason: FailureReason,
}

/// Covered and total documents.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Coverage {
    /// Documents searched.
    pub covered: DocumentCount,
    /// Documents in the snapshot.
    pub total: DocumentCount,
}

impl Coverage {
    /// Returns the covered share, from 0.0 to 1.0; an empty snapshot is wholly covered.
    pub fn ratio(&self) -> f64 {
        if self.total == 0 {
            return 1.0;
        }
        f64::from(self.covered) / f64::from(self.total)
    }

    /// Returns whether nothing is missing.
    pub fn is_complete(&self) -> bool {
        self.covered == self.total
    }
}

/// Counts the coverage of one answer while its shards come in.
#[derive(Debug)]
pub struct CoverageCounter<'a> {
    snapshot: &'a SnapshotSpec,
    covered: BTreeMap<ShardId, DocumentCount>,
    missing: BTreeMap<ShardId, FailureReason>,
    /// Documents of each shard.
    sizes: BTreeMap<ShardId, DocumentCount>,
    coverage: Coverage,
}

impl<'a> CoverageCounter<'a> {
    /// Starts with nothing covered.
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

    /// Counts a shard that answered; a second answer of the same shard counts nothing.
    pub fn mark_covered(&mut self, shard: ShardId, documents: DocumentCount) {
        let size = self.sizes.get(&shard).copied().unwrap_or(0);
        let documents = documents.min(size);
        if let Entry::Vacant(entry) = self.covered.entry(shard) {
            entry.insert(documents);
            self.coverage.covered += documents;
        }
        self.missing.remove(&shard);
    }

    /// Notes why a shard did not answer.
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
    /// A shard that was searched in part counts nothing for any firm, since the part that was
    /// searched is not known by firm.
    pub fn by_firm(&self) -> BTreeMap<FirmName, Coverage> {
        let mut firms: BTreeMap<FirmName, Coverage> = BTreeMap::new();
        for shard in &self.snapshot.shards {
            let whole = self.covered_in(shard) == shard.documents;
            for (firm, documents) in &shard.firms {
                let coverage = firms.entry(firm.clone()).or_default();
                coverage.total += documents;
                coverage.covered += if whole { *documents } else { 0 };
            }
        }
        firms
    }

    /// Returns every shard that is not wholly covered, with the reason.
    pub fn missing(&self) -> Vec<Missing> {
        self.snapshot.shards.iter().filter_map(|s| self.missing_in(s)).collect()
    }

    fn covered_in(&self, shard: &ShardSpec) -> DocumentCount {
        self.covered.get(&shard.id).copied().unwrap_or(0)
    }

    fn missing_in(&self, shard: &ShardSpec) -> Option<Missing> {
        let documents = shard.documents - self.covered_in(shard);
        if documents == 0 {
            return None;
        }
        let partial = self.covered.contains_key(&shard.id);
        let fallback = if partial {
            FailureReason::BadReply("searched in part".to_owned())
        } else {
            FailureReason::TimedOut
        };
        let reason = self.missing.get(&shard.id).cloned().unwrap_or(fallback);
        Some(Missing { shard: shard.id, documents, reason })
    }
}
