use std::time::Duration;
use std::time::Instant;

use super::*;
use crate::ids::StoreEra;
use crate::ids::StoreRevision;
use crate::store_position::StorePosition;

fn at(revision: StoreRevision) -> StorePosition {
    StorePosition { era: 1, revision }
}

/// Returns the same change in another era.
fn in_era(era: StoreEra, change: ZoneChange) -> ZoneChange {
    ZoneChange { position: StorePosition { era, ..change.position }, ..change }
}

fn began(zone: &str, revision: StoreRevision) -> ZoneChange {
    ZoneChange { zone: zone.into(), evacuated: true, position: at(revision) }
}

fn ended(zone: &str, revision: StoreRevision) -> ZoneChange {
    ZoneChange { zone: zone.into(), evacuated: false, position: at(revision) }
}

fn in_force(state: &Evacuations) -> Vec<String> {
    state.in_force().iter().map(ToString::to_string).collect()
}

fn after(changes: &[ZoneChange]) -> Evacuations {
    let mut state = Evacuations::default();
    for change in changes {
        state.apply(change);
    }
    state
}

/// Guards against hosts that differ for good because datagrams arrived in another order, late or
/// twice.
#[test]
fn every_order_of_the_same_changes_gives_the_same_zones() {
    let changes = [began("a", 5), ended("a", 8), began("a", 9), began("b", 6), ended("b", 7)];
    let mut orders = vec![Vec::new()];
    for change in &changes {
        let insert = |order: &Vec<ZoneChange>, at: usize| {
            let mut order = order.clone();
            order.insert(at, change.clone());
            order
        };
        orders = orders
            .iter()
            .flat_map(|order| (0..=order.len()).map(|at| insert(order, at)).collect::<Vec<_>>())
            .collect();
    }
    assert_eq!(orders.len(), 120);
    for order in orders {
        let mut state = after(&order);
        assert_eq!(in_force(&state), ["a"], "{order:?}");
        assert!(!order.iter().any(|change| state.apply(change)), "{order:?}");
        assert_eq!(in_force(&state), ["a"], "{order:?}");
    }
}

#[test]
fn only_changes_of_what_is_in_force_are_reported() {
    let mut state = Evacuations::default();
    assert!(!state.apply(&ended("a", 3)));
    assert!(state.apply(&began("a", 4)));
    assert!(!state.apply(&began("a", 5)));
    assert!(!state.apply(&ended("a", 4)));
    assert!(state.apply(&ended("a", 6)));
}

/// Guards against an evacuation that never ends because its end was lost with the store's history.
#[test]
fn a_list_ends_the_evacuations_that_it_lacks_unless_they_began_later() {
    let mut state = after(&[began("a", 5), began("b", 6), began("c", 12)]);
    let changed = state.replace(&[began("b", 6), began("d", 9)], at(10), Instant::now());
    assert_eq!(changed, [ended("a", 10), began("d", 9)]);
    assert_eq!(in_force(&state), ["b", "c", "d"]);
}

/// Guards against a list of an old replica that undoes newer changes.
#[test]
fn an_older_list_changes_nothing_that_is_newer() {
    let mut state = after(&[began("a", 5), ended("b", 6)]);
    assert_eq!(state.replace(&[began("b", 2)], at(4), Instant::now()), []);
    assert_eq!(in_force(&state), ["a"]);
}

/// Guards against a host that was cut off all along and evacuates a zone again with what it knew
/// before.
#[test]
fn state_from_before_the_list_of_a_started_host_is_ignored() {
    let mut state = Evacuations::default();
    state.replace(&[], at(10), Instant::now());
    assert!(!state.apply(&began("a", 5)));
    assert!(state.apply(&began("a", 11)));
    let mut started = Evacuations::default();
    assert_eq!(started.merge(&state, Instant::now()), [began("a", 11)]);
    assert!(!started.apply(&began("b", 5)));
}

#[test]
fn merging_what_a_peer_knows_ends_what_it_knows_to_have_ended() {
    let mut peer = after(&[began("a", 5), ended("b", 8)]);
    let now = Instant::now();
    peer.replace(&[began("a", 5)], at(20), now);
    let mut state = after(&[began("b", 7), began("c", 9), began("d", 21)]);
    assert_eq!(state.merge(&peer, now), [began("a", 5), ended("b", 8), ended("c", 20)]);
    assert_eq!(in_force(&state), ["a", "d"]);
    assert_eq!(state.merge(&peer, now), []);
}

/// Guards against memory and datagrams that grow with the number of keys ever written.
#[test]
fn ends_of_many_evacuations_are_forgotten_and_evacuated_zones_are_not() {
    let mut state = after(&[began("a", 1)]);
    for revision in 2..1_000 {
        state.apply(&ended(&format!("z{revision}"), revision));
    }
    let changes = state.changes();
    assert_eq!(
        (changes.len(), &changes[0], &changes[1]),
        (64, &began("a", 1), &ended("z999", 999))
    );
    let many: Vec<ZoneChange> = (1..100).map(|n| began(&format!("y{n}"), 2_000 + n)).collect();
    many.iter().for_each(|change| assert!(state.apply(change)));
    assert_eq!(state.in_force().len(), 100);
    assert_eq!(state.changes().len(), 64);
}

/// Guards against an evacuation or its end that every host ignores (review/13): after the store came back
/// from a copy, its revision is below that of an earlier change or list.
#[test]
fn changes_of_the_restored_store_count_whatever_their_revision() {
    let mut state = after(&[began("a", 131), ended("a", 184)]);
    state.replace(&[], at(190), Instant::now());
    assert!(state.apply(&in_era(2, began("a", 171))));
    assert!(state.apply(&in_era(2, began("b", 20))));
    assert!(state.apply(&in_era(2, ended("a", 172))));
    assert_eq!(in_force(&state), ["b"]);
    assert!(!state.apply(&began("a", 999)));
    assert!(!state.apply(&ended("b", 999)));
    assert_eq!(state.replace(&[began("a", 5)], at(999), Instant::now()), []);
    assert_eq!(in_force(&state), ["b"]);
}

/// Guards against a zone that is used again because the copy is older than its evacuation, before the
/// operator can write it again, and against one that is never used again.
#[test]
fn evacuations_that_the_copy_lacks_stay_in_force_until_they_had_time_to_be_written_again() {
    let now = Instant::now();
    let second = Duration::from_secs(1);
    let list_at = StorePosition { era: 2, revision: 80 };
    let mut state = after(&[began("a", 90), began("b", 91), began("c", 92)]);
    assert_eq!(state.replace(&[], list_at, now), []);
    assert!(!state.apply(&in_era(2, began("a", 81))));
    assert!(state.apply(&in_era(2, ended("b", 82))));
    assert_eq!(state.replace(&[in_era(2, began("a", 81))], list_at, now + second), []);
    assert_eq!(state.end_lost(now + 4 * second), []);
    assert_eq!(in_force(&state), ["a", "c"]);
    let lost = ZoneChange { zone: "c".into(), evacuated: false, position: list_at };
    assert_eq!(state.end_lost(now + 5 * second), [lost]);
    assert_eq!(state.end_lost(now + 6 * second), []);
    assert!(!state.apply(&began("c", 92)));
    assert_eq!(in_force(&state), ["a"]);
}
