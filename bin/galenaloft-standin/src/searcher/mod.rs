//! The searchers that the stand-in plays.

mod faults;
mod handler;
mod process;
mod state;

pub use faults::Fault;
pub use process::SearcherProcess;
pub use state::RunLog;
pub use state::SearcherState;
