//! Errors of one HTTP exchange.

use hyper::StatusCode;
use quick_error::quick_error;

quick_error! {
    /// Why an HTTP exchange failed, and whether the request may have been received.
    #[derive(Debug)]
    pub enum HttpError {
        /// No connection could be made.
        Connect(why: String) {
            display("cannot connect: {}", why)
        }
        /// The connection ended before any byte of the request was written.
        NotSent(why: String) {
            display("request not sent: {}", why)
        }
        /// The connection ended after the request was written, at least in part.
        Lost(why: String) {
            display("connection lost after the request was sent: {}", why)
        }
        /// The reply has a status that is no final one.
        NoFinalStatus(status: StatusCode) {
            display("status {} is not final", status.as_u16())
        }
        /// The reply is larger than allowed.
        TooLarge(limit: usize) {
            display("reply exceeds {} bytes", limit)
        }
    }
}

impl HttpError {
    /// Returns whether the other side may have received the request.
    pub fn may_be_received(&self) -> bool {
        match self {
            Self::Connect(_) | Self::NotSent(_) => false,
            Self::Lost(_) | Self::NoFinalStatus(_) | Self::TooLarge(_) => true,
        }
    }
}
