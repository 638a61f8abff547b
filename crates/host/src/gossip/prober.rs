//! Probes one peer per period: directly, then through other hosts if it does not reply.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use galenaloft_peer::Probe;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::HostState;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::membership::log_changes;
use galenaloft_runtime::sync::lock;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::network::Network;
use crate::node::Node;
use crate::publish::fetch_from_peer;

/// Time between two probes of this host.
const PROBE_PERIOD: Duration = Duration::from_millis(200);

/// Longest wait for the reply to a direct probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of hosts through which a peer is probed if it does not reply to a direct probe.
const RELAY_COUNT: usize = 2;

/// Probes one peer per period until the task is aborted. Asks for all facts until a peer has replied
/// once.
pub async fn run_prober<N: Network>(node: Arc<Node<N>>) {
    let mut ticks = interval(PROBE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut wants_all = true;
    loop {
        ticks.tick().await;
        log_changes(lock(&node.members).expire(now()));
        let Some(target) = lock(&node.members).next_probe() else {
            continue;
        };
        if probe(&node, &target, wants_all).await {
            wants_all = false;
        }
    }
}

/// Probes a peer directly, then through relays if it does not reply and is considered alive. Marks it
/// as suspected if no relay reaches it either. Returns whether it replied to the direct probe.
async fn probe<N: Network>(node: &Arc<Node<N>>, target: &HostFact, wants_all: bool) -> bool {
    if probe_directly(node, target.address, wants_all).await {
        return true;
    }
    if target.state != HostState::Alive {
        return false;
    }
    let relays = lock(&node.members).relays(&target.host, RELAY_COUNT);
    let probes = relays.iter().map(|relay| probe_through(node, relay, target));
    if !join_all(probes).await.contains(&true) {
        log_changes(lock(&node.members).suspect(&target.host, now()));
    }
    false
}

/// Probes a peer directly and applies its reply. Returns whether it replied.
pub async fn probe_directly<N: Network>(
    node: &Arc<Node<N>>,
    address: SocketAddr,
    wants_all: bool,
) -> bool {
    let probe = build_probe(node, wants_all, false);
    let reply = node
        .links
        .call(address, PROBE_TIMEOUT, |peer, cx| async move { peer.probe(cx, probe).await })
        .await;
    match reply {
        Ok(reply) => {
            apply_probe(node, reply);
            true
        }
        Err(_) => false,
    }
}

/// Asks `relay` to probe `target`. Returns whether `target` replied to it.
async fn probe_through<N: Network>(node: &Node<N>, relay: &HostFact, target: &HostFact) -> bool {
    let target = target.clone();
    let limit = PROBE_TIMEOUT * 2;
    let call = node
        .links
        .call(relay.address, limit, |peer, cx| async move { peer.probe_through(cx, target).await });
    call.await.unwrap_or(false)
}

/// Applies a probe from a peer and returns the reply.
pub fn answer_probe<N: Network>(node: &Arc<Node<N>>, probe: Probe) -> Probe {
    let wants_all = probe.wants_all;
    apply_probe(node, probe);
    build_probe(node, false, wants_all)
}

/// Builds a probe or a reply, with all known facts or with the next facts to gossip.
fn build_probe<N: Network>(node: &Node<N>, wants_all: bool, include_all: bool) -> Probe {
    let mut members = lock(&node.members);
    let facts = if include_all { members.all_facts() } else { members.gossip() };
    Probe { stamps: node.values.stamps(), facts, wants_all }
}

/// Applies the facts of a probe or a reply, and fetches published values that its sender has and this
/// host lacks. The first fact is about the sender.
fn apply_probe<N: Network>(node: &Arc<Node<N>>, probe: Probe) {
    let sender = probe.facts.first().map(|fact| fact.address);
    let present = now();
    for fact in probe.facts {
        log_changes(lock(&node.members).apply(fact, present));
    }
    let Some(sender) = sender else {
        return;
    };
    for key in node.values.keys_to_fetch(probe.stamps) {
        let node = node.clone();
        tokio::spawn(async move { fetch_from_peer(&node, sender, key).await });
    }
}
