//! Logs of one `key=value` line per event.

mod background;
mod event;
mod limiter;
mod setup;
#[cfg(test)]
mod tests;

pub use event::Event;
#[cfg(test)]
pub(crate) use limiter::Limiter;
pub use setup::Level;
pub use setup::init;
pub use setup::init_bounded;
pub use setup::silence;
