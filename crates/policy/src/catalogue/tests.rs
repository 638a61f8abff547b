use std::collections::BTreeMap;
use std::collections::BTreeSet;

use quickcheck::quickcheck;

use super::*;
use crate::attempt::FailureReason;
use crate::ids::SearcherId;

fn entry(key: &str, firm: &str, score: u32) -> Entry {
    Entry { key: key.to_owned(), firm: firm.into(), title: key.to_owned(), score }
}

fn snapshot(documents: &[u32]) -> SnapshotSpec {
    let width = (u64::from(u32::MAX) + 1) / documents.len() as u64;
    let shards = documents.iter().enumerate().map(|(i, &documents)| ShardSpec {
        id: i as u32,
        first_hash: (i as u64 * width) as u32,
        last_hash: ((i as u64 + 1) * width - 1) as u32,
        documents,
        firms: BTreeMap::from([("north".into(), documents)]),
        replicas: Vec::new(),
    });
    SnapshotSpec { shards: shards.collect() }
}

#[test]
fn merged_entries_hold_each_key_once_and_alternate_between_firms() {
    let mut merger = EntryMerger::default();
    merger.add(vec![entry("a", "north", 9), entry("b", "north", 8)], 2);
    merger.add(vec![entry("a", "north", 9), entry("c", "south", 1)], 2);
    let keys: Vec<String> =
        merger.finish(2, Spread::FormerFirm).into_iter().map(|e| e.key).collect();
    assert_eq!(keys, ["a", "c"]);
}

#[test]
fn coverage_counts_documents_and_lists_missing_shards() {
    let snapshot = snapshot(&[10, 30]);
    let mut counter = CoverageCounter::new(&snapshot);
    counter.mark_covered(0, 10);
    counter.mark_covered(0, 10);
    counter.mark_missing(1, FailureReason::ConnectionLost);
    assert_eq!(counter.coverage(), Coverage { covered: 10, total: 40 });
    let missing = Missing { shard: 1, documents: 30, reason: FailureReason::ConnectionLost };
    assert_eq!(counter.missing(), vec![missing]);
    assert_eq!(counter.by_firm()["north"], Coverage { covered: 10, total: 40 });
}

#[test]
fn the_newest_snapshot_that_reaches_the_floor_is_chosen() {
    let with_replicas = |names: [&str; 2]| {
        let mut snapshot = snapshot(&[50, 50]);
        for (shard, name) in snapshot.shards.iter_mut().zip(names) {
            shard.replicas.push(name.into());
        }
        snapshot
    };
    let snapshots =
        BTreeMap::from([(1, with_replicas(["s-1", "s-2"])), (2, with_replicas(["s-1", "s-3"]))]);
    let collection = CollectionLayout { snapshots };
    let all_except = |lost: &'static str| move |id: &SearcherId, _| **id != *lost;
    assert_eq!(choose_snapshot(&collection, 0.9, |_, _| true), Some(2));
    assert_eq!(choose_snapshot(&collection, 0.9, all_except("s-3")), Some(1));
    assert_eq!(choose_snapshot(&collection, 0.5, all_except("s-3")), Some(2));
    assert_eq!(choose_snapshot(&collection, 0.9, all_except("s-1")), Some(2));
    assert_eq!(choose_snapshot(&CollectionLayout::default(), 0.9, |_, _| true), None);
}

quickcheck! {
    fn coverage_never_exceeds_answered_shards(sizes: Vec<u16>, replies: Vec<(u8, u32)>) -> bool {
        let sizes: Vec<u32> = sizes.iter().take(64).map(|&s| u32::from(s)).chain([1]).collect();
        let snapshot = snapshot(&sizes);
        let mut counter = CoverageCounter::new(&snapshot);
        let mut answered = BTreeSet::new();
        for (shard, documents) in replies {
            let shard = u32::from(shard) % sizes.len() as u32;
            counter.mark_covered(shard, documents);
            answered.insert(shard);
        }
        let coverage = counter.coverage();
        let missing: u32 = counter.missing().iter().map(|m| m.documents).sum();
        let max_covered: u32 = answered.iter().map(|&s| sizes[s as usize]).sum();
        coverage.covered <= max_covered && coverage.covered + missing == coverage.total
    }

    fn every_hash_belongs_to_a_shard(count: u8, hash: u32) -> bool {
        let snapshot = snapshot(&vec![1; 1 << (count % 8)]);
        let shard = snapshot.shard_of(hash).expect("the ranges cover every hash");
        shard.first_hash <= hash && hash <= shard.last_hash
    }
}
