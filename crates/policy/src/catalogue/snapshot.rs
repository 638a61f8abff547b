//! Selection of the snapshot that answers a query.

use crate::catalogue::CollectionLayout;
use crate::catalogue::Coverage;
use crate::catalogue::SnapshotSpec;
use crate::ids::SearcherId;
use crate::ids::SnapshotId;

/// Returns the newest snapshot whose expected coverage reaches `floor`. If none does, returns the
/// one with the greatest expected coverage, or `None` for a collection without snapshots.
///
/// `usable` returns whether a searcher is expected to answer for a snapshot.
pub fn choose_snapshot(
    collection: &CollectionLayout,
    floor: f64,
    usable: impl Fn(&SearcherId, SnapshotId) -> bool,
) -> Option<SnapshotId> {
    let mut best: Option<(f64, SnapshotId)> = None;
    for (id, snapshot) in collection.snapshots.iter().rev() {
        let expected = expected_coverage(snapshot, |searcher| usable(searcher, *id));
        if expected >= floor {
            return Some(*id);
        }
        if best.is_none_or(|(greatest, _)| expected > greatest) {
            best = Some((expected, *id));
        }
    }
    best.map(|(_, id)| id)
}

fn expected_coverage(snapshot: &SnapshotSpec, usable: impl Fn(&SearcherId) -> bool) -> f64 {
    let reachable = snapshot.shards.iter().filter(|shard| shard.replicas.iter().any(&usable));
    let covered = reachable.map(|shard| shard.documents).sum();
    Coverage { covered, total: snapshot.documents() }.ratio()
}
