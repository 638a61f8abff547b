//! Errors that end the stand-in.

use std::io;
use std::net::SocketAddr;

use galenaloft_config::reader::ConfigError;
use quick_error::quick_error;

quick_error! {
    /// Why the stand-in cannot run.
    #[derive(Debug)]
    pub enum StandinError {
        /// The scene is refused.
        Config(e: ConfigError) {
            from()
            display("{}", e)
        }
        /// The life is out of range.
        Seconds(seconds: u64, most: u64) {
            display("`--seconds` is `{}`; give a number from 1 to {}", seconds, most)
        }
        /// An address cannot be listened on.
        Listen(address: SocketAddr, e: io::Error) {
            display("cannot listen on {}: {}", address, e)
        }
        /// The runtime cannot be set up.
        Setup(e: io::Error) {
            from()
            display("cannot start: {}", e)
        }
    }
}
