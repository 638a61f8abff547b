//! Datagrams between hosts: probes, facts and news of the store.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::HostState;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::membership::log_changes;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::host::Host;
use crate::peers::messages::Datagram;
use crate::peers::messages::Purpose;
use crate::store::PeerNotice;

/// How often one peer is probed.
const PERIOD: Duration = Duration::from_millis(200);

/// Probes between two of the seeds that are not known as hosts.
const SEED_EVERY: u32 = 5;

/// Largest datagram, in bytes.
const MAX_DATAGRAM: usize = 60 * 1024;

/// Most facts in one datagram, so that it fits a usual packet a few times over.
const MAX_FACTS: usize = 32;

/// Exchanges datagrams for as long as the process runs.
pub async fn run(host: Arc<Host>, socket: UdpSocket, heard: UnboundedSender<PeerNotice>) {
    let socket = Arc::new(socket);
    tokio::spawn(probe(host.clone(), socket.clone()));
    tokio::spawn(send_news(host.clone(), socket.clone()));
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (size, sender) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // An earlier datagram met a closed port; the next one is read as usual.
                Event::new("datagram_error").with("why", e).debug();
                continue;
            }
        };
        match bincode::deserialize::<Datagram>(&buf[..size]) {
            Ok(datagram) => receive(&host, &socket, &heard, datagram, sender).await,
            Err(e) => Event::new("datagram_unreadable").with("from", sender).with("why", e).warn(),
        }
    }
}

fn look_at_others(host: &Host) {
    if host.update_cut_off(now()) {
        Event::new("zone_cut_off").with("cut_off", host.is_cut_off()).warn();
    }
}

async fn receive(
    host: &Host,
    socket: &UdpSocket,
    heard: &UnboundedSender<PeerNotice>,
    datagram: Datagram,
    sender: SocketAddr,
) {
    host.peers.learn(datagram.facts, now());
    look_at_others(host);
    if datagram.config > host.config_version() {
        // The reader lives as long as the process.
        let _ = heard.send(PeerNotice::NewerConfig(datagram.config));
    }
    match datagram.purpose {
        Purpose::Probe { wants_all } => {
            let facts = match wants_all {
                true => lock(&host.peers.table).all_facts(),
                false => lock(&host.peers.table).gossip(),
            };
            for facts in facts.chunks(MAX_FACTS) {
                send(host, socket, sender, facts.to_vec(), Purpose::Reply).await;
            }
        }
        Purpose::Reply => {}
        Purpose::StoreUpdate(news) => {
            let _ = heard.send(PeerNotice::StoreUpdate(news));
        }
        Purpose::Crash(crash) => {
            host.record_crash(crash, now());
        }
    }
}

/// Probes one host each period, and seeds that are not known yet.
async fn probe(host: Arc<Host>, socket: Arc<UdpSocket>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut asked: Option<(HostFact, Instant)> = None;
    let mut round = 0_u32;
    loop {
        ticks.tick().await;
        log_changes(lock(&host.peers.table).expire(now()));
        host.update_sharers(now());
        look_at_others(&host);
        if let Some((target, at)) = asked.take() {
            check(&host, &socket, &target, at).await;
        }
        if round.is_multiple_of(SEED_EVERY) {
            for seed in host.peers.unknown_seeds() {
                send_gossip(&host, &socket, seed, Purpose::Probe { wants_all: true }).await;
            }
        }
        round = round.wrapping_add(1);
        for address in host.peers.silent_zone_probe_targets(now()) {
            send_gossip(&host, &socket, address, Purpose::Probe { wants_all: false }).await;
        }
        let target = lock(&host.peers.table).next_probe();
        if let Some(target) = target {
            let wants_all = round <= SEED_EVERY;
            send_gossip(&host, &socket, target.address, Purpose::Probe { wants_all }).await;
            asked = Some((target, now()));
        }
    }
}

/// Suspects a host that did not answer its probe, and lets it know at once.
async fn check(host: &Host, socket: &UdpSocket, target: &HostFact, asked: Instant) {
    if target.state != HostState::Alive || host.peers.heard_since(&target.host, asked) {
        return;
    }
    log_changes(lock(&host.peers.table).suspect(&target.host, now()));
    send_gossip(host, socket, target.address, Purpose::Probe { wants_all: false }).await;
}

/// Sends news of the store, or the word that this host is stopping, to all that share it.
async fn send_news(host: Arc<Host>, socket: Arc<UdpSocket>) {
    loop {
        host.peers.outbox_changed.notified().await;
        let news = host.peers.take_update();
        let crashes = host.peers.take_crashes();
        let word = news.is_none() && crashes.is_empty();
        for listener in host.peers.update_receivers() {
            if let Some(news) = &news {
                send_gossip(&host, &socket, listener, Purpose::StoreUpdate(news.clone())).await;
            }
            for crash in &crashes {
                send_gossip(&host, &socket, listener, Purpose::Crash(crash.clone())).await;
            }
            if word {
                send_gossip(&host, &socket, listener, Purpose::Reply).await;
            }
        }
    }
}

async fn send_gossip(host: &Host, socket: &UdpSocket, to: SocketAddr, purpose: Purpose) {
    let facts = lock(&host.peers.table).gossip();
    send(host, socket, to, facts, purpose).await;
}

async fn send(
    host: &Host,
    socket: &UdpSocket,
    to: SocketAddr,
    facts: Vec<HostFact>,
    purpose: Purpose,
) {
    let datagram = Datagram { facts, config: host.config_version(), purpose };
    let result = match bincode::serialize(&datagram) {
        Ok(bytes) if bytes.len() > MAX_DATAGRAM => Err(io::Error::other("too large")),
        Ok(bytes) => socket.send_to(&bytes, to).await.map(drop),
        Err(e) => Err(io::Error::other(e)),
    };
    if let Err(e) = result {
        Event::new("datagram_not_sent").with("to", to).with("why", e).debug();
    }
}
