//! Reports between hosts on the limits of searchers, and the division of these limits.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_policy::notice::LimitReport;
use galenaloft_policy::notice::LimitSharers;
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
        let reports = divide_limits(&host, &sharers, interval, started_at);
        send_reports(&host, &socket, &reports).await;
        tokio::time::sleep(MIN_CHANGE_INTERVAL).await;
        tokio::select! {
            () = host.fleet.limits_changed.notified() => {}
            () = sleep_until(started_at + interval) => {}
        }
    }
}

/// Reports on one searcher.
struct Reports {
    /// For the hosts that report their demand one by one.
    to_hosts: LimitReport,
    /// For the representatives of other zones.
    to_zones: LimitReport,
}

/// Divides the limit of each searcher, and returns what is to be reported.
fn divide_limits(
    host: &Host,
    sharers: &LimitSharers,
    interval: Duration,
    now: Instant,
) -> Vec<Reports> {
    let mut reports = Vec::new();
    for searcher in host.fleet.limited(now) {
        let run = searcher.entry.run();
        let mut gate = lock(&searcher.gate);
        let Some(limit) = gate.shared_limit() else {
            continue;
        };
        limit.divide(&searcher.entry.id, sharers, interval, now);
        let report = limit.report(&run, now);
        Event::new("limit_divided")
            .with("searcher", &run.searcher)
            .with("limit", report.limit.unwrap_or(f64::INFINITY))
            .with("demand", report.demand)
            .with("rate", limit.part().rate)
            .debug();
        let to_zones = limit.zone_report(&run, &sharers.own_zone, now);
        reports.push(Reports { to_hosts: report, to_zones });
    }
    reports
}

/// Sends reports to the hosts that divide limits with this one and, if this host speaks for its zone in
/// a large fleet, to the representatives of other zones.
async fn send_reports(host: &Host, socket: &UdpSocket, reports: &[Reports]) {
    for reports in reports.chunks(MAX_REPORTS) {
        let to_hosts: Vec<LimitReport> = reports.iter().map(|r| r.to_hosts.clone()).collect();
        for (receiver, zone) in host.peers.update_receivers() {
            let purpose = Purpose::Limits(to_hosts.clone());
            send_gossip(host, socket, receiver, Some(&zone), purpose).await;
        }
        if !host.peers.speaks_for_zone() {
            continue;
        }
        let to_zones: Vec<LimitReport> = reports.iter().map(|r| r.to_zones.clone()).collect();
        for receiver in host.peers.other_representatives() {
            let purpose = Purpose::Limits(to_zones.clone());
            send_gossip(host, socket, receiver, None, purpose).await;
        }
    }
}
