//! Errors that end the daemon.

use std::io;

use galenaloft_config::reader::ConfigError;
use galenaloft_edge::ServeError;
use quick_error::quick_error;

quick_error! {
    /// Why the daemon cannot run.
    #[derive(Debug)]
    pub enum EdgeError {
        /// The settings file cannot be read or is invalid.
        Config(e: ConfigError) {
            from()
            display("{}", e)
        }
        /// The runtime or the log cannot be set up.
        Setup(e: io::Error) {
            from()
            display("cannot start: {}", e)
        }
        /// The host cannot listen on an address or handle signals.
        Serve(e: ServeError) {
            from()
            display("{}", e)
        }
    }
}
