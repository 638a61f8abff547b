//! Background maintenance of connections to searchers: closes expired ones, opens connections
//! before they are needed and sends health requests to searchers that failed.

use std::sync::Arc;
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

/// Time between two maintenance rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// Time after its start from which a host that knows no other host assumes that it is the only one.
/// Before that it cannot tell its share of a searcher's connections.
const SINGLE_HOST_DELAY: Duration = Duration::from_secs(2);

/// Time without a new host after which all hosts are assumed to be known. It spans several probe
/// rounds of the gossip, in which a host that has just started learns of further hosts.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_millis(700);

/// Most searchers of other zones that get a health request in each round while this host's zone is
/// cut off. An answer shows the end of the partition; until then most of these requests fail.
const MAX_OTHER_ZONE_PROBES_PER_ROUND: usize = 2;

/// Longest time for connecting to a searcher and getting its answer to a health request.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of known hosts and when it last grew, to detect that the membership is complete.
struct HostCount {
    count: usize,
    last_growth: Instant,
}

impl HostCount {
    fn new(now: Instant) -> Self {
        Self { count: 1, last_growth: now }
    }

    /// Sets the number of known hosts. Returns whether it has not grown for long enough to assume
    /// that all hosts are known.
    fn update(&mut self, count: usize, now: Instant) -> bool {
        if count > self.count {
            self.last_growth = now;
        }
        self.count = count;
        let wait = if count > 1 { MEMBERSHIP_SETTLE_TIME } else { SINGLE_HOST_DELAY };
        now.saturating_duration_since(self.last_growth) >= wait
    }
}

/// Maintains the connections to all searchers for as long as the process runs.
pub async fn run(host: Arc<Host>) {
    let mut was_cut_off = false;
    let mut host_count = HostCount::new(now());
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let Some(config) = host.config() else {
            continue;
        };
        let cut_off = host.is_cut_off();
        if std::mem::replace(&mut was_cut_off, cut_off) && !cut_off {
            host.fleet.retry_other_zones(now());
        }
        let all_hosts_known = host_count.update(host.peers.host_count(), now());
        let mut probes_left = if cut_off { MAX_OTHER_ZONE_PROBES_PER_ROUND } else { usize::MAX };
        for (id, service) in host.fleet.services() {
            let Some(spec) = config.services.get(&id) else {
                continue;
            };
            let share = ConnectionShare::new(spec.max_connections as usize, host.sharing_hosts());
            for searcher in service.searchers() {
                searcher.close_expired(now());
                if !share.keeps_connections() || searcher.is_evacuated() {
                    searcher.close_idle();
                }
                if !searcher.is_permitted() {
                    continue;
                }
                let probe_due = lock(&searcher.health).needs_probe(now());
                let behind_partition = cut_off && !searcher.local;
                if behind_partition && probes_left == 0 {
                    continue;
                }
                let should_preconnect = searcher.open_connections() == 0
                    && share.preconnects(searcher.local)
                    && all_hosts_known;
                probes_left -= usize::from(behind_partition);
                let probe = if lock(&searcher.gate).begin_limit_check(now()) {
                    Probe::Limit(spec.health_path.clone())
                } else if probe_due || behind_partition {
                    Probe::Health(spec.health_path.clone())
                } else if should_preconnect {
                    Probe::Connect
                } else {
                    continue;
                };
                probe_searcher(&host, &service, &searcher, share, probe);
            }
        }
    }
}

/// What a probe does.
enum Probe {
    /// It opens a connection.
    Connect,
    /// It sends a health request to the path.
    Health(String),
    /// It sends a health request to the path, although the searcher's limit may leave none.
    Limit(String),
}

/// Opens a connection to a searcher in the background and, unless the probe only connects, sends a
/// health request on it. Records the result in the searcher's health. Does nothing while an earlier
/// probe is running, the searcher is at its connection limit or it takes no requests from this host.
fn probe_searcher(
    host: &Arc<Host>,
    service: &Arc<Service>,
    searcher: &Arc<Searcher>,
    share: ConnectionShare,
    probe: Probe,
) {
    let Some(running) = searcher.begin_probe() else {
        return;
    };
    let (lease, health_path) = match probe {
        Probe::Connect => (Lease::reserve(service, searcher, None, share, now()), None),
        Probe::Health(path) => (Lease::begin(service, searcher, None, share, now()), Some(path)),
        Probe::Limit(path) => (Lease::reserve(service, searcher, None, share, now()), Some(path)),
    };
    let Some(lease) = lease else {
        return;
    };
    let (host, searcher) = (host.clone(), searcher.clone());
    tokio::spawn(async move {
        let succeeded = timeout(HEALTH_TIMEOUT, connect_and_check(&host, lease, health_path)).await;
        let succeeded = succeeded.unwrap_or(false);
        if succeeded && !searcher.local {
            host.record_other_zone_answer(now());
        }
        match succeeded {
            true => lock(&searcher.health).record_recovered(),
            // The probe may have ended only because the evacuation began.
            false if searcher.is_evacuated() => {}
            false => lock(&searcher.health).record_unreachable(now()),
        }
        drop(running);
    });
}

/// Connects and, if a path is given, checks the searcher's health. Returns whether the searcher was
/// reached and, where its health was checked, reported itself healthy.
async fn connect_and_check(host: &Host, mut lease: Lease, health_path: Option<String>) -> bool {
    let (id, address) = (lease.searcher.entry.id.clone(), lease.searcher.address());
    if lease.connect().await.is_err() {
        return false;
    }
    let Some(path) = health_path else {
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
    host.record_notice(&lease.searcher, &reply, now());
    // The answer to a health check names no request. A second copy of a rejection that came on this
    // connection later would stand where the answer to a request is due.
    if healthy {
        lease.return_connection(searcher::idle_timeout(reply.headers()));
    }
    healthy
}
