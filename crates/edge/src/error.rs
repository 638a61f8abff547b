//! Errors that end the host.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why the host cannot serve.
    #[derive(Debug)]
    pub enum ServeError {
        /// An address cannot be listened on.
        Listen(address: SocketAddr, e: io::Error) {
            display("cannot listen on {}: {}", address, e)
        }
        /// A signal handler cannot be set up.
        Signals(e: io::Error) {
            display("cannot handle signals: {}", e)
        }
    }
}
