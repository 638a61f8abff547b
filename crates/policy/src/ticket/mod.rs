//! Tickets: idempotency tokens that let one process run a submission at most once.

mod id;
mod outcome;
mod table;
#[cfg(test)]
mod tests;

pub use id::Ticket;
pub use id::TicketKey;
pub use id::TicketParseError;
pub use outcome::StoredOutcome;
pub use table::BeginOutcome;
pub use table::Handover;
pub use table::TicketTable;
