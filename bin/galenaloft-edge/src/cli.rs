//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs an edge host, which answers requests by querying the searchers that the platform lists.
    ///
    /// Example: galenaloft-edge --settings /etc/galenaloft/edge.yaml
    cmd galenaloft-edge {
        /// Settings file of the host, in YAML.
        required -s, --settings file: PathBuf
        /// Check the settings file and exit.
        optional --check
    }
}
