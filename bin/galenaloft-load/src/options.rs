//! Checked options of the load.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use galenaloft_config::reader::read_file;
use galenaloft_config::sheet::Kind;
use galenaloft_config::sheet::Sheet;

use crate::cli::GalenaloftLoad;
use crate::error::LoadError;

/// Longest load, so that it stops by itself.
const MAX_SECONDS: u64 = 3_600;

/// Greatest rate of one kind, in requests per second.
const MAX_RATE: f64 = 100_000.0;

/// Length of the load when the command line does not say, in seconds.
const DEFAULT_SECONDS: u64 = 10;

/// Documents that keys are drawn from when the command line does not say.
const DEFAULT_KEYS: u32 = 300;

/// One kind of work and its rate.
#[derive(Debug, Clone, PartialEq)]
pub struct Stream {
    /// Name of the kind.
    pub name: String,
    /// Terms of the kind.
    pub kind: Kind,
    /// Requests per second.
    pub rate: f64,
}

/// Checked options.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Callers' addresses of the hosts.
    pub hosts: Vec<SocketAddr>,
    /// Operators' addresses of the hosts.
    pub operators: Vec<SocketAddr>,
    /// Kinds of work.
    pub streams: Vec<Stream>,
    /// Length of the load.
    pub length: Duration,
    /// Time at the start that is not counted.
    pub warm_up: Duration,
    /// Seed of everything random.
    pub seed: u64,
    /// Documents that keys are drawn from.
    pub keys: u32,
    /// Where the JSON report goes.
    pub json: Option<PathBuf>,
    /// Where the plot goes.
    pub plot: Option<PathBuf>,
    /// Whether progress is shown.
    pub progress: bool,
}

impl Options {
    /// Checks the command line and the sheet that it names.
    pub fn from_flags(flags: GalenaloftLoad) -> Result<Self, LoadError> {
        if flags.host.is_empty() {
            return Err(LoadError::Missing("--host"));
        }
        if flags.kind.is_empty() {
            return Err(LoadError::Missing("--kind"));
        }
        let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS);
        let warm_up = flags.warm_up.unwrap_or(1);
        if seconds == 0 || seconds > MAX_SECONDS || warm_up >= seconds {
            return Err(LoadError::Seconds(seconds, warm_up));
        }
        let sheet = load_sheet(&flags.sheet)?;
        let streams = flags.kind.iter().map(|text| stream(text, &sheet)).collect::<Result<_, _>>();
        Ok(Self {
            hosts: flags.host,
            operators: flags.operators,
            streams: streams?,
            length: Duration::from_secs(seconds),
            warm_up: Duration::from_secs(warm_up),
            seed: flags.seed.unwrap_or(1),
            keys: flags.keys.unwrap_or(DEFAULT_KEYS).max(1),
            json: flags.json,
            plot: flags.plot,
            progress: !flags.quiet,
        })
    }
}

fn load_sheet(path: &Path) -> Result<Sheet, LoadError> {
    let file = path.display().to_string();
    Ok(Sheet::parse(&file, &read_file(path)?)?)
}

fn stream(text: &str, sheet: &Sheet) -> Result<Stream, LoadError> {
    let bad = || LoadError::Kind(text.to_owned());
    let (name, rate) = text.split_once('=').ok_or_else(bad)?;
    let rate: f64 = rate.parse().map_err(|_| bad())?;
    let (_, kind) = sheet.kind(name).ok_or_else(bad)?;
    if !(rate > 0.0 && rate <= MAX_RATE) {
        return Err(bad());
    }
    Ok(Stream { name: name.to_owned(), kind: kind.clone(), rate })
}
