//! The published values (sheet and layout): the current ones of this host, and how they are kept up
//! to date.

mod alarms;
mod values;
mod watcher;

pub use alarms::Alarm;
pub use alarms::Alarms;
pub use values::Values;
pub use watcher::fetch_from_peer;
pub use watcher::fetch_initial_values;
pub use watcher::refresh_values;
pub use watcher::run_host_list_reader;
pub use watcher::run_watcher;
