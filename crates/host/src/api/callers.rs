//! Handles the requests of callers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use galenaloft_caller::FETCH_PATH;
use galenaloft_caller::FILE_PATH;
use galenaloft_caller::RESERVE_PATH;
use galenaloft_caller::SEARCH_PATH;
use galenaloft_caller::TICKETS_PATH;
use galenaloft_caller::wire;
use galenaloft_http::Reply;
use galenaloft_peer::Submission;
use galenaloft_policy::attempt::Operation;
use galenaloft_policy::ticket::Ticket;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;

use crate::api::answer::answer_reply;
use crate::api::decode::BadRequest;
use crate::api::decode::check_lengths;
use crate::api::decode::decode;
use crate::api::decode::read_deadline;
use crate::api::in_progress::InProgressGuard;
use crate::api::reply::failure;
use crate::api::reply::failure_with_ticket;
use crate::api::reply::reply;
use crate::api::reply::verdict_name;
use crate::api::reply::wire_verdict;
use crate::gather::Query;
use crate::gather::RequestError;
use crate::network::Network;
use crate::node::Node;

/// Retry-after hint for a ticket request while the host is stopping and issues no tickets.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time limit of a submission if this host has no sheet, or if its sheet does not have the kind as
/// one of submissions; the holder of the ticket may have another sheet.
const DEFAULT_SUBMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles one request of a caller.
///
/// While the host is draining or stopping, every reply carries `connection: close`, so that the
/// caller opens a new connection for its next request.
pub async fn handle_caller<N: Network>(node: Arc<Node<N>>, req: Request<Bytes>) -> Reply {
    let mut reply = route(&node, req).await;
    if node.is_draining_or_stopping() {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn route<N: Network>(node: &Arc<Node<N>>, req: Request<Bytes>) -> Reply {
    let arrived = now();
    let in_progress = InProgressGuard::new(node.clone());
    let (head, body) = req.into_parts();
    if head.method != Method::POST {
        let error = format!("method {} is not POST", head.method);
        return failure(405, Verdict::NotRun, &error, Duration::ZERO);
    }
    let path = head.uri.path();
    let is_submission = path == FILE_PATH || path == RESERVE_PATH;
    // Submissions are exempt from the limit. Refusing one as not run would be wrong if an earlier
    // request with the same ticket is still on its way to the holder of the ticket.
    if !is_submission && in_progress.count > node.settings.limits.requests {
        return error_reply(&RequestError::Overloaded);
    }
    let result = dispatch(node, path, &head.headers, &body, arrived).await;
    result.unwrap_or_else(|BadRequest(error)| failure(400, Verdict::NotRun, &error, Duration::ZERO))
}

async fn dispatch<N: Network>(
    node: &Arc<Node<N>>,
    path: &str,
    headers: &HeaderMap,
    body: &[u8],
    arrived: Instant,
) -> Result<Reply, BadRequest> {
    let deadline = read_deadline(headers, arrived)?;
    match path {
        SEARCH_PATH => search(node, body, deadline, arrived).await,
        FETCH_PATH => fetch(node, body, deadline, arrived).await,
        TICKETS_PATH => issue_ticket(node, body),
        FILE_PATH | RESERVE_PATH => submit(node, body, deadline, arrived).await,
        other => {
            let error = format!("there is no path `{other}`");
            Ok(failure(404, Verdict::NotRun, &error, Duration::ZERO))
        }
    }
}

async fn search<N: Network>(
    node: &Arc<Node<N>>,
    body: &[u8],
    caller_deadline: Option<Instant>,
    arrived: Instant,
) -> Result<Reply, BadRequest> {
    let req: wire::SearchRequest = decode(body)?;
    let wire::SearchRequest { kind, query: text, limit } = req;
    check_lengths(&[("kind", &kind), ("query", &text)])?;
    let query = Query { kind, operation: Operation::Search, text, limit, caller_deadline };
    let kind = query.kind.clone();
    Ok(match node.query(query).await {
        Ok(response) => answer_reply(node, &kind, 200, response, arrived),
        Err(e) => query_error_reply(node, &kind, &e),
    })
}

async fn fetch<N: Network>(
    node: &Arc<Node<N>>,
    body: &[u8],
    caller_deadline: Option<Instant>,
    arrived: Instant,
) -> Result<Reply, BadRequest> {
    let req: wire::FetchRequest = decode(body)?;
    let wire::FetchRequest { kind, key: text } = req;
    check_lengths(&[("kind", &kind), ("key", &text)])?;
    let query = Query { kind, operation: Operation::Fetch, text, limit: 1, caller_deadline };
    let kind = query.kind.clone();
    Ok(match node.query(query).await {
        Ok(response) => {
            let status = if response.entries.is_empty() { 404 } else { 200 };
            answer_reply(node, &kind, status, response, arrived)
        }
        Err(e) => query_error_reply(node, &kind, &e),
    })
}

fn issue_ticket<N: Network>(node: &Arc<Node<N>>, body: &[u8]) -> Result<Reply, BadRequest> {
    let req: wire::TicketRequest = decode(body)?;
    if let Err(e) = check_submit_kind(node, &req.kind) {
        return Ok(error_reply(&e));
    }
    let Some(ticket) = node.issue_ticket() else {
        let error = "the host is stopping and issues no tickets";
        return Ok(failure(503, Verdict::NotRun, error, STOPPING_RETRY_AFTER));
    };
    let expires_in_ms = u32::try_from(node.ticket_lifetime().as_millis()).unwrap_or(u32::MAX);
    let body = wire::TicketReply { ticket: ticket.to_string(), expires_in_ms };
    Ok(reply(200, Verdict::Ran, &body))
}

async fn submit<N: Network>(
    node: &Arc<Node<N>>,
    body: &[u8],
    caller_deadline: Option<Instant>,
    arrived: Instant,
) -> Result<Reply, BadRequest> {
    let req: wire::SubmitRequest = decode(body)?;
    let fields = [("kind", &req.kind), ("key", &req.key), ("ticket", &req.ticket)];
    check_lengths(&fields)?;
    if req.ticket.is_empty() {
        return Ok(ticket_required_reply(node, &req.kind));
    }
    let ticket: Ticket = req
        .ticket
        .parse()
        .map_err(|e| BadRequest(format!("`{}` is not a ticket: {e}", req.ticket)))?;
    let kind_timeout = check_submit_kind(node, &req.kind).unwrap_or(DEFAULT_SUBMIT_TIMEOUT);
    let deadline = arrived + kind_timeout;
    let deadline = caller_deadline.map_or(deadline, |caller| caller.min(deadline));
    let submission = Submission {
        kind: req.kind.as_str().into(),
        ticket,
        key: req.key,
        body: req.body,
        time_left: deadline.saturating_duration_since(arrived),
    };
    let outcome = node.submit(submission).await;
    let label = kind_label(node, &req.kind);
    node.metrics.outcome(label, verdict_name(outcome.verdict), outcome.status);
    if outcome.verdict != Verdict::Ran {
        let (status, verdict) = (outcome.status, outcome.verdict);
        return Ok(failure(status, verdict, &outcome.error, Duration::ZERO));
    }
    let receipt = wire::Receipt {
        ticket: req.ticket,
        verdict: wire_verdict(outcome.verdict).into(),
        receipt: outcome.receipt,
        replayed: outcome.replayed,
        host: node.settings.host.to_string(),
        revision: node.values.stamps().sheet.revision,
    };
    Ok(reply(outcome.status, outcome.verdict, &receipt))
}

/// Rejects a submission without a ticket as not run. The reply carries a new ticket for the retry,
/// unless this host no longer issues tickets.
fn ticket_required_reply<N: Network>(node: &Arc<Node<N>>, kind: &str) -> Reply {
    if let Err(e) = check_submit_kind(node, kind) {
        return error_reply(&e);
    }
    let ticket = node.issue_ticket().map_or(String::new(), |ticket| ticket.to_string());
    let error = "a submission needs a ticket; retry with the one in this reply, if any";
    failure_with_ticket(428, Verdict::NotRun, error, Duration::ZERO, ticket)
}

/// Checks that a kind is one of submissions. Returns its time limit.
fn check_submit_kind<N: Network>(node: &Node<N>, name: &str) -> Result<Duration, RequestError> {
    let sheet = node.values.sheet().ok_or(RequestError::NotReady)?;
    let (_, kind) = sheet.kind(name).ok_or_else(|| RequestError::UnknownKind(name.to_owned()))?;
    match kind.operation {
        Operation::Submit => Ok(kind.deadline),
        Operation::Search | Operation::Fetch => Err(RequestError::WrongOperation(name.to_owned())),
    }
}

/// Builds the reply to a failed query and counts its outcome in the metrics.
fn query_error_reply<N: Network>(node: &Node<N>, kind: &str, e: &RequestError) -> Reply {
    let label = kind_label(node, kind);
    node.metrics.outcome(label, verdict_name(e.verdict()), e.status());
    error_reply(e)
}

/// Returns the label of a kind in the metrics: its name if the sheet has it, else `unknown`.
///
/// The number of labels must be bounded: callers could otherwise exhaust the memory with invented
/// kinds.
fn kind_label<'a, N: Network>(node: &Node<N>, kind: &'a str) -> &'a str {
    let known = node.values.sheet().is_some_and(|sheet| sheet.kind(kind).is_some());
    if known { kind } else { "unknown" }
}

fn error_reply(e: &RequestError) -> Reply {
    failure(e.status(), e.verdict(), &e.to_string(), e.retry_after())
}
