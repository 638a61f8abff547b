use galenaloft_config::edge::EdgeSettings;
use galenaloft_policy::evacuation::ZoneChange;
use galenaloft_policy::quarantine::CrashDigest;
use galenaloft_policy::store_position::StorePosition;

use super::*;

fn host(zone: &str, settings: &str) -> Host {
    let text = format!(
        "host: h1\nzone: {zone}\nlisten:\n  callers: 127.0.0.1:1\n  readiness: 127.0.0.1:2\n  \
         peers: 127.0.0.1:3\n  metrics: 127.0.0.1:4\nstore: 127.0.0.1:5\n{settings}"
    );
    Host::new(EdgeSettings::parse("h1.yaml", &text).unwrap(), 1)
}

/// Guards against a begin or an end that a host never learns because the datagram with the store
/// update was lost: any later datagram has the changes too.
#[tokio::test]
async fn every_datagram_tells_of_evacuations() {
    let sender = host("b", "evacuation: true\n");
    let receiver = host("a", "evacuation: true\n");
    let without_setting = host("a", "");
    for (era, revision, evacuated) in [(1, 5, true), (1, 6, false), (1, 7, true), (2, 3, false)] {
        let position = StorePosition { era, revision };
        sender.apply_zone_changes(
            &[ZoneChange { zone: "a".into(), evacuated, position }],
            ZoneChangeSource::Store,
        );
        for purpose in [Purpose::Probe { wants_all: false }, Purpose::Reply, Purpose::Ping] {
            let facts = vec![lock(&sender.peers.table).own().clone()];
            let crashes = CrashDigest::default();
            let datagram = Datagram { facts, zone_hosts: 1, config: 0, crashes, purpose };
            let bytes = datagram.encode(&sender.zone_changes()).unwrap();
            let received = Datagram::decode(&bytes).unwrap();
            for host in [&receiver, &without_setting] {
                apply_zone_changes(host, &received, &bytes).unwrap();
            }
            assert_eq!(receiver.evacuations().in_force().len(), usize::from(evacuated));
            assert_eq!(receiver.fleet.has_evacuated_zones(), evacuated);
            assert!(!without_setting.fleet.has_evacuated_zones());
        }
    }
}
