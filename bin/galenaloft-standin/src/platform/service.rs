//! Requests to the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_control_plane::CONFIG_PATH;
use galenaloft_control_plane::HOSTS_PATH;
use galenaloft_control_plane::wire;
use galenaloft_control_plane::wire::HostState;
use galenaloft_control_plane::wire::ListedHost;
use galenaloft_control_plane::wire::Role;
use galenaloft_http::Reply;
use galenaloft_http::json;
use galenaloft_http::text;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::ETAG;
use hyper::header::HeaderValue;
use hyper::header::IF_NONE_MATCH;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::xxh3_64;

use crate::platform::Control;

/// Longest time that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Answers one request to the platform or to the stand-in's own controls.
pub async fn handle(control: Arc<Control>, req: Request<Bytes>) -> Reply {
    let path = req.uri().path().to_owned();
    let query = req.uri().query().unwrap_or_default().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, HOSTS_PATH) => hosts(&control, req.headers()),
        (&Method::GET, _) if path.starts_with(CONFIG_PATH) => {
            config(&control, &path[CONFIG_PATH.len()..], &query).await
        }
        (&Method::POST, _) => control.handle(&path, req.body()).await,
        (&Method::GET, "/standin/stats") => message(&control.stats()),
        (&Method::GET, "/standin/runs") => message(&control.runs(&query)),
        _ => text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

async fn config(control: &Control, key: &str, query: &str) -> Reply {
    let state = &control.platform;
    state.reads.fetch_add(1, Ordering::Relaxed);
    let parameters = parameters(query);
    let number = |name| parameters.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let after = number("after") as u32;
    let end = Instant::now() + Duration::from_millis(number("wait_ms")).min(MAX_WAIT);
    loop {
        let changed = state.changed.notified();
        let tag = match state.read(key) {
            Err(_) => return text(StatusCode::SERVICE_UNAVAILABLE, "the platform is down\n"),
            Ok(Some(value)) if value.version > after => return message(&value),
            Ok(Some(value)) => {
                format!("\"{}.{:x}\"", value.version, xxh3_64(value.value.as_bytes()))
            }
            Ok(None) => "\"0\"".to_owned(),
        };
        if timeout_at(end, changed).await.is_err() {
            return unchanged(&tag);
        }
    }
}

fn unchanged(tag: &str) -> Reply {
    let mut reply = text(StatusCode::NOT_MODIFIED, Vec::new());
    set_tag(&mut reply, tag);
    reply
}

fn set_tag(reply: &mut Reply, tag: &str) {
    let tag = HeaderValue::from_str(tag).expect("digits make a header");
    reply.headers_mut().insert(ETAG, tag);
}

fn hosts(control: &Control, headers: &HeaderMap) -> Reply {
    let state = |id: &str| match control.platform.is_leaving(id) {
        true => HostState::Leaving,
        false => HostState::Live,
    };
    let entry_hosts = control.scene.entry_hosts.iter().map(|host| ListedHost {
        id: host.id.clone(),
        role: Role::EntryHost.into(),
        zone: host.zone.clone(),
        address: host.peers.to_string(),
        state: state(&host.id).into(),
    });
    let searchers = control.listed_searchers().into_iter().map(|searcher| ListedHost {
        state: state(&searcher.id).into(),
        id: searcher.id,
        role: Role::Searcher.into(),
        zone: searcher.zone,
        address: searcher.address,
    });
    let list = wire::HostList { hosts: entry_hosts.chain(searchers).collect() };
    let mut reply = message(&list);
    let body = serde_json::to_vec(&list).expect("messages are always valid JSON");
    let tag = format!("\"{:x}\"", xxh3_64(&body));
    if headers.get(IF_NONE_MATCH).is_some_and(|known| *known == tag) {
        return unchanged(&tag);
    }
    set_tag(&mut reply, &tag);
    reply
}

/// Builds a JSON reply.
pub fn message(body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).expect("messages are always valid JSON");
    json(StatusCode::OK, body)
}

/// Splits a query string that needs no decoding.
pub fn parameters(query: &str) -> BTreeMap<&str, &str> {
    query.split('&').filter_map(|pair| pair.split_once('=')).collect()
}
