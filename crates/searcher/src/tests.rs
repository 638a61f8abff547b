use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use galenaloft_policy::admission::Draw;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::attempt::Operation;
use galenaloft_policy::verdict::Verdict;
use hyper::HeaderMap;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use prost::Message;
use quickcheck::quickcheck;

use crate::HttpConnector;
use crate::paths::BEGAN_HEADER;
use crate::paths::CANCELLED_STATUS;
use crate::read_reply;
use crate::wire;

fn request() -> AttemptRequest {
    AttemptRequest {
        attempt: 7,
        searcher: "s-1".into(),
        operation: Operation::Submit,
        kind: "file".into(),
        rank: 1,
        draw: Draw::LOWEST,
        collection: "billing".into(),
        snapshot: 3,
        shard: 2,
        text: "key".to_owned(),
        body: String::new(),
        limit: 1,
        time_left: Duration::from_secs(1),
    }
}

fn reply(attempt: u64, snapshot: u32, shard: u32) -> Vec<u8> {
    wire::ShardReply { attempt, snapshot, shard, ..Default::default() }.encode_to_vec()
}

fn verdict(status: u16, body: &[u8]) -> Verdict {
    let status = StatusCode::from_u16(status).unwrap();
    match read_reply(&request(), status, &HeaderMap::new(), body) {
        Ok(_) => Verdict::Ran,
        Err(failure) => failure.verdict,
    }
}

#[test]
fn a_reply_to_another_attempt_or_shard_is_no_result() {
    assert_eq!(verdict(200, &reply(7, 3, 2)), Verdict::Ran);
    for mismatched in [reply(8, 3, 2), reply(7, 4, 2), reply(7, 3, 1), vec![0xff]] {
        assert_eq!(verdict(200, &mismatched), Verdict::MayHaveRun);
    }
}

#[test]
fn only_a_refusal_of_the_same_attempt_proves_that_it_did_not_run() {
    let refusal = wire::Refusal { attempt: 7, ..Default::default() }.encode_to_vec();
    let refusal_of_other = wire::Refusal { attempt: 8, ..Default::default() }.encode_to_vec();
    assert_eq!(verdict(503, &refusal), Verdict::NotRun);
    assert_eq!(verdict(503, &refusal_of_other), Verdict::MayHaveRun);
    for undecodable in [&[0xff][..], b"<html>", b""] {
        assert_eq!(verdict(503, undecodable), Verdict::MayHaveRun, "{undecodable:?}");
    }
    for status in [500, 502, 504, 499, 202] {
        assert_eq!(verdict(status, &refusal), Verdict::MayHaveRun, "status {status}");
    }
}

/// Guards against the late copy of another attempt's cancellation, which was taken for the promise that
/// this attempt did not begin.
#[test]
fn only_a_cancellation_of_the_same_attempt_proves_that_it_did_not_begin() {
    let headers = HeaderMap::from_iter([(
        HeaderName::from_static(BEGAN_HEADER),
        HeaderValue::from_static("false"),
    )]);
    let cancelled = |body: &[u8]| {
        let status = StatusCode::from_u16(CANCELLED_STATUS).unwrap();
        read_reply(&request(), status, &headers, body).unwrap_err().verdict
    };
    let of_attempt = |attempt| wire::Refusal { attempt, ..Default::default() }.encode_to_vec();
    assert_eq!(cancelled(&of_attempt(7)), Verdict::NotRun);
    assert_eq!(cancelled(&of_attempt(8)), Verdict::MayHaveRun);
    assert_eq!(cancelled(b""), Verdict::MayHaveRun);
}

#[test]
fn a_refusal_lists_the_snapshots_that_the_searcher_holds() {
    let refusal = wire::Refusal { attempt: 7, held_snapshots: vec![2], ..Default::default() };
    let result =
        read_reply(&request(), StatusCode::CONFLICT, &HeaderMap::new(), &refusal.encode_to_vec());
    assert_eq!(result.unwrap_err().reason, FailureReason::WrongSnapshot(vec![2]));
}

quickcheck! {
    fn only_status_200_is_a_result_and_no_reply_panics(status: u16, body: Vec<u8>) -> bool {
        verdict(status % 500 + 100, &body) != Verdict::Ran || status % 500 == 100
    }
}

/// Guards against an answer whose status is 000, or no final status, that says that a submission has run
/// or has not.
#[tokio::test]
async fn an_answer_without_a_final_status_leaves_open_whether_the_request_ran() {
    for status in ["000", "101", "999"] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let body = reply(7, 3, 2);
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut req = [0; 4_096];
            assert!(stream.read(&mut req).unwrap() > 0);
            let head = format!("HTTP/1.1 {status} Fine\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(&[head.as_bytes(), &body].concat()).unwrap();
            // Keeps the connection open until the client closes it.
            let _ = stream.read(&mut req);
        });
        let mut client = HttpConnector.connect(address).await.unwrap();
        let failure = client.send(&request()).await.unwrap_err();
        assert_eq!(failure.verdict, Verdict::MayHaveRun, "{status}: {failure:?}");
    }
}
