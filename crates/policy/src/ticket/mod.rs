//! Tickets: idempotency tokens. Each names one submission, which runs at most once across all
//! hosts.

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
