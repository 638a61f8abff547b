//! What the tasks of every kind of host share: the clock, locks, and the log of membership.

pub mod clock;
pub mod membership;
pub mod sync;
