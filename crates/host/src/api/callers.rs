//! Requests of callers.

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

use crate::api::answer::answer;
use crate::api::decode::BadRequest;
use crate::api::decode::check_lengths;
use crate::api::decode::decode;
use crate::api::decode::read_deadline;
use crate::api::in_progress::InProgress;
use crate::api::reply::failure;
use crate::api::reply::failure_with_ticket;
use crate::api::reply::reply;
use crate::api::reply::verdict_name;
use crate::api::reply::wire_verdict;
use crate::gather::Query;
use crate::gather::RequestError;
use crate::network::Network;
use crate::node::Node;

/// Earliest useful retry after the right to run tickets was given up.
const STOPPING_RETRY: Duration = Duration::from_millis(200);

/// Time for a submission whose kind this host does not know; the ticket's holder may know it.
const DEFAULT_SUBMIT_TIME: Duration = Duration::from_secs(2);

/// Answers one request of a caller.
///
/// While the host is stopping every reply asks the caller to come back on another connection.
pub async fn handle_caller<N: Network>(node: Arc<Node<N>>, req: Request<Bytes>) -> Reply {
    let mut reply = route(&node, req).await;
    if node.is_stopping() {
        reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn route<N: Network>(node: &Arc<Node<N>>, req: Request<Bytes>) -> Reply {
    let present = now();
    let progress = InProgress::new(node.clone());
    let (head, body) = req.into_parts();
    if head.method != Method::POST {
        let error = format!("method {} is not POST", head.method);
        return failure(405, Verdict::NotRun, &error, Duration::ZERO);
    }
    let path = head.uri.path();
    let submits = path == FILE_PATH || path == RESERVE_PATH;
    // A submission with a ticket goes to its holder even so: refusing it here as not run would
    // be false if an earlier delivery of it is still on its way.
    if !submits && progress.count > node.settings.limits.requests {
        return refuse(&RequestError::Overloaded);
    }
    let result = dispatch(node, path, &head.headers, &body, present).await;
    result.unwrap_or_else(|BadRequest(error)| failure(400, Verdict::NotRun, &error, Duration::ZERO))
}

async fn dispatch<N: Network>(
    node: &Arc<Node<N>>,
    path: &str,
    headers: &HeaderMap,
    body: &[u8],
    present: Instant,
) -> Result<Reply, BadRequest> {
    let deadline = read_deadline(headers, present)?;
    match path {
        SEARCH_PATH => search(node, body, deadline, present).await,
        FETCH_PATH => fetch(node, body, deadline, present).await,
        TICKETS_PATH => issue(node, body),
        FILE_PATH | RESERVE_PATH => submit(node, body, deadline, present).await,
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
    present: Instant,
) -> Result<Reply, BadRequest> {
    let req: wire::SearchRequest = decode(body)?;
    let wire::SearchRequest { kind, query: text, limit } = req;
    check_lengths(&[("kind", &kind), ("query", &text)])?;
    let query = Query { kind, operation: Operation::Search, text, limit, caller_deadline };
    let kind = query.kind.clone();
    Ok(match node.query(query).await {
        Ok(gathered) => answer(node, &kind, 200, gathered, present),
        Err(e) => refuse_kind(node, &kind, &e),
    })
}

async fn fetch<N: Network>(
    node: &Arc<Node<N>>,
    body: &[u8],
    caller_deadline: Option<Instant>,
    present: Instant,
) -> Result<Reply, BadRequest> {
    let req: wire::FetchRequest = decode(body)?;
    let wire::FetchRequest { kind, key: text } = req;
    check_lengths(&[("kind", &kind), ("key", &text)])?;
    let query = Query { kind, operation: Operation::Fetch, text, limit: 1, caller_deadline };
    let kind = query.kind.clone();
    Ok(match node.query(query).await {
        Ok(gathered) => {
            let status = if gathered.entries.is_empty() { 404 } else { 200 };
            answer(node, &kind, status, gathered, present)
        }
        Err(e) => refuse_kind(node, &kind, &e),
    })
}

fn issue<N: Network>(node: &Arc<Node<N>>, body: &[u8]) -> Result<Reply, BadRequest> {
    let req: wire::TicketRequest = decode(body)?;
    if let Err(e) = check_submit_kind(node, &req.kind) {
        return Ok(refuse(&e));
    }
    let Some(ticket) = node.issue_ticket() else {
        let error = "the host is stopping and issues no tickets";
        return Ok(failure(503, Verdict::NotRun, error, STOPPING_RETRY));
    };
    let expires_in_ms = u32::try_from(node.ticket_life().as_millis()).unwrap_or(u32::MAX);
    let body = wire::TicketReply { ticket: ticket.to_string(), expires_in_ms };
    Ok(reply(200, Verdict::Ran, &body))
}

async fn submit<N: Network>(
    node: &Arc<Node<N>>,
    body: &[u8],
    caller_deadline: Option<Instant>,
    present: Instant,
) -> Result<Reply, BadRequest> {
    let req: wire::SubmitRequest = decode(body)?;
    let fields = [("kind", &req.kind), ("key", &req.key), ("ticket", &req.ticket)];
    check_lengths(&fields)?;
    if req.ticket.is_empty() {
        return Ok(demand_ticket(node, &req.kind));
    }
    let ticket: Ticket = req
        .ticket
        .parse()
        .map_err(|e| BadRequest(format!("`{}` is no ticket: {e}", req.ticket)))?;
    let kind_deadline = check_submit_kind(node, &req.kind).unwrap_or(DEFAULT_SUBMIT_TIME);
    let deadline = present + kind_deadline;
    let deadline = caller_deadline.map_or(deadline, |caller| caller.min(deadline));
    let submission = Submission {
        kind: req.kind.as_str().into(),
        ticket,
        key: req.key,
        body: req.body,
        time_left: deadline.saturating_duration_since(present),
    };
    let outcome = node.submit(submission).await;
    let label = label_of(node, &req.kind);
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

/// Answers a submission without a ticket: it was not run, and here is a ticket for it.
fn demand_ticket<N: Network>(node: &Arc<Node<N>>, kind: &str) -> Reply {
    if let Err(e) = check_submit_kind(node, kind) {
        return refuse(&e);
    }
    let ticket = node.issue_ticket().map_or(String::new(), |ticket| ticket.to_string());
    let error = "a submission needs a ticket; send it again with this one";
    failure_with_ticket(428, Verdict::NotRun, error, Duration::ZERO, ticket)
}

/// Returns the deadline of a kind of submissions.
fn check_submit_kind<N: Network>(node: &Node<N>, name: &str) -> Result<Duration, RequestError> {
    let sheet = node.values.sheet().ok_or(RequestError::NotReady)?;
    let (_, kind) = sheet.kind(name).ok_or_else(|| RequestError::UnknownKind(name.to_owned()))?;
    match kind.operation {
        Operation::Submit => Ok(kind.deadline),
        Operation::Search | Operation::Fetch => Err(RequestError::WrongOperation(name.to_owned())),
    }
}

fn refuse_kind<N: Network>(node: &Node<N>, kind: &str, e: &RequestError) -> Reply {
    let label = label_of(node, kind);
    node.metrics.outcome(label, verdict_name(e.verdict()), e.status());
    refuse(e)
}

/// Returns the metrics' label of a kind. Labels must be bounded: callers could otherwise fill the
/// memory with made-up kinds.
fn label_of<'a, N: Network>(node: &Node<N>, kind: &'a str) -> &'a str {
    let known = node.values.sheet().is_some_and(|sheet| sheet.kind(kind).is_some());
    if known { kind } else { "unknown" }
}

fn refuse(e: &RequestError) -> Reply {
    failure(e.status(), e.verdict(), &e.to_string(), e.retry_after())
}
