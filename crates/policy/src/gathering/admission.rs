//! Refusal of queries whose coverage floor cannot be met because searchers take no requests.

use std::time::Instant;

/// Whether a query can ask a shard now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardAccess {
    /// It can, or an attempt shows whether it can.
    Open,
    /// No searcher of the shard takes requests from this host before this time.
    ClosedUntil(Instant),
}

/// Returns the time until which a query over these shards is refused, or `None` if it can get
/// `min_parts` of them. Such a query is not sent to the open shards either: their work would be of no
/// use.
pub fn refuse_until(
    shards: impl IntoIterator<Item = ShardAccess>,
    min_parts: usize,
) -> Option<Instant> {
    let mut open = 0;
    let mut openings = Vec::new();
    for shard in shards {
        match shard {
            ShardAccess::Open => open += 1,
            ShardAccess::ClosedUntil(at) => openings.push(at),
        }
    }
    let needed = min_parts.saturating_sub(open);
    openings.sort_unstable();
    openings.into_iter().take(needed).next_back()
}
