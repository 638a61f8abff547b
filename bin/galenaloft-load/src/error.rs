//! Errors that end the load tool.

use std::io;
use std::path::PathBuf;

use galenaloft_config::reader::ConfigError;
use quick_error::quick_error;

quick_error! {
    /// Why there is no report.
    #[derive(Debug)]
    pub enum LoadError {
        /// The sheet is refused.
        Config(e: ConfigError) {
            from()
            display("{}", e)
        }
        /// An option is missing.
        Missing(option: &'static str) {
            display("`{}` is missing; give it at least once", option)
        }
        /// The length of the load is out of range.
        Seconds(seconds: u64, warm_up: u64) {
            display("`--seconds` is `{}` with `--warm-up` `{}`; give 1 to 3600 and less", seconds, warm_up)
        }
        /// A rate cannot be read.
        Kind(text: String) {
            display("`--kind` is `{}`; give kind=rate with a kind of the sheet and a rate up to 100000", text)
        }
        /// The report cannot be written.
        Report(path: PathBuf, why: String) {
            display("cannot write {}: {}", path.display(), why)
        }
        /// The runtime cannot be set up.
        Setup(e: io::Error) {
            from()
            display("cannot start: {}", e)
        }
    }
}
