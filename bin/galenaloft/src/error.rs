//! Errors that end a command.

use std::io;
use std::net::SocketAddr;

use galenaloft_caller::CallerError;
use galenaloft_config::reader::ConfigError;
use galenaloft_operator::OperatorError;
use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// A sheet is refused.
        Config(e: ConfigError) {
            from()
            display("{}", e)
        }
        /// No host was named.
        NoHosts {
            display("no host is named; give the operators' address of at least one")
        }
        /// Two formats were asked for.
        JsonAndWatch {
            display("`--json` and `--watch` exclude each other")
        }
        /// The shell has no completion script.
        UnknownShell(name: String) {
            display("shell is `{}`; give one of bash, fish, zsh", name)
        }
        /// A host gave an operator no answer.
        Operator(host: SocketAddr, e: OperatorError) {
            display("host {}: {}", host, e)
        }
        /// A host gave a caller no answer.
        Caller(host: SocketAddr, e: CallerError) {
            display("host {}: {} (verdict {})", host, e, e.verdict().as_str_name())
        }
        /// The runtime cannot be set up.
        Setup(e: io::Error) {
            from()
            display("cannot start: {}", e)
        }
    }
}
