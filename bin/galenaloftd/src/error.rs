//! Errors that end the daemon.

use std::io;
use std::net::SocketAddr;

use galenaloft_config::reader::ConfigError;
use quick_error::quick_error;

quick_error! {
    /// Why the daemon cannot run.
    #[derive(Debug)]
    pub enum DaemonError {
        /// The settings are refused.
        Config(e: ConfigError) {
            from()
            display("{}", e)
        }
        /// An address cannot be listened on.
        Listen(address: SocketAddr, e: io::Error) {
            display("cannot listen on {}: {}", address, e)
        }
        /// The runtime, the log or a signal handler cannot be set up.
        Setup(e: io::Error) {
            from()
            display("cannot start: {}", e)
        }
    }
}
