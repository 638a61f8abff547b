//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Operates entry hosts and asks them as a caller would.
    ///
    /// Examples:
    ///   galenaloft check sheet.yaml --against published.yaml
    ///   galenaloft status 10.0.0.1:7300 10.0.0.2:7300 --watch
    ///   galenaloft search 10.0.0.1:7100 quick-check "altocumulus lenticularis"
    cmd galenaloft {
        /// Checks a sheet before it is published.
        cmd check {
            /// The sheet, in YAML.
            required sheet: PathBuf
            /// Also prints what would change against this sheet.
            optional --against file: PathBuf
        }
        /// Shows what hosts are doing and which sheet is in force on each.
        cmd status {
            /// Operators' addresses of hosts.
            repeated hosts: SocketAddr
            /// Prints JSON.
            optional --json
            /// Shows it again every second.
            optional --watch
        }
        /// Tells why a recent request got the answer that it got.
        cmd explain {
            /// Operators' address of the host that answered.
            required host: SocketAddr
            /// Identity of the request, as in its answer.
            required request: String
        }
        /// Reads logs of edge hosts: the story of one request, or the causes of all that failed.
        cmd logs {
            /// Log files of any number of hosts; standard input if none is given.
            repeated files: PathBuf
            /// Identity of the request.
            optional --request request: String
        }
        /// Starts a planned stop of a host.
        cmd drain {
            /// Operators' address of the host.
            required host: SocketAddr
        }
        /// Searches a collection.
        cmd search {
            /// Callers' address of a host.
            required host: SocketAddr
            /// Kind of work.
            required kind: String
            /// Words that entries must have.
            required query: String
            /// Most entries wanted; 10 if not given.
            optional --limit entries: u32
        }
        /// Fetches one entry by its key.
        cmd fetch {
            /// Callers' address of a host.
            required host: SocketAddr
            /// Kind of work.
            required kind: String
            /// Key of the entry.
            required key: String
        }
        /// Files a submission once.
        cmd file {
            /// Callers' address of a host.
            required host: SocketAddr
            /// Kind of work.
            required kind: String
            /// Key that the submission concerns.
            required key: String
            /// Content of the submission.
            required body: String
            /// Ticket of an earlier try, to learn its outcome.
            optional --ticket ticket: String
        }
        /// Makes a reservation once.
        cmd reserve {
            /// Callers' address of a host.
            required host: SocketAddr
            /// Kind of work.
            required kind: String
            /// Key that the reservation concerns.
            required key: String
            /// Content of the reservation.
            required body: String
            /// Ticket of an earlier try, to learn its outcome.
            optional --ticket ticket: String
        }
        /// Prints a completion script for a shell.
        cmd completions {
            /// One of bash, fish, zsh.
            required shell: String
        }
    }
}
