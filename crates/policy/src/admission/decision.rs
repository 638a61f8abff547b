//! What admission means for a query that may have been asked already.

/// What a query does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueryAction {
    /// It asks its shards.
    AskShards,
    /// It keeps the answer that it has, since asking again would be shed.
    KeepAnswer,
    /// It is refused, and nothing of it has run.
    Refuse,
}

/// Decides for a query that is `admitted` or not. One that was asked before is never refused: some
/// of its shards may have run.
pub fn next_action(asked_before: bool, admitted: bool) -> QueryAction {
    match (admitted, asked_before) {
        (true, _) => QueryAction::AskShards,
        (false, true) => QueryAction::KeepAnswer,
        (false, false) => QueryAction::Refuse,
    }
}
