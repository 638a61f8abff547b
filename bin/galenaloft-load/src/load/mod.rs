//! Sending the load.

mod attempts;
mod driver;
mod pool;
mod request;
mod tally;

pub use driver::Outcome;
pub use driver::run;
pub use tally::Tally;
