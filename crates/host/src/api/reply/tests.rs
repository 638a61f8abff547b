use super::*;

/// Guards against a reply after a panic that promises that the request has not run.
#[test]
fn only_requests_whose_body_was_rejected_are_said_not_to_have_run() {
    let verdict = |status| {
        let reply = server_error_reply(status, "why");
        reply.headers()[VERDICT_HEADER].to_str().unwrap().to_owned()
    };
    assert_eq!(verdict(StatusCode::PAYLOAD_TOO_LARGE), "NOT_RUN");
    assert_eq!(verdict(StatusCode::REQUEST_TIMEOUT), "NOT_RUN");
    assert_eq!(verdict(StatusCode::INTERNAL_SERVER_ERROR), "MAY_HAVE_RUN");
}
