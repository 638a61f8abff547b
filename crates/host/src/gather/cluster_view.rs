//! What this host currently knows about searchers and the hosts that own them.

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

/// How long a searcher that lacks a snapshot gets no attempts for that snapshot.
const MISSING_SNAPSHOT_TTL: Duration = Duration::from_millis(500);

/// How long an owner that did not answer gets no attempts.
const OWNER_AVOIDANCE: Duration = Duration::from_secs(1);

/// What replies have shown about searchers and owners. Observations expire; latencies and admitted
/// shares return to their defaults over time.
#[derive(Debug, Default)]
pub struct ClusterView {
    /// Load, failures and drains of searchers.
    pub replicas: ReplicaTable,
    /// Until when a searcher is assumed not to hold a snapshot.
    missing_snapshots: BTreeMap<(SearcherId, CollectionName, SnapshotId), Instant>,
    /// Until when an owner gets no attempts.
    avoided_owners: BTreeMap<HostId, Instant>,
    /// Admitted shares below 1.0, as last reported by the owners.
    admitted: BTreeMap<(SearcherId, Rank), ReportedShare>,
}

impl ClusterView {
    /// Records a failed attempt on a searcher.
    pub fn record_failure(
        &mut self,
        searcher: &SearcherId,
        collection: &CollectionName,
        snapshot: SnapshotId,
        reason: &FailureReason,
        now: Instant,
    ) {
        match reason {
            FailureReason::WrongSnapshot(_) => {
                self.replicas.record_ended(searcher);
                self.record_missing_snapshot(searcher, collection, snapshot, now);
            }
            FailureReason::Draining => {
                self.replicas.record_ended(searcher);
                self.replicas.record_draining(searcher, now);
            }
            FailureReason::PeerLost
            | FailureReason::Cancelled
            | FailureReason::Shed
            | FailureReason::QueueFull
            | FailureReason::Expired => self.replicas.record_ended(searcher),
            FailureReason::ConnectFailed
            | FailureReason::Refused(_)
            | FailureReason::ConnectionLost
            | FailureReason::TimedOut
            | FailureReason::BadReply(_)
            | FailureReason::NoReplica => self.replicas.record_failed(searcher, now),
        }
    }

    fn record_missing_snapshot(
        &mut self,
        searcher: &SearcherId,
        collection: &CollectionName,
        snapshot: SnapshotId,
        now: Instant,
    ) {
        let key = (searcher.clone(), collection.clone(), snapshot);
        self.missing_snapshots.insert(key, now + MISSING_SNAPSHOT_TTL);
    }

    /// Returns whether a searcher is neither draining nor known to lack a snapshot.
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
        if self.missing_snapshots.is_empty() {
            return true;
        }
        let key = (searcher.clone(), collection.clone(), snapshot);
        self.missing_snapshots.get(&key).is_none_or(|until| now >= *until)
    }

    /// Records the share of a rank that the owner of a searcher admits.
    pub fn record_admitted(&mut self, searcher: &SearcherId, rank: Rank, share: f64, now: Instant) {
        if share < 1.0 {
            let key = (searcher.clone(), rank);
            self.admitted.insert(key, ReportedShare::new(share, now));
        } else if !self.admitted.is_empty() {
            self.admitted.remove(&(searcher.clone(), rank));
        }
    }

    /// Returns whether every shard has a replica that is expected to admit a query with this draw.
    pub fn admits(&self, snapshot: &SnapshotSpec, rank: Rank, draw: Draw, now: Instant) -> bool {
        let admits = |searcher: &SearcherId| self.searcher_admits(searcher, rank, draw, now);
        self.admitted.is_empty()
            || snapshot.shards.iter().all(|shard| shard.replicas.iter().any(admits))
    }

    /// Returns whether a searcher is expected to admit a query with this draw.
    pub fn searcher_admits(
        &self,
        searcher: &SearcherId,
        rank: Rank,
        draw: Draw,
        now: Instant,
    ) -> bool {
        if self.admitted.is_empty() {
            return true;
        }
        let reported = self.admitted.get(&(searcher.clone(), rank));
        reported.is_none_or(|share| draw.is_below(share.estimate(now)))
    }

    /// Returns whether any of the replicas is expected to shed queries of a rank.
    pub fn is_shedding(&self, replicas: &[SearcherId], rank: Rank, now: Instant) -> bool {
        let shedding = |searcher: &SearcherId| {
            let reported = self.admitted.get(&(searcher.clone(), rank));
            reported.is_some_and(|share| share.estimate(now) < 1.0)
        };
        !self.admitted.is_empty() && replicas.iter().any(shedding)
    }

    /// Records that an owner did not answer.
    pub fn record_unreachable_owner(&mut self, host: &HostId, now: Instant) {
        self.avoided_owners.insert(host.clone(), now + OWNER_AVOIDANCE);
    }

    /// Returns whether any owner is avoided. An expired entry still counts until
    /// [`Self::remove_expired`] drops it.
    pub fn has_avoided_owners(&self) -> bool {
        !self.avoided_owners.is_empty()
    }

    /// Returns whether an owner is avoided because it did not answer.
    pub fn is_owner_avoided(&self, host: &HostId, now: Instant) -> bool {
        self.avoided_owners.get(host).is_some_and(|until| now < *until)
    }

    /// Removes expired observations.
    pub fn remove_expired(&mut self, now: Instant) {
        self.missing_snapshots.retain(|_, until| now < *until);
        self.avoided_owners.retain(|_, until| now < *until);
        self.admitted.retain(|_, share| share.estimate(now) < 1.0);
    }
}
