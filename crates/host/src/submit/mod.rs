//! Filings and reservations: run by the holder of their ticket, at most once.

mod copies;
mod handover;
mod outcome;
mod run;

pub use copies::OutcomeCopies;
pub use outcome::SubmitOutcome;
