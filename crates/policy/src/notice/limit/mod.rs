//! Limits on the requests that a searcher takes from all hosts together, and the part of one host.
//!
//! A searcher states its limit in its answers. The hosts report to each other what they would like to
//! send it, divide the limit accordingly, and keep to their parts without asking each other for each
//! request.

mod demand;
mod division;
mod report;
mod shared;
#[cfg(test)]
mod tests;

pub use division::LimitPart;
pub use division::LimitSharers;
pub use report::LimitReport;
pub use report::report_interval;
pub use shared::SharedLimit;
