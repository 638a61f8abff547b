//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs edge hosts as processes, injects faults and checks what callers and searchers saw.
    ///
    /// Example: galenaloft-soak --seed 1 --count 50
    cmd galenaloft-soak {
        /// First seed; drawn from the clock if left out.
        optional --seed seed: u64
        /// Number of seeds, one after the other; 1 if left out.
        optional --count count: u64
        /// Seconds of faults for each seed; 12 if left out.
        optional --seconds seconds: u64
        /// Hosts, at most 200; 6 if left out.
        optional --hosts hosts: usize
        /// Shards of the index; 10 if left out.
        optional --shards shards: usize
        /// First port of the hosts; 30000 if left out.
        optional --port port: u16
        /// The hosts' program; the one beside this program if left out.
        optional --edge binary: PathBuf
        /// Folder that keeps the hosts' logs.
        optional --logs folder: PathBuf
    }
}
