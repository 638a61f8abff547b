//! What this host believes of searchers and of their owners.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::admission::Draw;
use galenaloft_policy::admission::ReportedShare;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::catalogue::SnapshotSpec;
use galenaloft_policy::ids::CollectionName;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::ids::Rank;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::SnapshotId;
use galenaloft_policy::routing::ReplicaTable;

/// How long a searcher is taken not to hold a snapshot before it is asked again.
const LACK_MEMORY: Duration = Duration::from_millis(500);

/// How long an owner that did not answer is passed over.
const AVOID: Duration = Duration::from_secs(1);

/// Beliefs that come from replies and pass by themselves.
#[derive(Debug, Default)]
pub struct ClusterView {
    /// Load, failures and drains of searchers.
    pub replicas: ReplicaTable,
    lacks: BTreeMap<(SearcherId, CollectionName, SnapshotId), Instant>,
    avoided: BTreeMap<HostId, Instant>,
    /// Admitted shares below the whole, as owners last told them.
    admitted: BTreeMap<(SearcherId, Rank), ReportedShare>,
}

impl ClusterView {
    /// Learns from an attempt on a searcher that failed.
    pub fn note_failure(
        &mut self,
        searcher: &SearcherId,
        collection: &CollectionName,
        snapshot: SnapshotId,
        reason: &FailureReason,
        now: Instant,
    ) {
        match reason {
            FailureReason::WrongSnapshot(_) => {
                self.replicas.note_ended(searcher);
                self.note_lack(searcher, collection, snapshot, now);
            }
            FailureReason::Draining => {
                self.replicas.note_ended(searcher);
                self.replicas.note_draining(searcher, now);
            }
            FailureReason::PeerLost
            | FailureReason::Cancelled
            | FailureReason::Shed
            | FailureReason::QueueFull
            | FailureReason::Expired => self.replicas.note_ended(searcher),
            FailureReason::ConnectFailed
            | FailureReason::Refused(_)
            | FailureReason::ConnectionLost
            | FailureReason::TimedOut
            | FailureReason::BadReply(_)
            | FailureReason::NoReplica => self.replicas.note_failed(searcher, now),
        }
    }

    fn note_lack(
        &mut self,
        searcher: &SearcherId,
        collection: &CollectionName,
        snapshot: SnapshotId,
        now: Instant,
    ) {
        let key = (searcher.clone(), collection.clone(), snapshot);
        self.lacks.insert(key, now + LACK_MEMORY);
    }

    /// Returns whether a searcher is believed to answer for a snapshot.
    pub fn is_usable(
        &self,
        searcher: &SearcherId,
        collection: &CollectionName,
        snapshot: SnapshotId,
        now: Instant,
    ) -> bool {
        if self.replicas.is_draining(searcher, now) {
            return false;
        }
        if self.lacks.is_empty() {
            return true;
        }
        let key = (searcher.clone(), collection.clone(), snapshot);
        self.lacks.get(&key).is_none_or(|until| now >= *until)
    }

    /// Notes what the owner of a searcher admits of a rank.
    pub fn note_admitted(&mut self, searcher: &SearcherId, rank: Rank, share: f64, now: Instant) {
        if share < 1.0 {
            let key = (searcher.clone(), rank);
            self.admitted.insert(key, ReportedShare::new(share, now));
        } else if !self.admitted.is_empty() {
            self.admitted.remove(&(searcher.clone(), rank));
        }
    }

    /// Returns whether every shard has a replica that is believed to admit a query with this draw.
    pub fn admits(&self, snapshot: &SnapshotSpec, rank: Rank, draw: Draw, now: Instant) -> bool {
        let admits = |searcher: &SearcherId| self.admits_at(searcher, rank, draw, now);
        self.admitted.is_empty()
            || snapshot.shards.iter().all(|shard| shard.replicas.iter().any(admits))
    }

    /// Returns whether a searcher is believed to admit a query with this draw.
    pub fn admits_at(&self, searcher: &SearcherId, rank: Rank, draw: Draw, now: Instant) -> bool {
        if self.admitted.is_empty() {
            return true;
        }
        let known = self.admitted.get(&(searcher.clone(), rank));
        known.is_none_or(|told| draw.is_below(told.estimate(now)))
    }

    /// Returns whether a replica is believed to admit less than all work of a rank.
    pub fn is_shedding(&self, replicas: &[SearcherId], rank: Rank, now: Instant) -> bool {
        let shedding = |searcher: &SearcherId| {
            let known = self.admitted.get(&(searcher.clone(), rank));
            known.is_some_and(|told| told.estimate(now) < 1.0)
        };
        !self.admitted.is_empty() && replicas.iter().any(shedding)
    }

    /// Notes that an owner did not answer.
    pub fn note_silent(&mut self, host: &HostId, now: Instant) {
        self.avoided.insert(host.clone(), now + AVOID);
    }

    /// Returns whether no owner has been silent lately.
    pub fn avoids_nobody(&self) -> bool {
        self.avoided.is_empty()
    }

    /// Returns whether an owner is passed over.
    pub fn is_avoided(&self, host: &HostId, now: Instant) -> bool {
        self.avoided.get(host).is_some_and(|until| now < *until)
    }

    /// Forgets what has passed.
    pub fn forget_passed(&mut self, now: Instant) {
        self.lacks.retain(|_, until| now < *until);
        self.avoided.retain(|_, until| now < *until);
        self.admitted.retain(|_, told| told.estimate(now) < 1.0);
    }
}
