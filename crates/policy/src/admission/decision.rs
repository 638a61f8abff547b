//! Decides what a query does next when it may already have asked the shards of another snapshot.

/// The next step of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryAction {
    /// Ask the shards of the snapshot.
    AskShards,
    /// Keep the answer from an earlier snapshot, since another round would be shed.
    KeepAnswer,
    /// Refuse the query; no shard has run it.
    Refuse,
}

/// Returns the next step of a query, given whether it has asked the shards of another snapshot
/// before and whether the shards now admit it.
///
/// A query that has asked shards is never refused, because some of them may have run it and a
/// refusal would report that it was not run.
pub fn next_action(asked_before: bool, admitted: bool) -> QueryAction {
    match (admitted, asked_before) {
        (true, _) => QueryAction::AskShards,
        (false, true) => QueryAction::KeepAnswer,
        (false, false) => QueryAction::Refuse,
    }
}
