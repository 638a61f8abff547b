use super::*;
use crate::ids::StoreRevision;

fn began(zone: &str, revision: StoreRevision) -> ZoneChange {
    ZoneChange { zone: zone.into(), evacuated: true, revision }
}

fn ended(zone: &str, revision: StoreRevision) -> ZoneChange {
    ZoneChange { zone: zone.into(), evacuated: false, revision }
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
    let changed = state.replace(&[began("b", 6), began("d", 9)], 10);
    assert_eq!(changed, [ended("a", 10), began("d", 9)]);
    assert_eq!(in_force(&state), ["b", "c", "d"]);
}

/// Guards against a list of an old replica that undoes newer changes.
#[test]
fn an_older_list_changes_nothing_that_is_newer() {
    let mut state = after(&[began("a", 5), ended("b", 6)]);
    assert_eq!(state.replace(&[began("b", 2)], 4), []);
    assert_eq!(in_force(&state), ["a"]);
}

/// Guards against a host that was cut off all along and evacuates a zone again with what it knew
/// before.
#[test]
fn state_from_before_the_list_of_a_started_host_is_ignored() {
    let mut state = Evacuations::default();
    state.replace(&[], 10);
    assert!(!state.apply(&began("a", 5)));
    assert!(state.apply(&began("a", 11)));
    let mut started = Evacuations::default();
    assert_eq!(started.merge(&state), [began("a", 11)]);
    assert!(!started.apply(&began("b", 5)));
}

#[test]
fn merging_what_a_peer_knows_ends_what_it_knows_to_have_ended() {
    let mut peer = after(&[began("a", 5), ended("b", 8)]);
    peer.replace(&[began("a", 5)], 20);
    let mut state = after(&[began("b", 7), began("c", 9), began("d", 21)]);
    assert_eq!(state.merge(&peer), [began("a", 5), ended("b", 8), ended("c", 20)]);
    assert_eq!(in_force(&state), ["a", "d"]);
    assert_eq!(state.merge(&peer), []);
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
