//! Statements of searchers about themselves, which come with their answers, and what a host may
//! send them accordingly.

mod gate;
mod leaving_runs;
mod limit;
mod statement;
#[cfg(test)]
mod tests;
mod warmup;

pub use gate::Gate;
pub use gate::GateChange;
pub use leaving_runs::LeavingRuns;
pub use limit::LimitPart;
pub use limit::LimitReport;
pub use limit::LimitSharers;
pub use limit::SharedLimit;
pub use limit::report_interval;
pub use statement::Notice;
pub use statement::StatedLimit;
pub use statement::StatedLoad;
pub use warmup::Warmup;
pub use warmup::WarmupReport;
