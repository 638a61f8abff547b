use std::time::Duration;
use std::time::Instant;

use super::listing::RELISTING_TIME;
use super::listing::RETURNED_ENTRY_HOLD;
use super::*;
use crate::store_position::StorePosition;

fn entry(id: &str, state: SearcherState) -> SearcherEntry {
    SearcherEntry {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "z".into(),
        slots: 2,
        state,
        warmup_left: Duration::ZERO,
        start_time: 1,
    }
}

/// A position of a store that has not come back from a copy.
fn at(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn written(id: &str, state: SearcherState, revision: u64) -> RevisionedChange {
    RevisionedChange { change: Change::Written(entry(id, state)), position: at(revision) }
}

fn removed(id: &str, revision: u64) -> RevisionedChange {
    RevisionedChange { change: Change::Removed(id.into()), position: at(revision) }
}

/// Returns the same change in the next era.
fn restored(change: RevisionedChange) -> RevisionedChange {
    RevisionedChange { position: StorePosition { era: 1, ..change.position }, ..change }
}

fn ids(directory: &Directory) -> Vec<String> {
    directory.entries().map(|entry| entry.id.to_string()).collect()
}

#[test]
fn a_heartbeat_without_a_new_state_is_no_change() {
    let now = Instant::now();
    let mut directory = Directory::default();
    let mut apply = |change| directory.apply(change, now);
    assert_eq!(apply(written("a", SearcherState::Ready, 1)), ChangeEffect::Changed);
    assert_eq!(apply(written("a", SearcherState::Ready, 2)), ChangeEffect::Unchanged);
    assert_eq!(apply(written("a", SearcherState::Draining, 3)), ChangeEffect::Changed);
}

#[test]
fn a_change_with_an_older_revision_is_ignored() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(written("a", SearcherState::Draining, 5), now);
    assert_eq!(
        directory.apply(written("a", SearcherState::Ready, 4), now),
        ChangeEffect::Unchanged
    );
    assert_eq!(directory.apply(removed("a", 6), now), ChangeEffect::Changed);
    assert_eq!(
        directory.apply(written("a", SearcherState::Ready, 5), now),
        ChangeEffect::Unchanged
    );
    assert!(ids(&directory).is_empty());
    assert_eq!(directory.apply(written("a", SearcherState::Ready, 7), now), ChangeEffect::Changed);
}

#[test]
fn replacing_the_list_keeps_entries_written_after_its_revision() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(written("old", SearcherState::Ready, 1), now);
    directory.apply(written("new", SearcherState::Ready, 9), now);
    assert!(directory.replace(vec![written("other", SearcherState::Ready, 2)], at(5), now));
    assert_eq!(ids(&directory), ["new", "other"]);
}

#[test]
fn a_removal_takes_effect_at_once_while_the_store_is_reachable() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(written("a", SearcherState::Ready, 1), now);
    assert_eq!(directory.apply(removed("a", 2), now), ChangeEffect::Changed);
    assert!(ids(&directory).is_empty());
}

#[test]
fn an_entry_that_expired_during_a_store_outage_is_used_until_the_relisting_time_ends() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(written("a", SearcherState::Ready, 1), now);
    directory.apply(written("b", SearcherState::Draining, 1), now);
    directory.record_store_failure(now);
    let recovered_at = now + Duration::from_secs(5);
    directory.record_store_answer(recovered_at);
    directory.replace(Vec::new(), at(2), recovered_at);
    assert_eq!(ids(&directory), ["a"]);
    assert!(!directory.settle(recovered_at + Duration::from_secs(1)));
    assert!(directory.settle(recovered_at + Duration::from_millis(2_400)));
    assert!(ids(&directory).is_empty());
}

#[test]
fn a_removal_and_a_return_during_a_store_outage_are_reported_as_effects() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(written("a", SearcherState::Ready, 1), now);
    directory.record_store_failure(now);
    assert_eq!(directory.apply(removed("a", 2), now), ChangeEffect::Expired);
    assert_eq!(directory.apply(removed("b", 3), now), ChangeEffect::Unchanged);
    assert_eq!(directory.apply(written("a", SearcherState::Ready, 4), now), ChangeEffect::Restored);
    assert_eq!(
        directory.apply(written("a", SearcherState::Ready, 5), now),
        ChangeEffect::Unchanged
    );
}

#[test]
fn a_recovery_seen_by_a_peer_keeps_expired_entries_for_the_rest_of_the_relisting_time() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut reader = Directory::default();
    let mut listener = Directory::default();
    for directory in [&mut reader, &mut listener] {
        directory.apply(written("a", SearcherState::Ready, 1), now);
    }
    reader.record_store_failure(now);
    reader.record_store_answer(now + ms(500));
    let update_received = now + ms(900);
    let since_recovery = reader.time_since_store_recovery(update_received);
    assert_eq!(since_recovery, Some(ms(400)));
    listener.record_unnoticed_outage(update_received - ms(400));
    assert_eq!(listener.apply(removed("a", 2), update_received), ChangeEffect::Expired);
    assert!(!listener.settle(now + ms(2_700)));
    assert!(listener.settle(now + ms(2_900)));
    assert_eq!(reader.time_since_store_recovery(now + ms(2_900)), None);
}

#[test]
fn a_draining_run_stays_draining_when_a_later_entry_says_ready() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(written("a", SearcherState::Draining, 1), now);
    assert_eq!(
        directory.apply(written("a", SearcherState::Ready, 2), now),
        ChangeEffect::Unchanged
    );
    let states: Vec<SearcherState> = directory.entries().map(|entry| entry.state).collect();
    assert_eq!(states, [SearcherState::Draining]);
    let restarted = SearcherEntry { start_time: 2, ..entry("a", SearcherState::Ready) };
    let change = RevisionedChange { change: Change::Written(restarted.clone()), position: at(3) };
    assert_eq!(directory.apply(change, now), ChangeEffect::Changed);
    assert_eq!(directory.entries().collect::<Vec<_>>(), [&restarted]);
}

#[test]
fn entries_that_are_missing_at_once_may_have_expired_if_they_are_most_of_the_list() {
    let now = Instant::now();
    let mut directory = Directory::default();
    for (id, revision) in [("a", 1), ("b", 2), ("c", 3), ("d", 4)] {
        directory.apply(written(id, SearcherState::Ready, revision), now);
    }
    assert!(directory.replace(
        ["b", "c", "d"].map(|id| written(id, SearcherState::Ready, 4)).into(),
        at(5),
        now
    ));
    assert_eq!(ids(&directory), ["b", "c", "d"]);
    assert!(!directory.replace(vec![written("b", SearcherState::Ready, 4)], at(6), now));
    assert_eq!(ids(&directory), ["b", "c", "d"]);
    assert!(directory.settle(now + Duration::from_millis(2_400)));
    assert_eq!(ids(&directory), ["b"]);
}

/// Guards against a removal that every host ignores (review/14): after the store came back from a copy, its
/// revision is below that of the entry, and that of the list.
#[test]
fn changes_of_the_restored_store_count_whatever_their_revision() {
    let now = Instant::now();
    let soon_after = now + RELISTING_TIME;
    let mut directory = Directory::default();
    directory.replace(vec![written("a", SearcherState::Ready, 497)], at(497), now);
    directory.replace(
        vec![restored(written("a", SearcherState::Ready, 200))],
        StorePosition { era: 1, revision: 266 },
        now,
    );
    assert_eq!(directory.apply(removed("a", 999), soon_after), ChangeEffect::Unchanged);
    assert_eq!(directory.apply(restored(removed("a", 399)), soon_after), ChangeEffect::Changed);
    let late = written("b", SearcherState::Ready, 999);
    assert_eq!(directory.apply(late, soon_after), ChangeEffect::Unchanged);
    let new = restored(written("c", SearcherState::Ready, 3));
    assert_eq!(directory.apply(new, soon_after), ChangeEffect::Changed);
    assert!(!directory.replace(vec![written("d", SearcherState::Ready, 999)], at(999), soon_after));
    assert_eq!(ids(&directory), ["c"]);
}

/// Guards against searchers that are dropped since the copy is older than their entries, or since the
/// restored store removes them before they can write them again.
#[test]
fn entries_that_a_restored_store_lacks_are_used_until_the_relisting_time_ends() {
    let now = Instant::now();
    let mut directory = Directory::default();
    for id in ["a", "b", "c", "d"] {
        directory.apply(written(id, SearcherState::Ready, 9), now);
    }
    let listed = ["a", "b"].map(|id| restored(written(id, SearcherState::Ready, 5)));
    let list_at = StorePosition { era: 1, revision: 6 };
    assert!(!directory.replace(listed.into(), list_at, now));
    assert_eq!(directory.apply(restored(removed("b", 7)), now), ChangeEffect::Expired);
    assert_eq!(ids(&directory), ["a", "b", "c", "d"]);
    let back = restored(written("c", SearcherState::Ready, 8));
    assert_eq!(directory.apply(back, now), ChangeEffect::Restored);
    assert!(!directory.settle(now + RELISTING_TIME - Duration::from_millis(1)));
    assert!(directory.settle(now + RELISTING_TIME));
    assert_eq!(ids(&directory), ["a", "c"]);
    // Other hosts are told of outages only.
    assert_eq!(directory.time_since_store_recovery(now), None);
}

/// Guards against requests to a searcher that has left and whose entry comes back with the copy, and
/// against one that lives and is never used again.
#[test]
fn searcher_that_had_left_is_not_used_if_the_copy_has_its_entry() {
    let now = Instant::now();
    let mut directory = Directory::default();
    for (id, revision) in [("gone", 3), ("lives", 4), ("renewed", 5), ("stays", 6)] {
        directory.apply(written(id, SearcherState::Ready, revision), now);
    }
    for (id, revision) in [("gone", 13), ("lives", 14), ("renewed", 15)] {
        directory.apply(removed(id, revision), now);
    }
    let listed = [("gone", 3), ("lives", 4), ("renewed", 5), ("stays", 6)];
    let listed = listed.map(|(id, at)| restored(written(id, SearcherState::Ready, at)));
    let list_at = StorePosition { era: 1, revision: 8 };
    for _ in 0..2 {
        directory.replace(listed.to_vec(), list_at, now);
        assert_eq!(ids(&directory), ["stays"]);
    }
    assert_eq!(directory.revisioned_entries().len(), 4);
    let renewed = restored(written("renewed", SearcherState::Ready, 9));
    assert_eq!(directory.apply(renewed, now), ChangeEffect::Changed);
    assert_eq!(directory.apply(restored(removed("gone", 10)), now), ChangeEffect::Changed);
    directory.settle(now + RETURNED_ENTRY_HOLD - Duration::from_millis(1));
    assert_eq!(ids(&directory), ["renewed", "stays"]);
    assert!(directory.settle(now + RETURNED_ENTRY_HOLD));
    assert_eq!(ids(&directory), ["lives", "renewed", "stays"]);
}
