//! Load shedding that drops the same queries at every shard.

pub mod by_cost;
mod controller;
mod decision;
mod draw;
mod reported;
#[cfg(test)]
mod tests;

pub use controller::AdmissionController;
pub use decision::QueryAction;
pub use decision::next_action;
pub use draw::Draw;
pub use reported::ReportedShare;
