use std::collections::BTreeSet;

use galenaloft_config::edge::EdgeSettings;
use galenaloft_platform_standin::scene::Layout;
use galenaloft_platform_standin::scene::Scene;
use galenaloft_platform_standin::store::StoreFault;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::*;

/// Starts a platform, and a reader on it that has no other host.
async fn start() -> (Scene, StoreReader) {
    start_with("").await
}

/// Starts a platform, and a reader on it that has these settings besides the required ones.
async fn start_with(settings: &str) -> (Scene, StoreReader) {
    let scene = Scene::start(&Layout::default()).await.unwrap();
    let reader = reader_of(scene.store_address, settings);
    (scene, reader)
}

/// Returns a reader of a store.
fn reader_of(store: SocketAddr, settings: &str) -> StoreReader {
    let text = format!(
        "host: h1\nzone: a\nlisten:\n  callers: 127.0.0.1:1\n  readiness: 127.0.0.1:2\n  \
         peers: 127.0.0.1:3\n  metrics: 127.0.0.1:4\nstore: {store}\n{settings}"
    );
    let settings = EdgeSettings::parse("h1.yaml", &text).unwrap();
    StoreReader::new(Arc::new(Host::new(settings, 1)))
}

/// An update of another host without changes of searchers, from the revision that the reader has.
fn next_update(reader: &StoreReader) -> StoreUpdate {
    update_after(reader.position.unwrap())
}

/// An update of another host without changes of searchers, for the next revision after a position.
fn update_after(after: StorePosition) -> StoreUpdate {
    let position = StorePosition { revision: after.revision + 1, ..after };
    StoreUpdate { after, position, changes: Vec::new(), returned_ago: None }
}

/// An address at which no host listens.
fn nobody() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

/// Returns the revision of the store up to which a reader knows it.
fn known_revision(reader: &StoreReader) -> u64 {
    reader.position.unwrap().revision
}

/// Guards against a changed configuration that is lost with the host that read it: its update moved
/// the other hosts past the revision of that configuration.
#[tokio::test]
async fn configuration_is_read_after_the_host_that_reported_it_was_lost() {
    let (scene, mut reader) = start().await;
    reader.read_store().await;
    assert_eq!(reader.host.config_version(), 1);
    scene.configure(&scene.configuration(2));
    let peer = nobody();
    reader.handle_notice(PeerNotice::NewerConfig { version: 2, peer, in_own_zone: true }).await;
    let update = next_update(&reader);
    reader.handle_notice(PeerNotice::StoreUpdate { update, config: 2, peer: nobody() }).await;
    reader.read_store().await;
    assert_eq!(reader.host.config_version(), 2);
}

/// Guards against a position in the store's changes that passes a configuration in several steps: the
/// second update comes from a host that got the configuration in time.
#[tokio::test]
async fn later_updates_do_not_move_past_a_missing_configuration() {
    let (scene, mut reader) = start().await;
    reader.read_store().await;
    let position = reader.position.unwrap();
    scene.configure(&scene.configuration(2));
    scene.singles[0].drain();
    let first = next_update(&reader);
    let second = update_after(first.position);
    for update in [first, second] {
        reader.handle_notice(PeerNotice::StoreUpdate { update, config: 2, peer: nobody() }).await;
        assert_eq!(reader.position, Some(position));
    }
    reader.read_store().await;
    assert_eq!(reader.host.config_version(), 2);
    assert_eq!(known_revision(&reader), position.revision + 2);
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
        assert!(known_revision(&reader) >= new, "{} {new}", known_revision(&reader));
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
    let position = update.position;
    scene.store.set_fault(StoreFault::Silent);
    reader.handle_notice(PeerNotice::StoreUpdate { update, config: 1, peer: nobody() }).await;
    assert_eq!(reader.position, Some(position));
}

const EVACUATION: &str = "evacuation: true\n";

fn evacuated(reader: &StoreReader) -> Vec<String> {
    reader.host.evacuations().in_force().iter().map(ToString::to_string).collect()
}

/// Guards against a first list of an old replica, which lacks an evacuation or has one that ended.
#[tokio::test]
async fn a_first_read_knows_the_evacuated_zones_whatever_replica_it_came_from() {
    let (scene, mut reader) = start_with(EVACUATION).await;
    scene.store.evacuate("b");
    let old = scene.store.revision();
    scene.store.evacuate("a");
    scene.store.end_evacuation("b");
    scene.store.answer_from_replicas([old]);
    reader.read_store().await;
    assert_eq!(evacuated(&reader), ["a"]);
    assert!(reader.host.searchers_loaded.load(Ordering::Relaxed));
    assert!(!reader.host.fleet.service(&"archive".into()).has_permitted_searcher());
    assert_eq!(reader.host.config_version(), 1);
}

/// Guards against an end that is missed because the store lost the history with it.
#[tokio::test]
async fn an_end_is_seen_in_the_list_after_the_history_is_gone() {
    let (scene, mut reader) = start_with(EVACUATION).await;
    scene.store.evacuate("a");
    reader.read_store().await;
    scene.store.end_evacuation("a");
    scene.store.evacuate("b");
    scene.store.compact();
    reader.read_store().await;
    reader.read_store().await;
    assert_eq!(evacuated(&reader), ["b"]);
    assert!(reader.host.fleet.service(&"archive".into()).has_permitted_searcher());
}

/// Guards against a host that starts without the store and uses the searchers of a zone that its peer
/// knows to be evacuated.
#[tokio::test]
async fn a_view_of_a_peer_has_the_evacuated_zones() {
    let (scene, mut peer) = start_with(EVACUATION).await;
    scene.store.evacuate("a");
    peer.read_store().await;
    let (_, mut reader) = start_with(EVACUATION).await;
    reader.adopt_view(peer.host.store_view().unwrap());
    assert_eq!(evacuated(&reader), ["a"]);
    assert!(!reader.host.fleet.service(&"archive".into()).has_permitted_searcher());
}

/// Guards against an effect, or other calls of the store, where the setting does not enable it.
#[tokio::test]
async fn without_the_setting_evacuations_are_neither_read_nor_taken_over() {
    let (scene, mut reader) = start().await;
    scene.store.evacuate("a");
    let before = scene.store.calls();
    reader.read_store().await;
    // The configuration, four pages of searchers and the changes.
    assert_eq!(scene.store.calls() - before, 6);
    scene.store.evacuate("b");
    reader.read_store().await;
    let (other_scene, mut peer) = start_with(EVACUATION).await;
    other_scene.store.evacuate("a");
    peer.read_store().await;
    let (_, mut started) = start().await;
    started.adopt_view(peer.host.store_view().unwrap());
    for reader in [reader, started] {
        assert!(evacuated(&reader).is_empty() && reader.host.zone_changes().is_empty());
        assert!(reader.host.fleet.service(&"archive".into()).has_permitted_searcher());
    }
}

/// Writes the entry of some searcher so often, as heartbeats do.
fn write_heartbeats(scene: &Scene, count: u64) {
    (0..count).for_each(|_| scene.singles[1].register_again());
}

/// Guards against a configuration that is never adopted (review/12): the store came back from a copy and
/// has passed, has reached or is still below the revision that the reader knew.
#[tokio::test]
async fn a_configuration_of_the_restored_store_is_adopted_whatever_its_revision() {
    for written_since in [0, 1, 2, 3, 40] {
        let (scene, mut reader) = start().await;
        let copy = scene.store.revision();
        write_heartbeats(&scene, 3);
        reader.read_store().await;
        assert_eq!(known_revision(&reader), copy + 3);
        scene.store.restore(copy);
        scene.configure(&scene.configuration(2));
        write_heartbeats(&scene, written_since);
        reader.read_store().await;
        assert_eq!(reader.host.config_version(), 2, "{written_since}");
        let position = StorePosition { era: 2, revision: copy + 1 + written_since };
        assert_eq!(reader.position, Some(position));
    }
}

/// Guards against an older configuration that comes back with the copy, and against one of a later era
/// that is missed after two restores.
#[tokio::test]
async fn the_greatest_configuration_stays_in_force_over_two_restores() {
    let (scene, mut reader) = start().await;
    let copy = scene.store.revision();
    scene.configure(&scene.configuration(5));
    reader.read_store().await;
    scene.store.restore(copy);
    reader.read_store().await;
    assert_eq!(reader.host.config_version(), 5);
    scene.configure(&scene.configuration(5));
    let second_copy = scene.store.revision();
    scene.configure(&scene.configuration(8));
    scene.store.restore(second_copy);
    scene.configure(&scene.configuration(7));
    write_heartbeats(&scene, 9);
    reader.read_store().await;
    assert_eq!(reader.host.config_version(), 7);
    assert_eq!(reader.position.unwrap().era, 3);
}

/// Guards against a host that follows the updates of others into the restored store's history without
/// having read what changed with it.
#[tokio::test]
async fn an_update_of_another_era_does_not_move_the_position() {
    let (scene, mut reader) = start().await;
    reader.read_store().await;
    let known = reader.position.unwrap();
    let later = StorePosition { era: 2, revision: 2 };
    let earlier = StorePosition { era: 0, revision: 999 };
    for update in [update_after(later), update_after(earlier)] {
        reader.handle_notice(PeerNotice::StoreUpdate { update, config: 1, peer: nobody() }).await;
        assert_eq!(reader.position, Some(known));
    }
    scene.store.restore(known.revision - 1);
    scene.configure(&scene.configuration(2));
    reader.read_store().await;
    assert_eq!(reader.host.config_version(), 2);
}

/// Guards against a first read, whose answers may be old, that mixes two eras, and against a restore that
/// counts as an outage without end.
#[tokio::test]
async fn a_first_read_over_two_eras_is_repeated_with_current_answers() {
    for eras in [["1", "2", "2", "2", "2"], ["2", "1", "1", "1", "1"], ["1", "1", "1", "1", "2"]] {
        let (scene, mut reader) = start().await;
        scene.store.state_eras_in_turn(&eras.map(|era| vec![era]));
        reader.read_store().await;
        assert_eq!((reader.position, reader.freshness), (None, Freshness::Current), "{eras:?}");
        assert!(!reader.store_failed);
        scene.store.state_eras_in_turn(&[vec!["2"]]);
        reader.read_store().await;
        assert_eq!(reader.position.map(|position| position.era), Some(2), "{eras:?}");
        assert_eq!(reader.host.config_version(), 1);
    }
}

/// Serves calls of other hosts for a reader's host. Returns its address.
async fn serve_peers(reader: &StoreReader) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(crate::peers::serve(reader.host.clone(), listener));
    address
}

fn listed(reader: &StoreReader) -> Vec<String> {
    let single = reader.directory.entries().filter(|entry| &*entry.service == "archive");
    single.map(|entry| entry.id.to_string()).collect()
}

/// Guards against a host that cannot read the store and stays in the era before the restore for good: no
/// change tells of what is missing from the restored store.
#[tokio::test]
async fn a_host_that_cannot_read_the_store_gets_the_restored_content_from_a_peer() {
    let (scene, mut peer) = start_with(EVACUATION).await;
    let copy = scene.store.revision();
    scene.store.evacuate("a");
    peer.read_store().await;
    let (other_scene, mut reader) = start_with(EVACUATION).await;
    other_scene.store.set_fault(StoreFault::Silent);
    reader.adopt_view(peer.host.store_view().unwrap());
    reader.read_store().await;
    assert!(reader.store_failed);
    scene.singles[0].deregister();
    scene.store.restore(copy);
    scene.singles[0].deregister();
    scene.store.evacuate("b");
    scene.configure(&scene.configuration(2));
    peer.read_store().await;
    let address = serve_peers(&peer).await;
    let update = update_after(peer.position.unwrap());
    reader.handle_notice(PeerNotice::StoreUpdate { update, config: 2, peer: address }).await;
    assert_eq!(reader.position, peer.position);
    assert_eq!(reader.host.config_version(), 2);
    assert_eq!(evacuated(&reader), ["a", "b"]);
    assert_eq!(listed(&reader), ["a0", "a1"]);
    let later = now() + Duration::from_secs(5);
    reader.directory.settle(later);
    reader.host.end_lost_evacuations(later);
    assert_eq!(listed(&reader), ["a1"]);
    assert_eq!(evacuated(&reader), ["b"]);
    // A view or an update of the earlier era changes nothing any more.
    let (_, mut behind) = start_with(EVACUATION).await;
    behind.read_store().await;
    let known = reader.position.unwrap();
    reader.adopt_view(behind.host.store_view().unwrap());
    let update = update_after(StorePosition { era: 1, revision: 9_999 });
    reader.handle_notice(PeerNotice::StoreUpdate { update, config: 2, peer: address }).await;
    assert_eq!((reader.position, listed(&reader)), (Some(known), vec!["a1".to_owned()]));
}

/// What the operator and the searchers have written last, whatever the store has lost of it.
#[derive(Debug, Default)]
struct Written {
    searchers: BTreeSet<usize>,
    zones: BTreeSet<&'static str>,
    config: u64,
}

impl Written {
    /// Changes something at random, and writes it.
    fn change(&mut self, scene: &Scene, rng: &mut StdRng) {
        match rng.random_range(0..4) {
            0 => self.config += rng.random_range(1..3),
            1 => toggle(&mut self.zones, ["b", "c", "d"][rng.random_range(0..3)]),
            _ => toggle(&mut self.searchers, rng.random_range(0..scene.singles.len())),
        }
        self.write_all(scene, |_| rng.random_bool(0.5));
    }

    /// Writes those things again that are chosen.
    fn write_all(&self, scene: &Scene, mut is_chosen: impl FnMut(&str) -> bool) {
        if is_chosen("config") {
            scene.configure(&scene.configuration(self.config));
        }
        for zone in ["b", "c", "d"].into_iter().filter(|zone| is_chosen(zone)) {
            match self.zones.contains(zone) {
                true => scene.store.evacuate(zone),
                false => scene.store.end_evacuation(zone),
            }
        }
        for (index, searcher) in scene.singles.iter().enumerate() {
            if is_chosen(&searcher.spec.id) {
                match self.searchers.contains(&index) {
                    true => searcher.register_again(),
                    false => searcher.deregister(),
                }
            }
        }
    }
}

fn toggle<T: Ord>(set: &mut BTreeSet<T>, member: T) {
    if !set.remove(&member) {
        set.insert(member);
    }
}

/// Plays changes, restores, reads and updates in a random order, and asserts that all hosts know in the end
/// what was written last: two that read the store, one of which can be without it, and one that never can.
async fn play_restores(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let scene = Scene::start(&Layout { singles: 5, ..Layout::default() }).await.unwrap();
    let mut written = Written { searchers: (0..5).collect(), zones: BTreeSet::new(), config: 1 };
    let stores = [scene.store_address, scene.store_address, nobody()];
    let mut readers = stores.map(|store| reader_of(store, EVACUATION));
    let mut addresses = Vec::new();
    for reader in &mut readers {
        addresses.push(serve_peers(reader).await);
        reader.read_store().await;
    }
    let view = readers[0].host.store_view().unwrap();
    readers[2].adopt_view(view);
    readers[2].read_store().await;
    let mut sent: Vec<PeerNotice> = Vec::new();
    for _ in 0..50 {
        match rng.random_range(0..10) {
            0..4 => written.change(&scene, &mut rng),
            4 => {
                let lost = rng.random_range(0..12).min(scene.store.revision() - 1);
                scene.store.restore((scene.store.revision() - lost).max(60));
                written.write_all(&scene, |_| rng.random_bool(0.5));
            }
            5..8 => {
                let index = rng.random_range(0..2);
                readers[index].read_store().await;
                if let Some(update) = readers[index].host.peers.take_update() {
                    let config = readers[index].host.config_version();
                    sent.push(PeerNotice::StoreUpdate { update, config, peer: addresses[index] });
                }
            }
            _ if !sent.is_empty() => {
                let notice = sent.swap_remove(rng.random_range(0..sent.len()));
                readers[rng.random_range(0..3)].handle_notice(notice).await;
            }
            _ => {}
        }
    }
    scene.store.restore(scene.store.revision() - 1);
    written.write_all(&scene, |_| true);
    for notice in sent {
        readers[rng.random_range(0..3)].handle_notice(notice).await;
    }
    for _ in 0..2 {
        readers[0].read_store().await;
        readers[1].read_store().await;
    }
    let update = readers[0].host.peers.take_update().unwrap();
    let config = readers[0].host.config_version();
    let notice = PeerNotice::StoreUpdate { update, config, peer: addresses[0] };
    readers[2].handle_notice(notice).await;
    let later = now() + Duration::from_secs(10);
    let ids: Vec<String> = written.searchers.iter().map(|index| format!("a{index}")).collect();
    for (index, reader) in readers.iter_mut().enumerate() {
        reader.directory.settle(later);
        reader.host.end_lost_evacuations(later);
        let name = format!("seed {seed}, reader {index}");
        assert_eq!(listed(reader), ids, "{name}");
        assert_eq!(evacuated(reader), written.zones.iter().copied().collect::<Vec<_>>(), "{name}");
        assert_eq!(reader.host.config_version(), written.config, "{name}");
    }
}

/// Guards against hosts that disagree for good after the store came back from copies: by the order of
/// their reads, by updates that come late or not at all, or as they cannot read the store.
#[tokio::test(flavor = "multi_thread")]
async fn hosts_agree_after_restores_in_any_order() {
    for seed in 0..20 {
        play_restores(seed).await;
    }
}
