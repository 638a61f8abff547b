//! Requests to the platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_http::Reply;
use galenaloft_http::json;
use galenaloft_http::text;
use galenaloft_platform::CONFIG_PATH;
use galenaloft_platform::HOSTS_PATH;
use galenaloft_platform::wire;
use galenaloft_platform::wire::HostState;
use galenaloft_platform::wire::ListedHost;
use galenaloft_platform::wire::Role;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::ETAG;
use hyper::header::HeaderValue;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::platform::Control;

/// Longest time that a watch waits.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Answers one request to the platform or to the stand-in's own controls.
pub async fn handle(control: Arc<Control>, req: Request<Bytes>) -> Reply {
    let path = req.uri().path().to_owned();
    let query = req.uri().query().unwrap_or_default().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, HOSTS_PATH) => hosts(&control),
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
    let number = |name| {
        parameters
            .get(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    };
    let after = number("after") as u32;
    let end = Instant::now() + Duration::from_millis(number("wait_ms")).min(MAX_WAIT);
    loop {
        let changed = state.changed.notified();
        let version = match state.read(key) {
            Err(_) => return text(StatusCode::SERVICE_UNAVAILABLE, "the platform is down\n"),
            Ok(Some(value)) if value.version > after => return tagged(value.version, &value),
            Ok(Some(value)) => value.version,
            Ok(None) => 0,
        };
        if timeout_at(end, changed).await.is_err() {
            return unchanged(version);
        }
    }
}

fn tagged(version: u32, body: &impl Serialize) -> Reply {
    let mut reply = message(body);
    set_version(&mut reply, version);
    reply
}

fn unchanged(version: u32) -> Reply {
    let mut reply = text(StatusCode::NOT_MODIFIED, Vec::new());
    set_version(&mut reply, version);
    reply
}

fn set_version(reply: &mut Reply, version: u32) {
    let tag = HeaderValue::from_str(&format!("\"{version}\"")).expect("digits make a header");
    reply.headers_mut().insert(ETAG, tag);
}

fn hosts(control: &Control) -> Reply {
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
    let searchers = control
        .listed_searchers()
        .into_iter()
        .map(|searcher| ListedHost {
            state: state(&searcher.id).into(),
            id: searcher.id,
            role: Role::Searcher.into(),
            zone: searcher.zone,
            address: searcher.address,
        });
    message(&wire::HostList {
        hosts: entry_hosts.chain(searchers).collect(),
    })
}

/// Builds a JSON reply.
pub fn message(body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).expect("messages are always valid JSON");
    json(StatusCode::OK, body)
}

/// Splits a query string that needs no decoding.
pub fn parameters(query: &str) -> BTreeMap<&str, &str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect()
}
