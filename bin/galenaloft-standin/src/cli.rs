//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Plays many searchers, the configuration service and the host list on loopback.
    ///
    /// Example: galenaloft-standin --scene examples/scenes/kartenhaus.yaml
    cmd galenaloft-standin {
        /// Scene to play, in YAML.
        required -s, --scene file: PathBuf
        /// Ends the stand-in after this many seconds; 3600 if not given.
        optional --seconds seconds: u64
    }
}
