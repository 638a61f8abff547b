//! Keeping the published values up to date from the platform and from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use galenaloft_peer::PublishedKey;
use galenaloft_platform::LAYOUT_KEY;
use galenaloft_platform::SHEET_KEY;
use galenaloft_platform::Watched;
use galenaloft_platform::wire::HostState as ListedState;
use galenaloft_platform::wire::ListedHost;
use galenaloft_platform::wire::Role;
use galenaloft_policy::ids::Revision;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::HostState;
use galenaloft_policy::revision::Stamp;
use galenaloft_policy::routing::ranking;
use tokio::time::sleep;

use crate::clock::now;
use crate::edges::Edges;
use crate::edges::PlatformLink;
use crate::gossip::probe_directly;
use crate::node::Node;
use crate::publish::Alarm;
use crate::sync::lock;

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

/// Watches one key of the platform as long as this host is one of its zone's watchers, and reads
/// it now and then otherwise.
///
/// A watch waits for a version above the last one offered, not above the one in force: a version
/// that was refused must not be offered again and again.
pub async fn run_watcher<E: Edges>(node: Arc<Node<E>>, key: PublishedKey) {
    let mut seen = 0;
    loop {
        let watches = is_watcher(&node, key);
        if watches {
            seen = watch(&node, key, seen, WATCH).await.unwrap_or(seen);
        }
        // A second text under the version last seen is noticed only by reading it again.
        let read = watch(&node, key, seen.saturating_sub(1), Duration::ZERO).await;
        seen = read.unwrap_or(seen);
        let pause = match (read, watches) {
            (Some(_), true) => READ_PAUSE,
            (Some(_), false) => POLL + node.jitter(JITTER),
            (None, _) => RETRY_PAUSE + node.jitter(JITTER),
        };
        sleep(pause).await;
    }
}

/// Waits for a version above `after` and offers it. Returns the platform's version, or `None` if
/// the platform was not reached.
async fn watch<E: Edges>(
    node: &Node<E>,
    key: PublishedKey,
    after: Revision,
    wait: Duration,
) -> Option<Revision> {
    let offered = match node.platform.watch(name_of(key), after, wait).await {
        Ok(Watched::Value(value)) => {
            node.offer(key, value.version, &value.value);
            value.version
        }
        Ok(Watched::Unchanged(version)) => version,
        Err(e) => {
            node.alarms
                .raise(Alarm::PlatformUnreachable, &e.to_string());
            return None;
        }
    };
    node.alarms.clear(Alarm::PlatformUnreachable);
    note_platform_version(node, key, offered);
    Some(offered)
}

fn note_platform_version<E: Edges>(node: &Node<E>, key: PublishedKey, offered: Revision) {
    let stamps = node.values.stamps();
    let (alarm, stamp) = match key {
        PublishedKey::Sheet => (Alarm::SheetBehind, stamps.sheet),
        PublishedKey::Layout => (Alarm::LayoutBehind, stamps.layout),
    };
    if offered < stamp.revision {
        let reason = format!(
            "version {} is in force, the platform has {offered}",
            stamp.revision
        );
        node.alarms.raise(alarm, &reason);
    } else {
        node.alarms.clear(alarm);
    }
}

fn is_watcher<E: Edges>(node: &Node<E>, key: PublishedKey) -> bool {
    let members = lock(&node.members);
    let zone = &node.settings.zone;
    let hosts = members
        .working()
        .filter(|fact| fact.zone == *zone)
        .map(|fact| &fact.host);
    let ranked = ranking(name_of(key), hosts);
    ranked
        .iter()
        .take(WATCHERS_PER_ZONE)
        .any(|host| **host == node.settings.host)
}

/// Asks the platform and some peers until both values are known, before the host reports ready.
pub async fn fetch_at_start<E: Edges>(node: &Arc<Node<E>>) {
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
pub async fn refresh<E: Edges>(node: &Arc<Node<E>>) {
    read_host_list(node).await;
    let keys = [PublishedKey::Sheet, PublishedKey::Layout];
    let platform = keys.map(|key| watch(node, key, 0, Duration::ZERO));
    let peers = node
        .peers_to_ask(MAX_ASKED)
        .into_iter()
        .map(|address| async move {
            probe_directly(node, address, true).await;
            join_all(keys.map(|key| fetch_from_peer(node, address, key))).await;
        });
    tokio::join!(join_all(platform), join_all(peers));
}

/// Fetches a value from a peer that has a greater one.
pub async fn fetch_from_peer<E: Edges>(node: &Node<E>, address: SocketAddr, key: PublishedKey) {
    let stamps = node.values.stamps();
    let than: Stamp = match key {
        PublishedKey::Sheet => stamps.sheet,
        PublishedKey::Layout => stamps.layout,
    };
    let published = node
        .links
        .call(address, PEER_TIMEOUT, |peer, cx| async move {
            peer.published(cx, key, than).await
        })
        .await;
    if let Ok(Some(published)) = published {
        node.offer(key, published.revision, &published.text);
    }
}

/// Reads the host list now and then.
pub async fn run_host_list<E: Edges>(node: Arc<Node<E>>) {
    loop {
        read_host_list(&node).await;
        sleep(HOST_LIST_PERIOD + node.jitter(JITTER / 10)).await;
    }
}

async fn read_host_list<E: Edges>(node: &Node<E>) {
    let Ok(list) = node.platform.hosts().await else {
        return;
    };
    for listed in list.hosts {
        match listed.role() {
            Role::EntryHost => learn_entry_host(node, &listed),
            Role::Searcher if listed.state() == ListedState::Leaving => {
                node.note_leaving(&listed.id.as_str().into());
            }
            Role::Searcher | Role::Unspecified => {}
        }
    }
}

fn learn_entry_host<E: Edges>(node: &Node<E>, listed: &ListedHost) {
    let Ok(address) = listed.address.parse() else {
        return;
    };
    let fact = HostFact {
        host: listed.id.as_str().into(),
        zone: listed.zone.as_str().into(),
        address,
        incarnation: 0,
        generation: 0,
        state: HostState::Suspect,
        adopted: Vec::new(),
    };
    lock(&node.members).learn_listed(fact, now());
}
