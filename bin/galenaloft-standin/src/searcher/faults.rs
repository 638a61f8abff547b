//! Faults of a searcher, switched at run time.

use serde::Deserialize;

/// A fault of one searcher.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// No fault: it serves again.
    None,
    /// It serves this many times slower.
    Slow {
        /// Factor of the service time.
        factor: u32,
    },
    /// It refuses connections and drops those that it has.
    Killed,
    /// It accepts connections and answers nothing.
    Frozen,
    /// It says that it is leaving and takes no new work.
    Draining,
    /// It runs each request and then drops the connection without a reply.
    LostReplies,
    /// It answers with the number of another attempt.
    CrossedReplies,
    /// It claims to hold no snapshot that it is asked for.
    NoSnapshots,
    /// It refuses all work as overloaded.
    Shedding,
}
