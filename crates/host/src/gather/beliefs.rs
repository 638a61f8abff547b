//! What this host believes of searchers and of their owners.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::ids::CollectionName;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::SnapshotId;
use galenaloft_policy::routing::ReplicaTable;

/// How long a searcher is taken not to hold a snapshot before it is asked again.
const LACK_MEMORY: Duration = Duration::from_millis(500);

/// How long an owner that did not answer is passed over.
const AVOID: Duration = Duration::from_secs(1);

/// Beliefs that come from replies and pass by themselves.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// Load, failures and drains of searchers.
    pub replicas: ReplicaTable,
    lacks: BTreeMap<(SearcherId, CollectionName, SnapshotId), Instant>,
    avoided: BTreeMap<HostId, Instant>,
}

impl Beliefs {
    /// Notes that a searcher does not hold a snapshot.
    pub fn note_lack(
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

    /// Notes that an owner did not answer.
    pub fn note_silent(&mut self, host: &HostId, now: Instant) {
        self.avoided.insert(host.clone(), now + AVOID);
    }

    /// Returns whether an owner is passed over.
    pub fn is_avoided(&self, host: &HostId, now: Instant) -> bool {
        self.avoided.get(host).is_some_and(|until| now < *until)
    }

    /// Forgets what has passed.
    pub fn forget_passed(&mut self, now: Instant) {
        self.lacks.retain(|_, until| now < *until);
        self.avoided.retain(|_, until| now < *until);
    }
}
