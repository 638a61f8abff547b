//! Failures of real processes: kills, freezes, outages, races, planned stops and bad input.

mod fleet;

use std::time::Duration;

use galenaloft_caller::CallerError;
use galenaloft_caller::wire::Verdict;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::fleet::sheet;

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_searcher_lowers_the_coverage_truthfully() {
    let fleet = Fleet::start(31_000, 2).await;
    let whole = fleet.search(0).await.unwrap();
    assert!(whole.complete);
    fleet.fault("entries-3", "killed").await;
    let part = fleet.search(1).await.unwrap();
    let coverage = part.coverage.clone().unwrap();
    let missing: Vec<u32> = coverage.missing.iter().map(|m| m.shard).collect();
    assert_eq!((part.verdict(), part.complete, missing), (Verdict::Ran, false, vec![3]));
    assert_eq!(coverage.total, 60);
    assert_eq!(coverage.covered + coverage.missing[0].documents, 60);
    fleet.fault("entries-3", "none").await;
    let healed = async |fleet: &Fleet| fleet.search(1).await.is_ok_and(|answer| answer.complete);
    fleet.until("the answer is whole again", healed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_issuer_leaves_its_copies_and_never_a_second_run() {
    let mut fleet = Fleet::start(31_200, 3).await;
    let (done, unused) = (fleet.ticket(0).await, fleet.ticket(0).await);
    let receipt = fleet.file(1, &done).await.unwrap();
    let copied = async |fleet: &Fleet| {
        fleet.file(2, &done).await.is_ok_and(|again| again.receipt == receipt.receipt)
    };
    fleet.until("a repeat gets the receipt", copied).await;
    sleep(Duration::from_millis(200)).await;
    fleet.kill(0);
    let again = fleet.file(2, &done).await.unwrap();
    assert_eq!((again.receipt, again.replayed), (receipt.receipt, true));
    let lost = fleet.file(1, &unused).await.unwrap_err();
    assert_eq!(lost.verdict(), Verdict::MayHaveRun);
    assert_eq!((fleet.runs(&done).await, fleet.runs(&unused).await), (1, 0));
}

/// Guards against outcomes that are lost once their issuer was killed and the hosts that keep copies were
/// restarted in turn.
#[tokio::test(flavor = "multi_thread")]
async fn copies_of_outcomes_outlive_restarts_of_the_hosts_that_keep_them() {
    let mut fleet = Fleet::start(30_400, 3).await;
    let ticket = fleet.ticket(0).await;
    let receipt = fleet.file(1, &ticket).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    fleet.kill(0);
    for host in [1, 2] {
        fleet.kill(host);
        fleet.start_host(host);
        fleet.wait_for_peers(host, 1).await;
        sleep(Duration::from_secs(2)).await;
    }
    for host in [1, 2] {
        let again = fleet.file(host, &ticket).await.unwrap();
        assert_eq!((&again.receipt, again.replayed), (&receipt.receipt, true));
    }
    assert_eq!(fleet.runs(&ticket).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_issuer_runs_its_ticket_at_most_once_and_asks_before_it_works_again() {
    let fleet = Fleet::start(31_400, 3).await;
    let ticket = fleet.ticket(0).await;
    fleet.signal(0, "STOP");
    let frozen = fleet.file(1, &ticket).await.unwrap_err();
    assert_eq!(frozen.verdict(), Verdict::MayHaveRun);
    fleet.publish(&sheet(9)).await;
    let others = async |fleet: &Fleet| fleet.status(1).await.is_some_and(|s| s.revision == 2);
    fleet.until("the others have the new sheet", others).await;
    sleep(Duration::from_millis(1_200)).await;
    fleet.signal(0, "CONT");
    fleet.until("the pause is noticed", async |fleet| fleet.logged(0, "process_paused")).await;
    fleet.until("it resumes", async |fleet| fleet.logged(0, "host_resumed")).await;
    assert_eq!(fleet.status(0).await.unwrap().revision, 2);
    let settled = async |fleet: &Fleet| fleet.file(2, &ticket).await.is_ok();
    let verdict = fleet.file(2, &ticket).await.map_or_else(|e| e.verdict(), |r| r.verdict());
    if verdict == Verdict::NotRun {
        assert_eq!(fleet.runs(&ticket).await, 0);
    } else {
        fleet.until("the ticket has its receipt", settled).await;
        assert_eq!(fleet.runs(&ticket).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_while_the_platform_is_stale_takes_the_newest_sheet_from_a_peer() {
    let mut fleet = Fleet::start(31_600, 3).await;
    fleet.switch("platform", &json!({"fault": "stale"})).await;
    fleet.switch("platform", &json!({"fault": "none"})).await;
    fleet.publish(&sheet(5)).await;
    let in_force = async |fleet: &Fleet| {
        let mut all = true;
        for host in 0..3 {
            all &= fleet.status(host).await.is_some_and(|status| status.revision == 2);
        }
        all
    };
    fleet.until("revision 2 is in force everywhere", in_force).await;
    let restored = json!({"key": "sheet", "value": sheet(1), "version": 1});
    fleet.switch("publish", &restored).await;
    fleet.kill(2);
    fleet.start_host(2);
    fleet.until("the host is ready again", async |f| f.logged(2, "host_ready")).await;
    assert_eq!(fleet.status(2).await.unwrap().revision, 2);
    let behind = async |fleet: &Fleet| {
        let status = fleet.status(0).await;
        status.is_some_and(|s| s.alarms.iter().any(|alarm| alarm.starts_with("sheet_behind")))
    };
    fleet.until("the restored platform raises an alarm", behind).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_sheets_under_one_version_end_alike_everywhere() {
    let fleet = Fleet::start(31_800, 3).await;
    fleet.publish(&sheet(5)).await;
    let race = json!({"key": "sheet", "value": sheet(6), "version": 2});
    fleet.switch("publish", &race).await;
    let race_back = json!({"key": "sheet", "value": sheet(7), "version": 2});
    let agree = async |fleet: &Fleet| {
        let mut hashes = Vec::new();
        for host in 0..3 {
            let status = fleet.status(host).await;
            hashes.extend(status.filter(|s| s.revision == 2).map(|s| s.sheet_hash));
        }
        hashes.len() == 3 && hashes.iter().all(|hash| *hash == hashes[0])
    };
    fleet.until("all hosts agree", agree).await;
    fleet.switch("publish", &race_back).await;
    let alarmed = async |fleet: &Fleet| {
        let status = fleet.status(0).await;
        status.is_some_and(|s| s.alarms.iter().any(|alarm| alarm.starts_with("revision_conflict")))
    };
    fleet.until("the race raises an alarm", alarmed).await;
    fleet.until("all hosts agree again", agree).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_cuts_nothing() {
    let mut fleet = Fleet::start(32_000, 3).await;
    let ticket = fleet.ticket(0).await;
    fleet.signal(0, "TERM");
    let mut answered = 0;
    loop {
        match fleet.search(0).await {
            Ok(_) => answered += 1,
            // The listener is closed: the balancer sends no more by then.
            Err(CallerError::Http(e)) if !e.may_be_received() => break,
            Err(e) => panic!("a request was cut: {e}"),
        }
    }
    assert!(answered > 0);
    assert_eq!(fleet.exit_of(0).await.code(), Some(0));
    let receipt = fleet.file(1, &ticket).await.unwrap();
    assert!(!receipt.replayed);
    assert_eq!(fleet.runs(&ticket).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_error_and_disturbs_nobody() {
    let fleet = Fleet::start(32_200, 1).await;
    let head = |path: &str, more: &str, length: usize| {
        format!("POST {path} HTTP/1.1\r\nhost: x\r\n{more}content-length: {length}\r\n\r\n")
    };
    let headers: String = (0..100).map(|i| format!("h{i}: x\r\n")).collect();
    let unknown = r#"{"kind":"nope","query":"x"}"#;
    let extra = r#"{"kind":"look","colour":"red"}"#;
    let ticket = r#"{"kind":"fee","ticket":"x.y","key":"k"}"#;
    let none = r#"{"kind":"fee","key":"k"}"#;
    let cases = [
        (head("/v1/search", "", 70_000), "413", "exceeds 65536 bytes"),
        (head("/v1/search", "", 10) + "short", "408", "did not arrive"),
        (head("/v1/search", &headers, 0), "431", ""),
        (head("/v1/search", "", 3) + "{]}", "400", "invalid JSON body"),
        (head("/v1/search", "", unknown.len()) + unknown, "400", "no kind `nope`"),
        (head("/v1/search", "", extra.len()) + extra, "400", "unknown field `colour`"),
        (head("/v1/search", "galenaloft-deadline-ms: soon\r\n", 2) + "{}", "400", "milliseconds"),
        (head("/v1/file", "", ticket.len()) + ticket, "400", "is not a ticket"),
        (head("/v1/file", "", none.len()) + none, "428", "needs a ticket"),
        (head("/v2/search", "", 2) + "{}", "404", "no path `/v2/search`"),
        ("GET /v1/search HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), "405", "not POST"),
        ("\u{0}\u{1}\u{2}\r\n\r\n".to_owned(), "400", ""),
    ];
    for (request, status, error) in cases {
        let reply = raw(&fleet, &request).await;
        let start = request.get(..30).unwrap_or(&request);
        assert!(reply.starts_with(&format!("HTTP/1.1 {status}")), "{start}: {reply}");
        assert!(reply.contains(error), "{start}: {reply}");
        assert!(error.is_empty() || reply.contains("NOT_RUN"), "{start}: {reply}");
    }
    assert!(fleet.search(0).await.unwrap().complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn made_up_kinds_do_not_fill_the_metrics() {
    let fleet = Fleet::start(30_800, 1).await;
    for path in ["/v1/search", "/v1/file"] {
        let body = r#"{"kind":"made-up","ticket":"h9.1.1.1.1"}"#;
        let body = if path == "/v1/search" { r#"{"kind":"made-up"}"# } else { body };
        let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}", body.len());
        raw(&fleet, &format!("{head}\r\n\r\n{body}")).await;
    }
    let metrics = fleet.metrics(0).await;
    assert!(metrics.contains("kind=\"unknown\"") && !metrics.contains("made-up"), "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_searcher_that_is_listed_as_leaving_gets_no_work_though_it_says_that_it_stays() {
    let fleet = Fleet::start(32_600, 2).await;
    assert!(fleet.search(0).await.unwrap().complete);
    fleet.switch("leaving", &json!({"host": "entries-2", "leaving": true})).await;
    sleep(Duration::from_secs(3)).await;
    let before = fleet.received("entries-2").await;
    for host in [0, 1, 0, 1] {
        assert!(!fleet.search(host).await.unwrap().complete);
    }
    assert_eq!(fleet.received("entries-2").await, before);
    fleet.switch("leaving", &json!({"host": "entries-2", "leaving": false})).await;
    let back = async |fleet: &Fleet| fleet.search(1).await.is_ok_and(|answer| answer.complete);
    fleet.until("it gets work again", back).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn too_many_connections_leave_the_others_alone() {
    let fleet = Fleet::start(32_400, 1).await;
    let mut idle = Vec::new();
    for _ in 0..200 {
        idle.push(TcpStream::connect(fleet.callers(0)).await.unwrap());
    }
    drop(idle);
    let served = async |fleet: &Fleet| fleet.search(0).await.is_ok_and(|answer| answer.complete);
    fleet.until("the host serves again", served).await;
}

/// Sends bytes and returns what comes back until the host closes or half a second is silent.
async fn raw(fleet: &Fleet, request: &str) -> String {
    let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut reply = Vec::new();
    let mut buf = [0; 4_096];
    while let Ok(Ok(count)) =
        tokio::time::timeout(Duration::from_millis(700), stream.read(&mut buf)).await
    {
        if count == 0 {
            break;
        }
        reply.extend(&buf[..count]);
    }
    String::from_utf8_lossy(&reply).into_owned()
}
