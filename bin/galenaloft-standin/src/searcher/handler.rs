//! Requests to one searcher.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_http::Reply;
use galenaloft_http::text;
use galenaloft_searcher::ATTEMPTS_PATH;
use galenaloft_searcher::BEGAN_HEADER;
use galenaloft_searcher::CANCELLED_STATUS;
use galenaloft_searcher::HEALTH_PATH;
use galenaloft_searcher::wire;
use galenaloft_searcher::wire::Operation;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use prost::Message;
use rand::RngExt;
use tokio::time::sleep;

use crate::catalogue::Document;
use crate::searcher::Fault;
use crate::searcher::SearcherState;

/// Answers one request. An error drops the connection.
pub async fn handle(state: Arc<SearcherState>, req: Request<Bytes>) -> io::Result<Reply> {
    if state.fault() == Fault::Frozen {
        std::future::pending::<()>().await;
    }
    let path = req.uri().path().to_owned();
    match (req.method(), path.strip_prefix(ATTEMPTS_PATH)) {
        (&Method::POST, Some("")) => attempt(&state, req.body()).await,
        (&Method::DELETE, Some(number)) => Ok(cancel(&state, number)),
        (&Method::GET, _) if path == HEALTH_PATH => Ok(health(&state)),
        _ => Ok(text(StatusCode::NOT_FOUND, "no such path\n")),
    }
}

fn health(state: &SearcherState) -> Reply {
    match state.fault() {
        Fault::Draining => text(StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
        _ => text(StatusCode::OK, "ready\n"),
    }
}

fn cancel(state: &SearcherState, number: &str) -> Reply {
    match u64::from_str_radix(number.trim_start_matches('/'), 16) {
        Ok(attempt) => {
            state.cancel(attempt);
            text(StatusCode::ACCEPTED, "cancelled\n")
        }
        Err(_) => text(StatusCode::BAD_REQUEST, "not the number of an attempt\n"),
    }
}

async fn attempt(state: &SearcherState, body: &[u8]) -> io::Result<Reply> {
    state.received.fetch_add(1, Ordering::Relaxed);
    let Ok(req) = wire::ShardRequest::decode(body) else {
        return Ok(refuse(StatusCode::BAD_REQUEST, &wire::Refusal::default()));
    };
    let refusal = wire::Refusal { attempt: req.attempt, ..Default::default() };
    match state.fault() {
        Fault::Draining => {
            let refusal = wire::Refusal { draining: true, ..refusal };
            return Ok(refuse(StatusCode::SERVICE_UNAVAILABLE, &refusal));
        }
        Fault::Shedding => {
            let refusal = wire::Refusal { reason: "overloaded".to_owned(), ..refusal };
            return Ok(refuse(StatusCode::TOO_MANY_REQUESTS, &refusal));
        }
        _ => {}
    }
    let key = (req.collection.clone(), req.snapshot, req.shard);
    let shard = state.shard(&key).filter(|_| state.fault() != Fault::NoSnapshots);
    let Some(shard) = shard else {
        let reason = "shard not held".to_owned();
        let held_snapshots = state.snapshots(&req.collection);
        let refusal = wire::Refusal { reason, held_snapshots, ..refusal };
        return Ok(refuse(StatusCode::CONFLICT, &refusal));
    };
    if state.slots.available_permits() == 0 {
        state.overcommitted.fetch_add(1, Ordering::Relaxed);
    }
    let permit = state.slots.acquire().await.map_err(io::Error::other)?;
    if state.take_cancel(req.attempt) {
        return Ok(cancelled(&refusal, false));
    }
    let served = serve(state, &req).await;
    drop(permit);
    if !served {
        return Ok(cancelled(&refusal, true));
    }
    let reply = run(state, &req, &shard);
    if state.fault() == Fault::LostReplies {
        return Err(io::Error::other("the reply is lost"));
    }
    Ok(protobuf(StatusCode::OK, reply.encode_to_vec()))
}

/// Takes the service time. Returns whether the attempt was not cancelled meanwhile.
async fn serve(state: &SearcherState, req: &wire::ShardRequest) -> bool {
    let factor = match state.fault() {
        Fault::Slow { factor } => f64::from(factor),
        _ => 1.0,
    };
    let spread: f64 = rand::rng().random_range(0.5..1.5);
    let service = sleep(state.service.mul_f64(spread * factor).min(MAX_SERVICE));
    tokio::pin!(service);
    loop {
        let cancelled = state.cancelled.notified();
        if req.operation() != Operation::Submit && state.take_cancel(req.attempt) {
            return false;
        }
        tokio::select! {
            () = &mut service => return true,
            () = cancelled => {}
        }
    }
}

/// Longest service time, so that a stand-in ends.
const MAX_SERVICE: Duration = Duration::from_secs(60);

fn run(state: &SearcherState, req: &wire::ShardRequest, shard: &[Document]) -> wire::ShardReply {
    let attempt = match state.fault() {
        Fault::CrossedReplies => req.attempt ^ 1,
        _ => req.attempt,
    };
    let mut reply = wire::ShardReply {
        attempt,
        snapshot: req.snapshot,
        shard: req.shard,
        documents: shard.len() as u32,
        ..Default::default()
    };
    match req.operation() {
        Operation::Search => search(req, shard, &mut reply),
        Operation::Fetch => {
            let found = shard.iter().find(|document| document.key == req.text);
            reply.entries.extend(found.map(entry));
            reply.total_hits = reply.entries.len() as u32;
        }
        Operation::Submit => {
            let submission = format!("{}|{}|{}", req.collection, req.text, req.body);
            let number = state.log.note(&submission);
            reply.receipt = format!("{}-{:x}-{number}", state.id, req.attempt);
        }
        Operation::Unspecified => {}
    }
    reply
}

fn search(req: &wire::ShardRequest, shard: &[Document], reply: &mut wire::ShardReply) {
    let words: Vec<String> = req.text.split_whitespace().map(str::to_lowercase).collect();
    let matches = |document: &&Document| words.iter().all(|word| document.folded.contains(word));
    let mut hits: Vec<&Document> = shard.iter().filter(matches).collect();
    reply.total_hits = hits.len() as u32;
    hits.sort_by_key(|document| std::cmp::Reverse(document.score));
    reply.entries.extend(hits.into_iter().take(req.limit as usize).map(entry));
}

fn entry(document: &Document) -> wire::Entry {
    wire::Entry {
        key: document.key.clone(),
        firm: document.firm.clone(),
        title: document.title.clone(),
        score: document.score,
    }
}

fn refuse(status: StatusCode, refusal: &wire::Refusal) -> Reply {
    protobuf(status, refusal.encode_to_vec())
}

fn cancelled(refusal: &wire::Refusal, began: bool) -> Reply {
    let status = StatusCode::from_u16(CANCELLED_STATUS).expect("499 is a status");
    let mut reply = protobuf(status, refusal.encode_to_vec());
    let began = HeaderValue::from_static(if began { "true" } else { "false" });
    reply.headers_mut().insert(BEGAN_HEADER, began);
    reply
}

fn protobuf(status: StatusCode, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from(body)));
    *reply.status_mut() = status;
    reply
}
