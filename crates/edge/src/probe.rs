//! Upkeep of connections and searchers: opens connections ahead of use, asks suspects whether they
//! are back.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_adapter::searcher;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use tokio::time::timeout;

use crate::host::Host;
use crate::searchers::Lease;
use crate::searchers::Searcher;
use crate::searchers::Service;

/// Time between two rounds.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time after the start from which a host that has heard of no other takes itself to be the only
/// one. Until then it cannot tell its share of a searcher's connections.
const ALONE: Duration = Duration::from_secs(2);

/// Time without a new host after which all are taken to be known: each is probed twice a second
/// while a fleet starts.
const SETTLED: Duration = Duration::from_millis(700);

/// Searchers of other zones that are asked in each round while the own zone is cut off.
const OUTSIDE_PROBES: usize = 2;

/// Longest wait for the answer to a health request.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(800);

/// The number of hosts that are known, and since when.
struct KnownHosts {
    count: usize,
    since: Instant,
}

impl KnownHosts {
    fn new(now: Instant) -> Self {
        Self { count: 1, since: now }
    }

    /// Returns whether no host was added for a while.
    fn are_settled(&mut self, count: usize, now: Instant) -> bool {
        if count > self.count {
            self.since = now;
        }
        self.count = count;
        let wait = if count > 1 { SETTLED } else { ALONE };
        now.saturating_duration_since(self.since) >= wait
    }
}

/// Runs for as long as the process does.
pub async fn run(host: Arc<Host>) {
    let mut was_cut_off = false;
    let mut known = KnownHosts::new(now());
    loop {
        tokio::time::sleep(INTERVAL).await;
        let Some(config) = host.config() else {
            continue;
        };
        let cut_off = host.is_cut_off();
        if std::mem::replace(&mut was_cut_off, cut_off) && !cut_off {
            host.fleet.retry_other_zones(now());
        }
        let informed = known.are_settled(host.peers.host_count(), now());
        let mut outside_probes = if cut_off { OUTSIDE_PROBES } else { usize::MAX };
        for (id, service) in host.fleet.services() {
            let Some(spec) = config.services.get(&id) else {
                continue;
            };
            let share = ConnectionShare::new(spec.max_connections as usize, host.sharers());
            for searcher in service.searchers() {
                searcher.close_expired(now());
                if !share.keeps() {
                    searcher.close_idle();
                }
                if searcher.is_draining() {
                    continue;
                }
                let suspect = lock(&searcher.health).wants_probe(now());
                let outside = cut_off && !searcher.local;
                if outside && outside_probes == 0 {
                    continue;
                }
                let cold = searcher.open_connections() == 0
                    && share.opens_ahead(searcher.local)
                    && informed;
                if suspect || outside || cold {
                    outside_probes -= usize::from(outside);
                    let health = suspect || outside;
                    probe(&host, &service, &searcher, share, health.then_some(&spec.health_path));
                }
            }
        }
    }
}

/// Opens a connection, and asks for the searcher's health on it if a path for that is given.
fn probe(
    host: &Arc<Host>,
    service: &Arc<Service>,
    searcher: &Arc<Searcher>,
    share: ConnectionShare,
    path: Option<&String>,
) {
    if searcher.probe_running.swap(true, Ordering::Relaxed) {
        return;
    }
    let Some(lease) = Lease::begin(service, searcher, None, share, now()) else {
        searcher.probe_running.store(false, Ordering::Relaxed);
        return;
    };
    let (host, searcher, path) = (host.clone(), searcher.clone(), path.cloned());
    tokio::spawn(async move {
        let healthy = timeout(HEALTH_TIMEOUT, exchange(lease, path)).await.unwrap_or(false);
        if healthy && !searcher.local {
            host.record_other_zone_answer(now());
        }
        match healthy {
            true => lock(&searcher.health).note_recovered(),
            false => lock(&searcher.health).note_unreachable(now()),
        }
        searcher.probe_running.store(false, Ordering::Relaxed);
    });
}

async fn exchange(mut lease: Lease, path: Option<String>) -> bool {
    let (id, address) = (lease.searcher.entry.id.clone(), lease.searcher.address());
    if lease.connect().await.is_err() {
        return false;
    }
    let Some(path) = path else {
        lease.return_connection(None);
        return true;
    };
    let Some(req) = searcher::health_request(&path, &address.to_string()) else {
        return false;
    };
    let Ok(reply) = lease.exchange(req).await else {
        return false;
    };
    let healthy = searcher::is_healthy(&reply, &id);
    lease.return_connection(searcher::idle_timeout(reply.headers()));
    healthy
}
