//! Keeps the published values and the host list up to date from the platform and from peers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use galenaloft_control_plane::HostListRead;
use galenaloft_control_plane::LAYOUT_KEY;
use galenaloft_control_plane::SHEET_KEY;
use galenaloft_control_plane::WatchOutcome;
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

/// How long the platform may hold one watch before it replies that nothing has changed.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause between two watches of a host that watches a value, and between two checks whether a host has
/// to watch it.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// Pause after the platform could not be reached. A random part is added to it when a host watches or
/// polls.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Greatest random part of a pause, so that hosts do not all contact the platform at the same time.
const MAX_JITTER: Duration = Duration::from_secs(1);

/// Pause between two reads of a host that does not watch a value, before a random part is added.
const POLL_PERIOD: Duration = Duration::from_secs(30);

/// Shortest time between two reads of the host list.
const MIN_HOST_LIST_PERIOD: Duration = Duration::from_secs(1);

/// Number of hosts per availability zone that watch a value; the others get it from them.
const WATCHERS_PER_ZONE: usize = 2;

/// Time between two reads of the host list per known host, which applies once it exceeds the
/// minimum. All hosts together then read the list at most 400 times per second.
const HOST_LIST_PERIOD_PER_HOST: Duration = Duration::from_micros(2_500);

/// Longest wait for a value from a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// Greatest number of peers that a host asks for values when it starts or resumes after a pause.
const MAX_QUERIED_PEERS: usize = 8;

/// Returns the name of a key on the platform.
fn platform_key(key: PublishedKey) -> &'static str {
    match key {
        PublishedKey::Sheet => SHEET_KEY,
        PublishedKey::Layout => LAYOUT_KEY,
    }
}

/// Version and entity tag of a key that were last read from the platform.
#[derive(Debug, Default)]
struct LastRead {
    version: Revision,
    tag: String,
}

/// Watches one key of the platform while this host is one of the watchers of its zone, and reads it
/// every [`POLL_PERIOD`] otherwise.
///
/// A watch waits for a version above the last one read, not above the current one of this host:
/// otherwise a version that was refused would be offered again and again.
pub async fn run_watcher<N: Network>(node: Arc<Node<N>>, key: PublishedKey) {
    let mut last_read = LastRead::default();
    loop {
        let watches = is_watcher(&node, platform_key(key));
        let wait = if watches { WATCH_TIMEOUT } else { Duration::ZERO };
        let reached = watch(&node, key, &mut last_read, wait).await;
        match (reached, watches) {
            (true, true) => sleep(READ_PAUSE).await,
            (true, false) => wait_to_poll(&node, key).await,
            (false, _) => sleep(RETRY_PAUSE + node.jitter(MAX_JITTER)).await,
        }
    }
}

/// Waits for the next read of a host that does not watch a key, or until it becomes a watcher because
/// another one of its zone was lost.
async fn wait_to_poll<N: Network>(node: &Node<N>, key: PublishedKey) {
    let next_poll = now() + POLL_PERIOD + node.jitter(MAX_JITTER);
    while now() < next_poll && !is_watcher(node, platform_key(key)) {
        sleep(READ_PAUSE).await;
    }
}

/// Waits for a version above the last one read, and offers it. If the version is unchanged but its
/// entity tag is not, a different text was published under the same version; that text is read and
/// offered as well. Returns whether the platform was reached.
async fn watch<N: Network>(
    node: &Node<N>,
    key: PublishedKey,
    last_read: &mut LastRead,
    wait: Duration,
) -> bool {
    let mut watched = node.platform.watch(platform_key(key), last_read.version, wait).await;
    if let Ok(WatchOutcome::Unchanged { version, tag }) = &watched
        && *version > 0
        && *tag != last_read.tag
    {
        let tag = tag.clone();
        let previous_version = version - 1;
        watched = node.platform.watch(platform_key(key), previous_version, Duration::ZERO).await;
        if watched.is_ok() {
            last_read.tag = tag;
        }
    }
    match watched {
        Ok(WatchOutcome::Value(value)) => {
            node.offer(key, value.version, &value.value);
            last_read.version = value.version;
        }
        Ok(WatchOutcome::Unchanged { version, .. }) => last_read.version = version,
        Err(e) => {
            node.alarms.raise(Alarm::PlatformUnreachable, &e.to_string());
            return false;
        }
    }
    node.alarms.clear(Alarm::PlatformUnreachable);
    update_behind_alarm(node, key, last_read.version);
    true
}

/// Raises the alarm for a platform that has an older version than this host, or clears it.
fn update_behind_alarm<N: Network>(node: &Node<N>, key: PublishedKey, platform_version: Revision) {
    let stamps = node.values.stamps();
    let (alarm, stamp) = match key {
        PublishedKey::Sheet => (Alarm::SheetBehind, stamps.sheet),
        PublishedKey::Layout => (Alarm::LayoutBehind, stamps.layout),
    };
    if platform_version < stamp.revision {
        let reason = format!(
            "the current version is {}, but the platform has version {platform_version}",
            stamp.revision
        );
        node.alarms.raise(alarm, &reason);
    } else {
        node.alarms.clear(alarm);
    }
}

/// Returns whether this host is one of the hosts that watch `key_name` for their zone.
fn is_watcher<N: Network>(node: &Node<N>, key_name: &str) -> bool {
    let members = lock(&node.members);
    let zone = &node.settings.zone;
    let hosts = members.active().filter(|fact| fact.zone == *zone).map(|fact| &fact.host);
    let ranked = rank_hosts(key_name, hosts);
    ranked.iter().take(WATCHERS_PER_ZONE).any(|host| **host == node.settings.host)
}

/// Asks the platform and some peers until both values are known. The host is not ready before.
pub async fn fetch_initial_values<N: Network>(node: &Arc<Node<N>>) {
    loop {
        refresh_values(node).await;
        if node.values.sheet().is_some() && node.values.layout().is_some() {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Reads the host list, then asks the platform and some peers concurrently for both values. The peers
/// are also probed for all their facts about hosts.
pub async fn refresh_values<N: Network>(node: &Arc<Node<N>>) {
    read_host_list(node, &mut String::new()).await;
    let keys = [PublishedKey::Sheet, PublishedKey::Layout];
    let platform = keys
        .map(|key| async move { watch(node, key, &mut LastRead::default(), Duration::ZERO).await });
    let peers = node.peers_to_ask(MAX_QUERIED_PEERS).into_iter().map(|address| async move {
        probe_directly(node, address, true).await;
        join_all(keys.map(|key| fetch_from_peer(node, address, key))).await;
    });
    tokio::join!(join_all(platform), join_all(peers));
}

/// Asks a peer for a value newer than the current one, and offers it if the peer has one.
pub async fn fetch_from_peer<N: Network>(node: &Node<N>, address: SocketAddr, key: PublishedKey) {
    let stamps = node.values.stamps();
    let own_stamp: Stamp = match key {
        PublishedKey::Sheet => stamps.sheet,
        PublishedKey::Layout => stamps.layout,
    };
    let published =
        node.links
            .call(address, PEER_TIMEOUT, |peer, cx| async move {
                peer.published(cx, key, own_stamp).await
            })
            .await;
    if let Ok(Some(published)) = published {
        node.offer(key, published.revision, &published.text);
    }
}

/// Reads the host list periodically. The period grows with the number of known hosts.
pub async fn run_host_list_reader<N: Network>(node: Arc<Node<N>>) {
    let mut tag = String::new();
    loop {
        read_host_list(&node, &mut tag).await;
        let hosts = lock(&node.members).facts().count() as u32;
        let period = MIN_HOST_LIST_PERIOD.max(HOST_LIST_PERIOD_PER_HOST * hosts);
        sleep(period + node.jitter(period / 10)).await;
    }
}

/// Reads the host list unless its entity tag still equals `tag`, and applies it: adds entry hosts to
/// the members and replaces the set of leaving searchers.
async fn read_host_list<N: Network>(node: &Node<N>, tag: &mut String) {
    let Ok(HostListRead::List(list, new_tag)) = node.platform.hosts(tag).await else {
        return;
    };
    *tag = new_tag;
    let mut leaving = BTreeSet::new();
    for listed in list.hosts {
        match listed.role() {
            Role::EntryHost => add_entry_host(node, &listed),
            Role::Searcher if listed.state() == ListedState::Leaving => {
                leaving.insert(SearcherId::from(listed.id));
            }
            Role::Searcher | Role::Unspecified => {}
        }
    }
    *lock(&node.leaving_searchers) = leaving;
}

/// Adds a listed entry host to the members. It is suspected until it replies to a probe.
fn add_entry_host<N: Network>(node: &Node<N>, listed: &ListedHost) {
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

#[cfg(test)]
mod tests;
