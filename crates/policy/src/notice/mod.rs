//! Statements of searchers about themselves, which come with their answers, and what a host may
//! send them accordingly.

mod gate;
mod leaving_runs;
mod statement;
#[cfg(test)]
mod tests;

pub use gate::Gate;
pub use leaving_runs::LeavingRuns;
pub use statement::Notice;
