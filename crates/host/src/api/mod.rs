//! The HTTP interfaces of a host: one for callers, one for operators.

mod answer;
mod callers;
mod decode;
mod in_progress;
mod operators;
mod reply;

pub use callers::handle_caller;
pub use operators::handle_operator;
pub use reply::server_error_reply;
