use std::time::Instant;

use galenaloft_config::edge::EdgeSettings;
use galenaloft_policy::quarantine::Crash;
use galenaloft_policy::quarantine::QuarantineStatus;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::*;

/// A host that exchanges datagrams and answers calls, and knows the others as seeds.
async fn start_host(name: &str, zone: &str, ip: &str, port: u16, seeds: &str) -> Arc<Host> {
    let text = format!(
        "host: {name}\nzone: {zone}\nlisten:\n  callers: {ip}:1\n  readiness: {ip}:2\n  peers: \
         {ip}:{port}\n  metrics: {ip}:4\nstore: 127.0.0.1:5\nseeds: [{seeds}]\n"
    );
    let host = Arc::new(Host::new(EdgeSettings::parse("host.yaml", &text).unwrap(), 1));
    let socket = UdpSocket::bind(host.settings.listen.peers).await.unwrap();
    let listener = TcpListener::bind(host.settings.listen.peers).await.unwrap();
    // No task reads the notices about the store.
    let (tx, _) = mpsc::unbounded_channel();
    tokio::spawn(crate::peers::run(host.clone(), socket, tx));
    tokio::spawn(crate::peers::serve(host.clone(), listener));
    host
}

fn record(host: &Host, fingerprint: u64, searchers: &[&str]) {
    for searcher in searchers {
        let crash = Crash { fingerprint, searcher: (*searcher).into() };
        assert!(host.record_crash(&crash, None, now()));
    }
}

async fn wait_until_all_refuse(hosts: &[Arc<Host>], fingerprint: u64) {
    let began = Instant::now();
    let refuses = |host: &Arc<Host>| {
        lock(&host.quarantine).status(fingerprint, now()) == QuarantineStatus::Quarantined
    };
    while !hosts.iter().all(refuses) {
        assert!(began.elapsed() < Duration::from_secs(4), "{fingerprint} is not refused by all");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against hosts that never learn of crashes whose report was lost, or was sent before they
/// started or while they were cut off: each then lets the request crash three searchers again.
#[tokio::test]
async fn crashes_that_no_report_tells_of_become_known_to_all_hosts() {
    let seeds = "127.71.0.1:1, 127.71.0.2:1";
    let mut hosts = vec![
        start_host("h1", "a", "127.71.0.1", 28900, seeds).await,
        start_host("h2", "b", "127.71.0.2", 28900, seeds).await,
    ];
    // Recorded without a report, as if its datagrams were lost.
    record(&hosts[0], 1, &["s1", "s2", "s3"]);
    wait_until_all_refuse(&hosts, 1).await;
    // No host alone knows enough crashes.
    record(&hosts[0], 2, &["s1", "s2"]);
    record(&hosts[1], 2, &["s4"]);
    wait_until_all_refuse(&hosts, 2).await;
    hosts.push(start_host("h3", "c", "127.71.0.3", 28900, seeds).await);
    wait_until_all_refuse(&hosts, 1).await;
    wait_until_all_refuse(&hosts, 2).await;
    assert_eq!(lock(&hosts[2].quarantine).counts(now()), (0, 2));
}

/// Guards against crashes that stay within a zone of a large fleet, where only representatives speak with
/// other zones.
#[tokio::test]
async fn crashes_become_known_in_all_zones_of_a_large_fleet() {
    let seeds = "127.72.0.1:1, 127.72.1.1:1, 127.72.2.1:1";
    let mut hosts = Vec::new();
    for (number, zone) in ["a", "b", "c"].into_iter().enumerate() {
        for i in 1..=10 {
            let (name, ip) = (format!("{zone}{i}"), format!("127.72.{number}.{i}"));
            hosts.push(start_host(&name, zone, &ip, 28900, seeds).await);
        }
    }
    let began = Instant::now();
    let is_divided =
        |host: &Arc<Host>| host.peers.own_zone_hosts() == 10 && host.peers.zone_gossip().is_some();
    while !hosts.iter().all(is_divided) {
        assert!(began.elapsed() < Duration::from_secs(15), "the hosts do not know each other");
        sleep(Duration::from_millis(20)).await;
    }
    let Some(teller) = hosts.iter().find(|host| !host.peers.speaks_for_zone()) else {
        panic!("all hosts are representatives");
    };
    record(teller, 1, &["s1", "s2", "s3"]);
    wait_until_all_refuse(&hosts, 1).await;
}
