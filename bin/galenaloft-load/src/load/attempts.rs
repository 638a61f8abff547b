//! Attempts that the hosts sent to searchers, read from their metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_http::Connection;
use hyper::Method;

/// Name of the counter in the Prometheus text format.
const COUNTER: &str = "galenaloft_attempts_total{";

/// Attempts of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Attempts {
    /// First attempts.
    pub first: f64,
    /// Hedges and retries.
    pub extra: f64,
}

impl Attempts {
    /// Returns the extra attempts per first attempt since `before`.
    pub fn extra_load(&self, before: &Self) -> f64 {
        (self.extra - before.extra) / (self.first - before.first).max(1.0)
    }
}

/// Reads the attempts of every kind, added up over the hosts that answer.
pub async fn read(operators: &[SocketAddr]) -> BTreeMap<String, Attempts> {
    let mut kinds = BTreeMap::new();
    for host in operators {
        let text = metrics(*host).await.unwrap_or_default();
        for line in text.lines() {
            // Other lines of the format are passed over.
            let _ = add(&mut kinds, line);
        }
    }
    kinds
}

async fn metrics(host: SocketAddr) -> Option<String> {
    let mut connection = Connection::connect(host, Duration::from_secs(1)).await.ok()?;
    let reply = connection.send(Method::GET, "/metrics", "text/plain", Bytes::new()).await.ok()?;
    String::from_utf8(reply.into_body().to_vec()).ok()
}

fn add(kinds: &mut BTreeMap<String, Attempts>, line: &str) -> Option<()> {
    let (labels, value) = line.strip_prefix(COUNTER)?.split_once("} ")?;
    let value: f64 = value.parse().ok()?;
    let label = |name: &str| {
        let (_, rest) = labels.split_once(&format!("{name}=\""))?;
        Some(rest.split('"').next().unwrap_or_default())
    };
    let attempts = kinds.entry(label("kind")?.to_owned()).or_default();
    match label("role")? {
        "first" => attempts.first += value,
        _ => attempts.extra += value,
    }
    Some(())
}
