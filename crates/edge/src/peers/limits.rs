//! Reports between hosts on the limits of searchers, and the division of these limits.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::directory::SearcherRun;
use galenaloft_policy::notice::LimitReport;
use galenaloft_policy::notice::LimitSharers;
use galenaloft_policy::notice::SharedLimit;
use galenaloft_policy::notice::WarmupReport;
use galenaloft_policy::notice::report_interval;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::net::UdpSocket;

use crate::host::Host;
use crate::peers::gossip::send_gossip;
use crate::peers::messages::Purpose;

/// Shortest time until a limit that begins or ends is reported.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(200);

/// Most reports in one datagram: about 15 KB.
const MAX_REPORTS: usize = 100;

/// Divides the limits of searchers and reports the demand for them to the other hosts, for as long as
/// the process runs. Sends nothing while no searcher has a limit.
pub async fn exchange(host: Arc<Host>, socket: Arc<UdpSocket>) {
    loop {
        if !host.fleet.has_limits() {
            host.fleet.limits_changed.notified().await;
        }
        let started_at = now();
        let sharers = host.peers.limit_sharers(started_at);
        let interval = report_interval(sharers.hosts.len());
        let (limits, warmups) = divide_limits(&host, &sharers, interval, started_at);
        send_reports(&host, &socket, &limits, Purpose::Limits).await;
        send_reports(&host, &socket, &warmups, Purpose::Warmups).await;
        tokio::time::sleep(MIN_CHANGE_INTERVAL).await;
        tokio::select! {
            () = host.fleet.limits_changed.notified() => {}
            () = sleep_until(started_at + interval) => {}
        }
    }
}

/// Reports for the hosts that report their demand one by one, and for the representatives of other zones.
struct Reports<T> {
    to_hosts: Vec<T>,
    to_zones: Vec<T>,
}

impl<T> Reports<T> {
    fn new() -> Self {
        Self { to_hosts: Vec::new(), to_zones: Vec::new() }
    }
}

/// Divides the limits of each searcher, and returns what is to be reported of stated limits and of those
/// of warm-ups.
fn divide_limits(
    host: &Host,
    sharers: &LimitSharers,
    interval: Duration,
    now: Instant,
) -> (Reports<LimitReport>, Reports<WarmupReport>) {
    let (mut limits, mut warmups) = (Reports::new(), Reports::new());
    for searcher in host.fleet.limited(now) {
        let run = searcher.entry.run();
        let mut gate = lock(&searcher.gate);
        if let Some(limit) = gate.shared_limit() {
            let (to_hosts, to_zones) = divide(limit, &run, sharers, interval, now);
            limits.to_hosts.push(to_hosts);
            limits.to_zones.push(to_zones);
        }
        let left = gate.warmup().left(now);
        if let Some(limit) = gate.warmup().shared_limit() {
            let (to_hosts, to_zones) = divide(limit, &run, sharers, interval, now);
            warmups.to_hosts.push(WarmupReport { left, limit: to_hosts });
            warmups.to_zones.push(WarmupReport { left, limit: to_zones });
        }
    }
    (limits, warmups)
}

/// Divides one limit, and returns the reports for hosts and for zones.
fn divide(
    limit: &mut SharedLimit,
    run: &SearcherRun,
    sharers: &LimitSharers,
    interval: Duration,
    now: Instant,
) -> (LimitReport, LimitReport) {
    limit.divide(&run.searcher, sharers, interval, now);
    let report = limit.report(run, now);
    Event::new("limit_divided")
        .with("searcher", &run.searcher)
        .with("limit", report.limit.unwrap_or(f64::INFINITY))
        .with("demand", report.demand)
        .with("rate", limit.part().rate)
        .debug();
    let to_zones = limit.zone_report(run, &sharers.own_zone, now);
    (report, to_zones)
}

/// Sends reports to the hosts that divide limits with this one and, if this host speaks for its zone in
/// a large fleet, to the representatives of other zones.
async fn send_reports<T: Clone>(
    host: &Host,
    socket: &UdpSocket,
    reports: &Reports<T>,
    purpose: fn(Vec<T>) -> Purpose,
) {
    let chunks = reports.to_hosts.chunks(MAX_REPORTS).zip(reports.to_zones.chunks(MAX_REPORTS));
    for (to_hosts, to_zones) in chunks {
        for (receiver, zone) in host.peers.update_receivers() {
            let purpose = purpose(to_hosts.to_vec());
            send_gossip(host, socket, receiver, Some(&zone), purpose).await;
        }
        if !host.peers.speaks_for_zone() {
            continue;
        }
        for receiver in host.peers.other_representatives() {
            let purpose = purpose(to_zones.to_vec());
            send_gossip(host, socket, receiver, None, purpose).await;
        }
    }
}
