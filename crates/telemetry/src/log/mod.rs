//! Logs of one `key=value` line per event.

mod event;
mod setup;
#[cfg(test)]
mod tests;

pub use event::Event;
pub use setup::Level;
pub use setup::init;
pub use setup::silence;
