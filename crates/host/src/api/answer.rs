//! Builds the reply to a search or a fetch.

use std::time::Instant;

use galenaloft_caller::wire;
use galenaloft_http::Reply;
use galenaloft_policy::verdict::Verdict;
use galenaloft_runtime::clock::now;

use crate::api::reply::reply;
use crate::api::reply::verdict_name;
use crate::gather::QueryResponse;
use crate::network::Network;
use crate::node::Node;

/// Builds the reply with the result of a query and counts its outcome in the metrics.
pub fn answer_reply<N: Network>(
    node: &Node<N>,
    kind: &str,
    status: u16,
    response: QueryResponse,
    arrived: Instant,
) -> Reply {
    node.metrics.outcome(kind, verdict_name(Verdict::Ran), status);
    let elapsed = now().saturating_duration_since(arrived);
    let coverage = response.coverage;
    let missing = response.missing.into_iter().map(|missing_shard| wire::Missing {
        shard: missing_shard.shard,
        documents: missing_shard.documents,
        reason: missing_shard.reason.to_string(),
    });
    let firms = response.firms.into_iter().map(|(firm, coverage)| wire::FirmCoverage {
        firm: firm.to_string(),
        covered: coverage.covered,
        total: coverage.total,
    });
    let entries = response.entries.into_iter().map(|entry| wire::Entry {
        key: entry.key,
        firm: entry.firm.to_string(),
        title: entry.title,
        score: entry.score,
    });
    let body = wire::Answer {
        request_id: response.request_id,
        verdict: wire::Verdict::Ran.into(),
        snapshot: response.snapshot,
        coverage: Some(wire::Coverage {
            covered: coverage.covered,
            total: coverage.total,
            missing: missing.collect(),
            firms: firms.collect(),
        }),
        complete: coverage.is_complete(),
        entries: entries.collect(),
        total_hits: response.total_hits,
        elapsed_ms: u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX),
        host: node.settings.host.to_string(),
        revision: response.revision,
    };
    reply(status, Verdict::Ran, &body)
}
