//! The state of hosts.

use std::fmt::Write;
use std::net::SocketAddr;

use galenaloft_operator::OperatorError;
use galenaloft_operator::wire::HostStatus;

/// Returns the state of hosts as tables.
pub fn hosts(states: &[(SocketAddr, Result<HostStatus, OperatorError>)]) -> String {
    let mut text = String::new();
    row(&mut text, &["HOST", "ZONE", "STATE", "SHEET", "LAYOUT", "PEERS", "WAITING", "TICKETS"]);
    for (address, state) in states {
        match state {
            Ok(status) => row(&mut text, &host_row(status)),
            Err(e) => text += &format!("{address}: {e}\n"),
        }
    }
    let known: Vec<&HostStatus> = states.iter().filter_map(|s| s.1.as_ref().ok()).collect();
    kinds(&mut text, &known);
    for status in known {
        for alarm in &status.alarms {
            text += &format!("ALARM {} {alarm}\n", status.host);
        }
    }
    text
}

fn host_row(status: &HostStatus) -> [String; 8] {
    let state = match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "starting",
    };
    let alive = status.peers.iter().filter(|peer| peer.state == "alive").count();
    let waiting: u32 = status.searchers.iter().map(|searcher| searcher.waiting).sum();
    let hash = status.sheet_hash.get(..6).unwrap_or_default();
    [
        status.host.clone(),
        status.zone.clone(),
        state.to_owned(),
        format!("{}/{hash}", status.revision),
        status.layout_version.to_string(),
        format!("{alive}/{}", status.peers.len()),
        waiting.to_string(),
        format!("{}+{}", status.tickets_running, status.tickets_stored),
    ]
}

fn kinds(text: &mut String, hosts: &[&HostStatus]) {
    if hosts.iter().all(|host| host.kinds.is_empty()) {
        return;
    }
    *text += "\n";
    row(text, &["HOST", "KIND", "RANK", "ANSWERED", "PARTIAL", "REFUSED", "P50 MS", "P99 MS"]);
    for host in hosts {
        for kind in &host.kinds {
            let cells = [
                host.host.clone(),
                kind.kind.clone(),
                kind.rank.to_string(),
                kind.answered.to_string(),
                kind.incomplete.to_string(),
                kind.refused.to_string(),
                kind.p50_ms.to_string(),
                kind.p99_ms.to_string(),
            ];
            row(text, &cells);
        }
    }
}

fn row<T: AsRef<str>>(text: &mut String, cells: &[T]) {
    let mut line = String::new();
    for cell in cells {
        write!(line, "{:<16}", cell.as_ref()).expect("writing to a string succeeds");
    }
    *text += line.trim_end();
    *text += "\n";
}
