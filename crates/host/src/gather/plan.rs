//! A query, the plan of its execution and its response.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use galenaloft_config::sheet::Kind;
use galenaloft_policy::admission::Draw;
use galenaloft_policy::attempt::Operation;
use galenaloft_policy::catalogue::Coverage;
use galenaloft_policy::catalogue::Entry;
use galenaloft_policy::catalogue::Layout;
use galenaloft_policy::catalogue::Missing;
use galenaloft_policy::ids::FirmName;
use galenaloft_policy::ids::KindName;
use galenaloft_policy::ids::Revision;
use galenaloft_policy::ids::SnapshotId;

use crate::gather::explain::Trace;
use crate::gather::kinds::KindState;

/// What a caller asks for: a search, a fetch or a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Name of the kind of work.
    pub kind: String,
    /// Operation to perform.
    pub operation: Operation,
    /// Query text, key of the entry or key of the submission.
    pub text: String,
    /// Greatest number of entries to return; zero for the default.
    pub limit: u32,
    /// When the caller stops waiting, if it has set a deadline.
    pub caller_deadline: Option<Instant>,
}

/// A query with everything that its execution depends on. It keeps the sheet and the layout that
/// were current at its start until it ends.
#[derive(Debug)]
pub struct Plan {
    /// Identifies the request to callers and operators.
    pub request_id: String,
    /// Decides, at every shard alike, whether the query is admitted under overload.
    pub draw: Draw,
    /// Name of the kind.
    pub kind_name: KindName,
    /// Settings of the kind in the sheet.
    pub kind: Kind,
    /// Hedging, retry budget and statistics of the kind on this host.
    pub kind_state: Arc<Mutex<KindState>>,
    /// Layout at the start of the query.
    pub layout: Arc<Layout>,
    /// Revision of the sheet at the start of the query.
    pub revision: Revision,
    /// Query text, key of the entry or key of the submission.
    pub text: String,
    /// Body of a submission; empty otherwise.
    pub body: String,
    /// Greatest number of entries to return.
    pub limit: u32,
    /// When the query arrived.
    pub started: Instant,
    /// When the results of the shards must have arrived.
    pub deadline: Instant,
    /// Decisions made for the query.
    pub trace: Trace,
    /// Attempts sent so far.
    pub attempts: AttemptCounts,
}

/// Number of attempts sent, by role.
#[derive(Debug, Default)]
pub struct AttemptCounts {
    /// First attempts.
    pub first: AtomicU64,
    /// Hedges.
    pub hedges: AtomicU64,
    /// Retries.
    pub retries: AtomicU64,
}

impl AttemptCounts {
    /// Returns the number of hedges and retries per first attempt.
    pub fn extra_load(&self) -> f64 {
        let first = self.first.load(Ordering::Relaxed).max(1) as f64;
        let extra = self.hedges.load(Ordering::Relaxed) + self.retries.load(Ordering::Relaxed);
        extra as f64 / first
    }
}

/// The merged results of a query.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryResponse {
    /// Identifies the request to callers and operators.
    pub request_id: String,
    /// Snapshot that all results come from.
    pub snapshot: SnapshotId,
    /// Documents that were searched, out of those that should have been.
    pub coverage: Coverage,
    /// Coverage of the documents of each former firm.
    pub firms: BTreeMap<FirmName, Coverage>,
    /// Shards that were not fully searched, with the reasons.
    pub missing: Vec<Missing>,
    /// Best matching entries, at most as many as the limit.
    pub entries: Vec<Entry>,
    /// Matching documents in the shards that answered.
    pub total_hits: u32,
    /// Revision of the sheet that the query ran under.
    pub revision: Revision,
}
