//! Errors that prevent the host from serving.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Reason why the host could not start serving.
    #[derive(Debug)]
    pub enum ServeError {
        /// A listening socket could not be bound to its address.
        Listen(address: SocketAddr, e: io::Error) {
            display("cannot listen on {}: {}", address, e)
        }
        /// A signal handler could not be installed.
        Signals(e: io::Error) {
            display("cannot install signal handlers: {}", e)
        }
    }
}
