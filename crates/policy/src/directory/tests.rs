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
        born: 1,
    }
}

fn ids(directory: &Directory) -> Vec<String> {
    directory.entries().map(|entry| entry.id.to_string()).collect()
}

#[test]
fn an_unchanged_heartbeat_is_no_change() {
    let now = Instant::now();
    let mut directory = Directory::default();
    assert!(directory.apply(Change::Written(entry("a", SearcherState::Ready)), now));
    assert!(!directory.apply(Change::Written(entry("a", SearcherState::Ready)), now));
    assert!(directory.apply(Change::Written(entry("a", SearcherState::Draining)), now));
}

#[test]
fn a_removed_entry_is_gone_at_once_while_the_store_is_up() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(Change::Written(entry("a", SearcherState::Ready)), now);
    assert!(directory.apply(Change::Removed("a".into()), now));
    assert!(ids(&directory).is_empty());
}

#[test]
fn an_entry_that_lapsed_with_the_store_is_used_until_it_must_be_back() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.apply(Change::Written(entry("a", SearcherState::Ready)), now);
    directory.apply(Change::Written(entry("b", SearcherState::Draining)), now);
    directory.note_store_failure(now);
    let back = now + Duration::from_secs(5);
    directory.note_store_answer(back);
    directory.replace(Vec::new(), back);
    assert_eq!(ids(&directory), ["a"]);
    assert!(!directory.expire(back + Duration::from_secs(1)));
    assert!(directory.expire(back + Duration::from_millis(2_400)));
    assert!(ids(&directory).is_empty());
}
