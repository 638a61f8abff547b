use std::time::Duration;
use std::time::Instant;

use super::*;

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

fn written(id: &str, state: SearcherState, revision: u64) -> RevisionedChange {
    RevisionedChange { change: Change::Written(entry(id, state)), revision }
}

fn removed(id: &str, revision: u64) -> RevisionedChange {
    RevisionedChange { change: Change::Removed(id.into()), revision }
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
    assert!(directory.replace(vec![written("other", SearcherState::Ready, 2)], 5, now));
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
    directory.replace(Vec::new(), 2, recovered_at);
    assert_eq!(ids(&directory), ["a"]);
    assert!(!directory.drop_expired(recovered_at + Duration::from_secs(1)));
    assert!(directory.drop_expired(recovered_at + Duration::from_millis(2_400)));
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
    assert!(!listener.drop_expired(now + ms(2_700)));
    assert!(listener.drop_expired(now + ms(2_900)));
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
    let change = RevisionedChange { change: Change::Written(restarted.clone()), revision: 3 };
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
        5,
        now
    ));
    assert_eq!(ids(&directory), ["b", "c", "d"]);
    assert!(!directory.replace(vec![written("b", SearcherState::Ready, 4)], 6, now));
    assert_eq!(ids(&directory), ["b", "c", "d"]);
    assert!(directory.drop_expired(now + Duration::from_millis(2_400)));
    assert_eq!(ids(&directory), ["b"]);
}
