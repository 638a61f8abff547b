//! The answer to a search or a fetch.

use std::time::Instant;

use galenaloft_caller::wire;
use galenaloft_http::Reply;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;

use crate::api::reply::reply;
use crate::api::reply::verdict_name;
use crate::gather::Gathered;
use crate::network::Network;
use crate::node::Node;

/// Builds the reply that tells what a query gathered.
pub fn answer<N: Network>(
    node: &Node<N>,
    kind: &str,
    status: u16,
    gathered: Gathered,
    started: Instant,
) -> Reply {
    node.metrics.outcome(kind, verdict_name(Verdict::Ran), status);
    let elapsed = now().saturating_duration_since(started);
    let coverage = gathered.coverage;
    let missing = gathered.missing.into_iter().map(|missing| wire::Missing {
        shard: missing.shard,
        documents: missing.documents,
        reason: missing.reason.to_string(),
    });
    let firms = gathered.firms.into_iter().map(|(firm, coverage)| wire::FirmCoverage {
        firm: firm.to_string(),
        covered: coverage.covered,
        total: coverage.total,
    });
    let entries = gathered.entries.into_iter().map(|entry| wire::Entry {
        key: entry.key,
        firm: entry.firm.to_string(),
        title: entry.title,
        score: entry.score,
    });
    let body = wire::Answer {
        request_id: gathered.request_id,
        verdict: wire::Verdict::Ran.into(),
        snapshot: gathered.snapshot,
        coverage: Some(wire::Coverage {
            covered: coverage.covered,
            total: coverage.total,
            missing: missing.collect(),
            firms: firms.collect(),
        }),
        complete: coverage.is_complete(),
        entries: entries.collect(),
        total_hits: gathered.total_hits,
        elapsed_ms: u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX),
        host: node.settings.host.to_string(),
        revision: gathered.revision,
    };
    reply(status, Verdict::Ran, &body)
}
