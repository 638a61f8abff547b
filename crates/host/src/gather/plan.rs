//! One query as it is carried out, and what it gathers.

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

/// A caller's search or fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Kind of work by name.
    pub kind: String,
    /// What to do.
    pub operation: Operation,
    /// Query text or key.
    pub text: String,
    /// Most entries wanted.
    pub limit: u32,
    /// When the caller stops waiting, if it says so.
    pub caller_deadline: Option<Instant>,
}

/// A query with everything that its decisions need; the sheet's and the layout's state at the
/// start stays in force for it.
#[derive(Debug)]
pub struct Plan {
    /// Identity for operators and callers.
    pub request_id: String,
    /// Draw for admission under load.
    pub draw: Draw,
    /// Name of the kind.
    pub kind_name: KindName,
    /// Terms of the kind.
    pub kind: Kind,
    /// What this host has seen of the kind.
    pub kind_state: Arc<Mutex<KindState>>,
    /// Layout at the start.
    pub layout: Arc<Layout>,
    /// Version of the sheet at the start.
    pub revision: Revision,
    /// Query text, key or submission key.
    pub text: String,
    /// Body of a submission.
    pub body: String,
    /// Most entries wanted.
    pub limit: u32,
    /// When it arrived.
    pub started: Instant,
    /// When its answer is useless.
    pub deadline: Instant,
    /// Its decisions.
    pub trace: Trace,
    /// Attempts sent.
    pub attempts: AttemptCounts,
}

/// Attempts by their reason.
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
    /// Returns the extra attempts per first attempt.
    pub fn extra_load(&self) -> f64 {
        let first = self.first.load(Ordering::Relaxed).max(1) as f64;
        let extra = self.hedges.load(Ordering::Relaxed) + self.retries.load(Ordering::Relaxed);
        extra as f64 / first
    }
}

/// What a query gathered.
#[derive(Debug, Clone, PartialEq)]
pub struct Gathered {
    /// Identity of the request.
    pub request_id: String,
    /// The one snapshot that answered.
    pub snapshot: SnapshotId,
    /// How much of it is covered.
    pub coverage: Coverage,
    /// Coverage of each former firm.
    pub firms: BTreeMap<FirmName, Coverage>,
    /// What is not covered.
    pub missing: Vec<Missing>,
    /// Best entries.
    pub entries: Vec<Entry>,
    /// Matching documents in the covered part.
    pub total_hits: u32,
    /// Version of the sheet that it ran under.
    pub revision: Revision,
}
