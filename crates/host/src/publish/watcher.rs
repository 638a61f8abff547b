//! Keeping the published values up to date from the platform and from peers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use galenaloft_control_plane::LAYOUT_KEY;
use galenaloft_control_plane::ListRead;
use galenaloft_control_plane::SHEET_KEY;
use galenaloft_control_plane::Watched;
use galenaloft_control_plane::wire::HostState as ListedState;
use galenaloft_control_plane::wire::ListedHost;
use galenaloft_control_plane::wire::Role;
use galenaloft_peer::PublishedKey;
use galenaloft_policy::ids::Revision;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::membership::FULL_CORE_CAPACITY;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::HostState;
use galenaloft_policy::revision::Stamp;
use galenaloft_policy::routing::rank_hosts;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use tokio::time::sleep;

use crate::gossip::probe_directly;
use crate::network::Network;
use crate::network::PlatformReader;
use crate::node::Node;
use crate::publish::Alarm;

/// How long one watch waits at the platform.
const WATCH: Duration = Duration::from_secs(8);

/// Pause between two reads of the platform by a host that watches.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Pause after the platform could not be reached, before a random part is added.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Greatest random part of a pause, so that hosts do not return to the platform together.
const JITTER: Duration = Duration::from_secs(1);

/// How often a host that does not watch reads a value itself.
const POLL: Duration = Duration::from_secs(30);

/// How often the host list is read.
const HOST_LIST_PERIOD: Duration = Duration::from_secs(1);

/// Hosts of each availability zone that watch a value; the others learn it from them.
const WATCHERS_PER_ZONE: usize = 2;

/// What each known host adds to that period, so that all hosts together read it at most 400 times
/// a second.
const HOST_LIST_SHARE: Duration = Duration::from_micros(2_500);

/// Longest wait for a value from a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Most peers that a host asks when it starts or wakes.
const MAX_ASKED: usize = 8;

/// Returns the platform's name of a key.
fn name_of(key: PublishedKey) -> &'static str {
    match key {
        PublishedKey::Sheet => SHEET_KEY,
        PublishedKey::Layout => LAYOUT_KEY,
    }
}

/// Version and entity tag that the platform last told of a key.
#[derive(Debug, Default)]
struct Seen {
    version: Revision,
    tag: String,
}

/// Watches one key of the platform as long as this host is one of its zone's watchers, and looks
/// at it now and then otherwise.
///
/// A watch waits for a version above the last one offered, not above the one in force: a version
/// that was refused must not be offered again and again.
pub async fn run_watcher<N: Network>(node: Arc<Node<N>>, key: PublishedKey) {
    let mut seen = Seen::default();
    loop {
        let watches = is_watcher(&node, name_of(key));
        let wait = if watches { WATCH } else { Duration::ZERO };
        let reached = watch(&node, key, &mut seen, wait).await;
        let pause = match (reached, watches) {
            (true, true) => READ_PAUSE,
            (true, false) => POLL + node.jitter(JITTER),
            (false, _) => RETRY_PAUSE + node.jitter(JITTER),
        };
        sleep(pause).await;
    }
}

/// Waits for a version above the one last seen, or for another text under it, and offers it.
/// Returns whether the platform was reached.
async fn watch<N: Network>(
    node: &Node<N>,
    key: PublishedKey,
    seen: &mut Seen,
    wait: Duration,
) -> bool {
    let mut watched = node.platform.watch(name_of(key), seen.version, wait).await;
    if let Ok(Watched::Unchanged { version, tag }) = &watched
        && *version > 0
        && *tag != seen.tag
    {
        seen.tag.clone_from(tag);
        let below = version - 1;
        watched = node.platform.watch(name_of(key), below, Duration::ZERO).await;
    }
    match watched {
        Ok(Watched::Value(value)) => {
            node.offer(key, value.version, &value.value);
            seen.version = value.version;
        }
        Ok(Watched::Unchanged { version, .. }) => seen.version = version,
        Err(e) => {
            node.alarms.raise(Alarm::PlatformUnreachable, &e.to_string());
            return false;
        }
    }
    node.alarms.clear(Alarm::PlatformUnreachable);
    note_platform_version(node, key, seen.version);
    true
}

fn note_platform_version<N: Network>(node: &Node<N>, key: PublishedKey, offered: Revision) {
    let stamps = node.values.stamps();
    let (alarm, stamp) = match key {
        PublishedKey::Sheet => (Alarm::SheetBehind, stamps.sheet),
        PublishedKey::Layout => (Alarm::LayoutBehind, stamps.layout),
    };
    if offered < stamp.revision {
        let reason = format!("version {} is in force, the platform has {offered}", stamp.revision);
        node.alarms.raise(alarm, &reason);
    } else {
        node.alarms.clear(alarm);
    }
}

/// Returns whether this host is one of those of its zone that watch `what` for the others.
fn is_watcher<N: Network>(node: &Node<N>, what: &str) -> bool {
    let members = lock(&node.members);
    let zone = &node.settings.zone;
    let hosts = members.active().filter(|fact| fact.zone == *zone).map(|fact| &fact.host);
    let ranked = rank_hosts(what, hosts);
    ranked.iter().take(WATCHERS_PER_ZONE).any(|host| **host == node.settings.host)
}

/// Asks the platform and some peers until both values are known, before the host reports ready.
pub async fn fetch_at_start<N: Network>(node: &Arc<Node<N>>) {
    loop {
        refresh(node).await;
        if node.values.sheet().is_some() && node.values.layout().is_some() {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Asks the platform and some peers once for both values and for the live hosts, all at the same
/// time.
pub async fn refresh<N: Network>(node: &Arc<Node<N>>) {
    read_host_list(node, &mut String::new()).await;
    let keys = [PublishedKey::Sheet, PublishedKey::Layout];
    let platform =
        keys.map(|key| async move { watch(node, key, &mut Seen::default(), Duration::ZERO).await });
    let peers = node.peers_to_ask(MAX_ASKED).into_iter().map(|address| async move {
        probe_directly(node, address, true).await;
        join_all(keys.map(|key| fetch_from_peer(node, address, key))).await;
    });
    tokio::join!(join_all(platform), join_all(peers));
}

/// Fetches a value from a peer that has a greater one.
pub async fn fetch_from_peer<N: Network>(node: &Node<N>, address: SocketAddr, key: PublishedKey) {
    let stamps = node.values.stamps();
    let than: Stamp = match key {
        PublishedKey::Sheet => stamps.sheet,
        PublishedKey::Layout => stamps.layout,
    };
    let published = node
        .links
        .call(address, PEER_TIMEOUT, |peer, cx| async move { peer.published(cx, key, than).await })
        .await;
    if let Ok(Some(published)) = published {
        node.offer(key, published.revision, &published.text);
    }
}

/// Reads the host list again and again; the larger the fleet, the more seldom each host does.
pub async fn run_host_list<N: Network>(node: Arc<Node<N>>) {
    let mut tag = String::new();
    loop {
        read_host_list(&node, &mut tag).await;
        let hosts = lock(&node.members).facts().count() as u32;
        let period = HOST_LIST_PERIOD.max(HOST_LIST_SHARE * hosts);
        sleep(period + node.jitter(period / 10)).await;
    }
}

/// Reads the host list unless its entity tag is still `tag`.
async fn read_host_list<N: Network>(node: &Node<N>, tag: &mut String) {
    let Ok(ListRead::List(list, new_tag)) = node.platform.hosts(tag).await else {
        return;
    };
    *tag = new_tag;
    let mut leaving = BTreeSet::new();
    for listed in list.hosts {
        match listed.role() {
            Role::EntryHost => learn_entry_host(node, &listed),
            Role::Searcher if listed.state() == ListedState::Leaving => {
                leaving.insert(SearcherId::from(listed.id));
            }
            Role::Searcher | Role::Unspecified => {}
        }
    }
    *lock(&node.leaving) = leaving;
}

fn learn_entry_host<N: Network>(node: &Node<N>, listed: &ListedHost) {
    let Ok(address) = listed.address.parse() else {
        return;
    };
    let fact = HostFact {
        host: listed.id.as_str().into(),
        zone: listed.zone.as_str().into(),
        address,
        capacity: FULL_CORE_CAPACITY,
        incarnation: 0,
        generation: 0,
        state: HostState::Suspect,
        adopted: Vec::new(),
    };
    lock(&node.members).add_listed(fact, now());
}
