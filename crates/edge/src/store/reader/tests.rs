use galenaloft_config::edge::EdgeSettings;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::store::StoreFault;

use super::*;

/// Starts a platform, and a reader on it that has no other host.
async fn start() -> (Scene, StoreReader) {
    let scene = Scene::start(&Layout::default()).await.unwrap();
    let text = format!(
        "host: h1\nzone: a\nlisten:\n  callers: 127.0.0.1:1\n  readiness: 127.0.0.1:2\n  \
         peers: 127.0.0.1:3\n  metrics: 127.0.0.1:4\nstore: {}\n",
        scene.store_address
    );
    let settings = EdgeSettings::parse("h1.yaml", &text).unwrap();
    let reader = StoreReader::new(Arc::new(Host::new(settings, 1)));
    (scene, reader)
}

/// An update of another host without changes of searchers, from the revision that the reader has.
fn next_update(reader: &StoreReader) -> StoreUpdate {
    let after = reader.revision;
    StoreUpdate { after, revision: after + 1, changes: Vec::new(), returned_ago: None }
}

/// Guards against a changed configuration that is lost with the host that read it: its update moved
/// the other hosts past the revision of that configuration.
#[tokio::test]
async fn configuration_is_read_after_the_host_that_reported_it_was_lost() {
    let (scene, mut reader) = start().await;
    reader.read_store().await;
    assert_eq!(reader.host.config_version(), 1);
    scene.configure(&scene.configuration(2));
    // Nothing listens there any more.
    let peer = "127.0.0.1:1".parse().unwrap();
    reader.handle_notice(PeerNotice::NewerConfig { version: 2, peer, in_own_zone: true }).await;
    let update = next_update(&reader);
    reader.handle_notice(PeerNotice::StoreUpdate { update, config: 2 }).await;
    reader.read_store().await;
    assert_eq!(reader.host.config_version(), 2);
}

/// Guards against a position in the store's changes that passes a configuration in several steps: the
/// second update comes from a host that got the configuration in time.
#[tokio::test]
async fn later_updates_do_not_move_past_a_missing_configuration() {
    let (scene, mut reader) = start().await;
    reader.read_store().await;
    let position = reader.revision;
    scene.configure(&scene.configuration(2));
    scene.singles[0].drain();
    let first = next_update(&reader);
    let second =
        StoreUpdate { after: first.revision, revision: first.revision + 1, ..first.clone() };
    for update in [first, second] {
        reader.handle_notice(PeerNotice::StoreUpdate { update, config: 2 }).await;
        assert_eq!(reader.revision, position);
    }
    reader.read_store().await;
    assert_eq!(reader.host.config_version(), 2);
    assert_eq!(reader.revision, position + 2);
}

/// Guards against a searcher that is used after a restart though its entry was gone before: the list
/// came from an older replica than the configuration, and changes were followed from the revision of
/// the configuration on.
#[tokio::test]
async fn removals_between_the_replicas_of_a_first_read_are_seen() {
    for config_is_newer in [true, false] {
        let (scene, mut reader) = start().await;
        let old = scene.store.revision();
        scene.singles[0].deregister();
        let new = scene.store.revision();
        let pages = 4;
        let replicas = match config_is_newer {
            true => [vec![new], vec![old; pages]].concat(),
            false => [vec![old], vec![new; pages]].concat(),
        };
        scene.store.answer_from_replicas(replicas);
        reader.read_store().await;
        assert!(reader.revision >= new, "{} {new}", reader.revision);
        let mut listed = reader.directory.entries();
        assert!(listed.all(|entry| &*entry.id != "a0"), "config_is_newer {config_is_newer}");
    }
}

/// Guards against a configuration that is missed between the replicas of a first read.
#[tokio::test]
async fn a_configuration_between_the_replicas_of_a_first_read_is_seen() {
    let (scene, mut reader) = start().await;
    let old = scene.store.revision();
    scene.configure(&scene.configuration(2));
    scene.store.answer_from_replicas([old]);
    reader.read_store().await;
    assert_eq!(reader.host.config_version(), 2);
}

#[tokio::test]
async fn an_update_of_a_host_with_the_same_configuration_replaces_a_read() {
    let (scene, mut reader) = start().await;
    reader.read_store().await;
    let update = next_update(&reader);
    let revision = update.revision;
    scene.store.set_fault(StoreFault::Silent);
    reader.handle_notice(PeerNotice::StoreUpdate { update, config: 1 }).await;
    assert_eq!(reader.revision, revision);
}
