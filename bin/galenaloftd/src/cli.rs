//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Runs an entry host: gathers answers for callers and schedules searchers' slots.
    ///
    /// Example: galenaloftd --settings /etc/galenaloft/host.yaml
    cmd galenaloftd {
        /// Settings file of the host, in YAML.
        required -s, --settings file: PathBuf
        /// Only checks the settings file.
        optional --check
    }
}
