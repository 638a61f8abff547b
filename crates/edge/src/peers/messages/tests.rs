use galenaloft_policy::directory::SearcherEntry;
use galenaloft_policy::directory::SearcherState;
use galenaloft_policy::ids::StoreRevision;

use super::*;

fn update(after: StoreRevision, revisions: impl Iterator<Item = StoreRevision>) -> StoreUpdate {
    let change = |revision| {
        let change = Change::Removed(format!("s{revision}").into());
        RevisionedChange { change, position: at(revision) }
    };
    let changes: Vec<RevisionedChange> = revisions.map(change).collect();
    StoreUpdate { after: at(after), position: at(4_000), changes, returned_ago: None }
}

fn at(revision: StoreRevision) -> StorePosition {
    StorePosition { era: 3, revision }
}

/// A repartition of a large index changes thousands of entries within a second.
#[test]
fn a_large_update_is_split_into_consecutive_ones_that_fit_into_datagrams() {
    let whole = update(1_000, (1_001..4_000).step_by(2));
    let parts = whole.clone().split(100);
    assert_eq!(parts.len(), 15);
    let mut after = whole.after;
    for part in &parts {
        assert_eq!(part.after, after);
        after = part.position;
        let in_range = |change: &RevisionedChange| {
            change.position > part.after && change.position <= part.position
        };
        assert!(part.changes.iter().all(in_range));
        assert!(bincode::serialize(part).unwrap().len() < 20 * 1024);
    }
    assert_eq!(after, whole.position);
    let changes: Vec<RevisionedChange> = parts.into_iter().flat_map(|part| part.changes).collect();
    assert_eq!(changes, whole.changes);
}

#[test]
fn an_update_without_changes_is_still_sent() {
    let parts = update(1_000, std::iter::empty()).split(100);
    assert_eq!(parts.len(), 1);
    assert_eq!((parts[0].after, parts[0].position), (at(1_000), at(4_000)));
}

fn written(id: &str, state: SearcherState) -> Change {
    Change::Written(SearcherEntry {
        id: id.into(),
        service: "s".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: 2,
        state,
        warmup_left: Duration::ZERO,
        start_time: 1,
    })
}

/// Returns the revisions of the changes that an update passes on, of which the first has 1,001.
fn passed_on(changes: impl IntoIterator<Item = Change>) -> Vec<StoreRevision> {
    let mut whole = update(1_000, std::iter::empty());
    let revisioned = changes.into_iter().zip(1_001..);
    let positioned = |(change, revision)| RevisionedChange { change, position: at(revision) };
    whole.changes = revisioned.map(positioned).collect();
    let parts = whole.split(100);
    parts[0].changes.iter().map(|c| c.position.revision).collect()
}

#[test]
fn draining_is_passed_on_although_the_entry_was_written_again() {
    let changes = [written("x", SearcherState::Draining), written("x", SearcherState::Ready)];
    assert_eq!(passed_on(changes), [1_001, 1_002]);
}

#[test]
fn a_change_is_left_out_if_the_searcher_wrote_its_entry_again() {
    let changes = [
        written("x", SearcherState::Ready),
        written("y", SearcherState::Ready),
        written("x", SearcherState::Draining),
        Change::Removed("x".into()),
    ];
    // That the searcher was draining is known from its last entry, and that it left from its removal.
    assert_eq!(passed_on(changes), [1_002, 1_003, 1_004]);
}

/// Guards against datagrams that grow in deployments that never evacuate a zone.
#[test]
fn changes_of_zones_follow_a_datagram_only_if_there_are_any() {
    let purpose = Purpose::StoreUpdate(update(1, 2..5));
    let crashes = CrashDigest::default();
    let datagram = Datagram { facts: Vec::new(), zone_hosts: 3, config: 7, crashes, purpose };
    let plain = bincode::serialize(&datagram).unwrap();
    assert_eq!(datagram.encode(&[]).unwrap(), plain);
    let zones = [
        ZoneChange { zone: "a".into(), evacuated: true, position: at(9) },
        ZoneChange { zone: "b".into(), evacuated: false, position: at(8) },
    ];
    let bytes = datagram.encode(&zones).unwrap();
    for (bytes, zones) in [(&plain, &[][..]), (&bytes, &zones[..])] {
        let decoded = Datagram::decode(bytes).unwrap();
        assert_eq!((decoded.zone_hosts, decoded.config), (3, 7));
        assert_eq!(decoded.decode_zones(bytes).unwrap(), zones);
    }
    assert!(datagram.decode_zones(&bytes[..bytes.len() - 1]).is_err());
}

/// The bound on the zones that are sent leaves room for the other content of a datagram.
#[test]
fn many_evacuated_zones_fit_into_a_datagram() {
    let mut state = Evacuations::default();
    for revision in 0..200 {
        let zone = format!("{revision:0128}").into();
        state.apply(&ZoneChange { zone, evacuated: true, position: at(revision) });
    }
    let purpose = Purpose::StoreUpdate(update(1, 2..102));
    let crashes = CrashDigest::default();
    let datagram = Datagram { facts: Vec::new(), zone_hosts: 3, config: 7, crashes, purpose };
    assert!(datagram.encode(&state.changes()).unwrap().len() < 20 * 1024);
}
