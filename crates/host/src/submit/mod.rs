//! Submissions, that is filings and reservations, each of which the holder of its ticket runs at
//! most once.

mod copies;
mod handover;
mod outcome;
mod run;

pub use copies::OutcomeCopies;
pub use outcome::SubmitOutcome;
