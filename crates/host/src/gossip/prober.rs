//! One probe a period, direct and then through others.

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

/// How often one peer is probed.
const PERIOD: Duration = Duration::from_millis(200);

/// Longest wait for the reply to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Hosts through which a silent peer is probed again.
const RELAYS: usize = 2;

/// Probes one peer each period, for ever.
pub async fn run_prober<N: Network>(node: Arc<Node<N>>) {
    let mut ticks = interval(PERIOD);
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

/// Probes a peer, directly and then through others. Returns whether it replied itself.
async fn probe<N: Network>(node: &Arc<Node<N>>, target: &HostFact, wants_all: bool) -> bool {
    if probe_directly(node, target.address, wants_all).await {
        return true;
    }
    if target.state != HostState::Alive {
        return false;
    }
    let relays = lock(&node.members).relays(&target.host, RELAYS);
    let probes = relays.iter().map(|relay| probe_through(node, relay, target));
    if !join_all(probes).await.contains(&true) {
        log_changes(lock(&node.members).suspect(&target.host, now()));
    }
    false
}

/// Probes a peer directly. Returns whether it replied.
pub async fn probe_directly<N: Network>(
    node: &Arc<Node<N>>,
    address: SocketAddr,
    wants_all: bool,
) -> bool {
    let probe = message(node, wants_all, false);
    let reply = node
        .links
        .call(address, PROBE_TIMEOUT, |peer, cx| async move { peer.probe(cx, probe).await })
        .await;
    match reply {
        Ok(reply) => {
            learn(node, reply);
            true
        }
        Err(_) => false,
    }
}

async fn probe_through<N: Network>(node: &Node<N>, relay: &HostFact, target: &HostFact) -> bool {
    let target = target.clone();
    let limit = PROBE_TIMEOUT * 2;
    let call = node
        .links
        .call(relay.address, limit, |peer, cx| async move { peer.probe_through(cx, target).await });
    call.await.unwrap_or(false)
}

/// Answers a peer's probe.
pub fn answer_probe<N: Network>(node: &Arc<Node<N>>, probe: Probe) -> Probe {
    let wants_all = probe.wants_all;
    learn(node, probe);
    message(node, false, wants_all)
}

fn message<N: Network>(node: &Node<N>, wants_all: bool, gives_all: bool) -> Probe {
    let mut members = lock(&node.members);
    let facts = if gives_all { members.all_facts() } else { members.gossip() };
    Probe { stamps: node.values.stamps(), facts, wants_all }
}

/// Learns from a probe or a reply, whose first fact is about its sender.
fn learn<N: Network>(node: &Arc<Node<N>>, probe: Probe) {
    let sender = probe.facts.first().map(|fact| fact.address);
    let present = now();
    for fact in probe.facts {
        log_changes(lock(&node.members).apply(fact, present));
    }
    let Some(sender) = sender else {
        return;
    };
    for key in node.values.wanted(probe.stamps) {
        let node = node.clone();
        tokio::spawn(async move { fetch_from_peer(&node, sender, key).await });
    }
}
