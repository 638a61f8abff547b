//! Gossip between edge hosts over UDP: probes, facts about hosts, store updates and reports
//! on searchers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::membership::ALL_FACTS_ROUNDS;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::HostState;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::membership::log_changes;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::evacuation::ZoneChangeSource;
use crate::host::Host;
use crate::peers::limits;
use crate::peers::messages::Datagram;
use crate::peers::messages::Purpose;
use crate::peers::messages::Report;
use crate::peers::suspects;
use crate::peers::suspects::CrashNotice;
use crate::store::PeerNotice;

/// Time between two probe rounds, in each of which one peer is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Number of rounds after which the seeds that are not known as hosts are probed again.
const SEED_PROBE_ROUNDS: u32 = 5;

/// Largest datagram, in bytes: somewhat below the largest UDP payload.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Most changes of the store in one datagram: about 15 KB.
const MAX_CHANGES: usize = 100;

/// Pause between the datagrams of a large update, so that the link of a small host carries them to
/// all hosts of its zone without loss.
const UPDATE_PAUSE: Duration = Duration::from_millis(50);

/// Most facts in one datagram, so that it takes only a few packets of the usual size.
const MAX_FACTS: usize = 32;

/// Where notices of other hosts are sent that a task of their own deals with.
struct NoticeSenders {
    store: UnboundedSender<PeerNotice>,
    crashes: mpsc::Sender<CrashNotice>,
}

/// Exchanges datagrams with the other hosts for as long as the process runs, and sends what they
/// report about the store to `notices`.
pub async fn run(host: Arc<Host>, socket: UdpSocket, notices: UnboundedSender<PeerNotice>) {
    let socket = Arc::new(socket);
    tokio::spawn(probe_peers(host.clone(), socket.clone()));
    tokio::spawn(send_pending(host.clone(), socket.clone()));
    tokio::spawn(limits::exchange(host.clone(), socket.clone()));
    // Holds one notice: later ones repeat it for as long as the hosts differ.
    let (crash_notices, crash_notices_rx) = mpsc::channel(1);
    tokio::spawn(suspects::follow(host.clone(), crash_notices_rx));
    let notices = NoticeSenders { store: notices, crashes: crash_notices };
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (size, sender) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // An earlier datagram was sent to a closed port, which does not affect receiving.
                Event::new("datagram_error").with("why", e).debug();
                continue;
            }
        };
        let bytes = &buf[..size];
        let received = Datagram::decode(bytes).and_then(|datagram| {
            apply_zone_changes(&host, &datagram, bytes)?;
            Ok(datagram)
        });
        match received {
            Ok(datagram) => receive(&host, &socket, &notices, datagram, sender).await,
            Err(e) => Event::new("datagram_unreadable").with("from", sender).with("why", e).warn(),
        }
    }
}

/// Applies the changes of zones in a datagram. They come before its store update, after which this host
/// no longer reads these changes from the store. In a large fleet, representatives pass on to their
/// zone what they learn from another one.
fn apply_zone_changes(host: &Host, datagram: &Datagram, bytes: &[u8]) -> bincode::Result<()> {
    if !host.settings.evacuation {
        return Ok(());
    }
    let zones = datagram.decode_zones(bytes)?;
    let sender = datagram.facts.first();
    let source = ZoneChangeSource::Peer(sender.map(|fact| &fact.host));
    let changed = host.apply_zone_changes(&zones, source);
    let from_other_zone = sender.map(|fact| &fact.zone) != Some(&host.settings.zone);
    if changed && from_other_zone && host.peers.zone_gossip().is_some() {
        host.peers.announce_zone_changes();
    }
    Ok(())
}

/// Checks whether this host's zone is cut off from the other zones, and logs a change.
fn check_cut_off(host: &Host) {
    if host.update_cut_off(now()) {
        Event::new("zone_cut_off").with("cut_off", host.is_cut_off()).warn();
    }
}

/// Handles one datagram of another host.
async fn receive(
    host: &Host,
    socket: &UdpSocket,
    notices: &NoticeSenders,
    datagram: Datagram,
    sender: SocketAddr,
) {
    let zone = datagram.facts.first().map(|fact| fact.zone.clone());
    let sender_id = datagram.facts.first().map(|fact| fact.host.clone());
    host.peers.apply_facts(datagram.facts, datagram.zone_hosts, now());
    check_cut_off(host);
    // Handled before a store update of this datagram, which is taken over whole only by a host that
    // has this configuration.
    if datagram.config > host.config_version() {
        let notice = PeerNotice::NewerConfig {
            version: datagram.config,
            peer: sender,
            in_own_zone: zone.as_ref() == Some(&host.settings.zone),
        };
        // The receiver is never dropped: its task runs as long as the process.
        let _ = notices.store.send(notice);
    }
    if lock(&host.quarantine).may_lack(datagram.crashes, now()) {
        // Fails while an earlier notice is being dealt with.
        let _ = notices.crashes.try_send(CrashNotice { peer: sender, digest: datagram.crashes });
    }
    match datagram.purpose {
        Purpose::Probe { wants_all } => {
            let facts = match &zone {
                Some(zone) if wants_all => host.peers.all_facts_for(zone),
                zone => host.peers.gossip_for(zone.as_ref(), now()),
            };
            for facts in facts.chunks(MAX_FACTS) {
                send(host, socket, sender, facts.to_vec(), Purpose::Reply).await;
            }
        }
        Purpose::Ping => {
            send(host, socket, sender, host.peers.gossip_for(None, now()), Purpose::Reply).await;
        }
        Purpose::Reply => {}
        Purpose::StoreUpdate(update) => {
            let notice = PeerNotice::StoreUpdate { update, config: datagram.config, peer: sender };
            let _ = notices.store.send(notice);
        }
        Purpose::Limits(reports) => {
            if let Some(host_id) = sender_id {
                host.fleet.record_limit_reports(&host_id, &reports, now());
            }
        }
        Purpose::Warmups(reports) => {
            if let Some(host_id) = sender_id {
                host.fleet.record_warmup_reports(&host_id, &reports, now());
            }
        }
        Purpose::Report(report) => {
            let is_new = match &report {
                Report::Crash(crash) => host.record_crash(crash, sender_id.as_ref(), now()),
                Report::Leaving(run) => host.fleet.record_leaving(run),
            };
            let from_other_zone = zone.as_ref() != Some(&host.settings.zone);
            if is_new && from_other_zone && host.peers.zone_gossip().is_some() {
                // In a large fleet only representatives are told of what other zones saw.
                host.peers.forward(report);
            }
        }
    }
}

/// Probes the known hosts in turn, one in each round, and the seeds that are not known as hosts every
/// few rounds. Pings some hosts of other zones if those zones fell silent. In a large fleet, hosts of
/// other zones are probed by the representatives of this zone only, in every other round.
async fn probe_peers(host: Arc<Host>, socket: Arc<UdpSocket>) {
    let mut ticks = interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_probes: Vec<(HostFact, Instant)> = Vec::new();
    let mut round = 0_u32;
    loop {
        ticks.tick().await;
        log_changes(lock(&host.peers.table).expire(now()));
        host.peers.update_zone_gossip(now());
        host.update_sharing_hosts(now());
        check_cut_off(&host);
        for (target, sent) in std::mem::take(&mut last_probes) {
            suspect_if_silent(&host, &socket, &target, sent).await;
        }
        if round.is_multiple_of(SEED_PROBE_ROUNDS) {
            for seed in host.peers.unknown_seeds() {
                send_gossip(&host, &socket, seed, None, Purpose::Probe { wants_all: true }).await;
            }
        }
        round = round.wrapping_add(1);
        for address in host.peers.silent_zone_targets(now()) {
            send(&host, &socket, address, Vec::new(), Purpose::Ping).await;
        }
        let own_zone_target = host.peers.next_probe();
        let probes_other_zones = round.is_multiple_of(2);
        let other_zone_target =
            probes_other_zones.then(|| host.peers.next_other_zone_probe()).flatten();
        for target in own_zone_target.into_iter().chain(other_zone_target) {
            // In its first rounds a host asks for everything, to learn the membership after its start.
            let wants_all = round <= ALL_FACTS_ROUNDS;
            let purpose = Purpose::Probe { wants_all };
            send_gossip(&host, &socket, target.address, Some(&target.zone), purpose).await;
            last_probes.push((target, now()));
        }
    }
}

/// Suspects a host that has not answered the probe sent at `sent`, and sends it the suspicion at
/// once, so that it can refute it.
async fn suspect_if_silent(host: &Host, socket: &UdpSocket, target: &HostFact, sent: Instant) {
    if target.state != HostState::Alive || host.peers.heard_since(&target.host, sent) {
        return;
    }
    log_changes(lock(&host.peers.table).suspect(&target.host, now()));
    let purpose = Purpose::Probe { wants_all: false };
    send_gossip(host, socket, target.address, Some(&target.zone), purpose).await;
}

/// Sends published store updates and reports to the hosts that share them. Woken without either,
/// sends only facts: this host's own state has changed to leaving. Every datagram has the changes of
/// zones; when these are to be announced, the hosts that get nothing else get facts too.
async fn send_pending(host: Arc<Host>, socket: Arc<UdpSocket>) {
    loop {
        host.peers.send_requested.notified().await;
        let update = host.peers.take_update();
        let updates = update.map_or_else(Vec::new, |update| update.split(MAX_CHANGES));
        let reports = host.peers.take_reports();
        let forwarded = host.peers.take_forwarded_reports();
        let announces_zones = host.peers.take_zone_announcement();
        let facts_only = updates.is_empty() && reports.is_empty() && forwarded.is_empty();
        let receivers = host.peers.update_receivers();
        for (position, update) in updates.iter().enumerate() {
            if position > 0 {
                tokio::time::sleep(UPDATE_PAUSE).await;
            }
            for (receiver, zone) in &receivers {
                let purpose = Purpose::StoreUpdate(update.clone());
                send_gossip(&host, &socket, *receiver, Some(zone), purpose).await;
            }
        }
        for (receiver, zone) in receivers {
            let zone = Some(&zone);
            for report in reports.iter().chain(&forwarded) {
                let purpose = Purpose::Report(report.clone());
                send_gossip(&host, &socket, receiver, zone, purpose).await;
            }
            if facts_only {
                send_gossip(&host, &socket, receiver, zone, Purpose::Reply).await;
            }
        }
        for receiver in host.peers.other_representatives() {
            for report in &reports {
                let purpose = Purpose::Report(report.clone());
                send_gossip(&host, &socket, receiver, None, purpose).await;
            }
            if facts_only || announces_zones {
                send_gossip(&host, &socket, receiver, None, Purpose::Reply).await;
            }
        }
    }
}

/// Sends a datagram with the facts that are to be passed on next to a host of that zone, where `None`
/// is an unknown one.
pub(super) async fn send_gossip(
    host: &Host,
    socket: &UdpSocket,
    to: SocketAddr,
    zone: Option<&ZoneId>,
    purpose: Purpose,
) {
    send(host, socket, to, host.peers.gossip_for(zone, now()), purpose).await;
}

/// Sends a datagram with the given facts; a failure is only logged.
async fn send(
    host: &Host,
    socket: &UdpSocket,
    to: SocketAddr,
    facts: Vec<HostFact>,
    purpose: Purpose,
) {
    let zone_hosts = host.peers.own_zone_hosts();
    let crashes = lock(&host.quarantine).digest(now());
    let datagram = Datagram { facts, zone_hosts, config: host.config_version(), crashes, purpose };
    let result = match datagram.encode(&host.zone_changes()) {
        Ok(bytes) if bytes.len() > MAX_DATAGRAM_BYTES => {
            Err(io::Error::other("datagram is too large"))
        }
        Ok(bytes) => socket.send_to(&bytes, to).await.map(drop),
        Err(e) => Err(io::Error::other(e)),
    };
    if let Err(e) = result {
        Event::new("datagram_not_sent").with("to", to).with("why", e).debug();
    }
}

#[cfg(test)]
mod tests;
