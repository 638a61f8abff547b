//! Published values: what is in force here, and how it is kept up to date.

mod alarms;
mod values;
mod watcher;

pub use alarms::Alarm;
pub use alarms::Alarms;
pub use values::Values;
pub use watcher::fetch_at_start;
pub use watcher::fetch_from_peer;
pub use watcher::refresh;
pub use watcher::run_host_list;
pub use watcher::run_watcher;
