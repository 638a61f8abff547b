//! Submissions: filings and reservations. The holder of a ticket runs its submission at most once.

mod copies;
mod handover;
mod outcome;
mod run;

pub use copies::OutcomeCopies;
pub use outcome::SubmitOutcome;
