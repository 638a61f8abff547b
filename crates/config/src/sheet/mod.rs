//! The operators' sheet: ranks, kinds of work and what each must achieve.

mod diff;
mod kind;
mod model;
#[cfg(test)]
mod tests;

pub use diff::diff;
pub use kind::Kind;
pub use kind::Stragglers;
pub use kind::TimeOfDay;
pub use model::RankPolicy;
pub use model::Sheet;
