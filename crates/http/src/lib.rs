//! Bounded HTTP/1.1 on both sides: a server with limits and a client of one connection.

mod body;
mod budget;
mod client;
mod error;
mod respond;
mod segments;
mod server;
mod stream;

pub use budget::Budget;
pub use budget::max_caller_connections;
pub use client::Connection;
pub use client::prepare;
pub use error::HttpError;
pub use respond::Reply;
pub use respond::json;
pub use respond::text;
pub use server::Arrival;
pub use server::Limits;
pub use server::Server;

/// Version of the HTTP types that this package speaks.
pub use hyper;
