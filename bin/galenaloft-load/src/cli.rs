//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Sends requests at fixed rates, however slow the answers are, and reports per kind of work.
    ///
    /// Example:
    ///   galenaloft-load --sheet sheet.yaml --kind quick-check=200 --kind file-submission=5 \
    ///     --host 127.0.0.1:27000 --host 127.0.0.1:27001 --seconds 10
    cmd galenaloft-load {
        /// Sheet that names the kinds.
        required --sheet file: PathBuf
        /// Callers' address of a host; give it once for each host.
        repeated --host address: SocketAddr
        /// Kind of work and its rate in requests per second, as kind=rate.
        repeated --kind rate: String
        /// Length of the load in seconds; 10 if not given, 3600 at most.
        optional --seconds seconds: u64
        /// Seconds at the start that are not counted; 1 if not given.
        optional --warm-up seconds: u64
        /// Operators' address of a host, to read extra load from; give it once for each host.
        repeated --operators address: SocketAddr
        /// Seed of arrival times, queries and keys; 1 if not given.
        optional --seed seed: u64
        /// Number of documents that keys are drawn from; 300 if not given.
        optional --keys count: u32
        /// Writes the report as JSON to this file.
        optional --json file: PathBuf
        /// Writes the latency distribution of each kind as SVG to this file.
        optional --plot file: PathBuf
        /// Shows no progress.
        optional --quiet
    }
}
