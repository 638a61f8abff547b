//! The settings and their defaults.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use galenaloft_policy::ids::HostId;
use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::routing::ExtraRequestLimit;

use crate::bounds::DESCRIPTORS;
use crate::bounds::MEMORY_MB;
use crate::reader::ConfigError;
use crate::reader::Field;
use crate::reader::MapReader;
use crate::reader::parse;
use crate::reader::read_file;

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// Most cores, or times the speed of a usual core, that a host may have.
const MAX_CORES: f64 = 1_024.0;

/// Longest time that a setting may have, in seconds.
const MAX_SECONDS: f64 = 600.0;

/// Longest time that a setting may have, in milliseconds.
const MAX_MILLISECONDS: f64 = 600_000.0;

/// Where the process listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EdgeListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether the host is ready.
    pub readiness: SocketAddr,
    /// For other edge hosts, over UDP and TCP.
    pub peers: SocketAddr,
    /// For readers of metrics.
    pub metrics: SocketAddr,
}

/// Which requests an edge host sends to searchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EdgeAdmission {
    /// All of them.
    All,
    /// While capacity is insufficient, those whose refusal would cost callers most.
    ByCost,
}

/// Settings of an edge host.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Where it listens.
    pub listen: EdgeListen,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Peer addresses of some other hosts, which may be stale.
    pub seeds: Vec<SocketAddr>,
    /// What the host has of a core of usual speed.
    pub cores: f64,
    /// Bound on requests beyond the first of each.
    pub extra: ExtraRequestLimit,
    /// Time from the signal to stop until the process is killed.
    pub grace: Duration,
    /// What an answer needs to reach its caller on an open connection, and the request before it.
    pub caller_round_trip: Duration,
    /// Whether the operator can evacuate zones.
    pub evacuation: bool,
    /// Which requests are sent to searchers.
    pub admission: EdgeAdmission,
    /// Memory of the machine, in MB; `None` if it is not stated.
    pub memory_mb: Option<u32>,
    /// File descriptors that the process may have open; `None` for the limit of the process.
    pub descriptors: Option<u32>,
}

impl EdgeSettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let file = path.display().to_string();
        let text = read_file(path)?;
        Self::parse(&file, &text)
    }

    /// Checks the text of a settings file. `file` is used in errors only.
    pub fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let document = parse(file, text)?;
        let mut top = MapReader::top(file, &document)?;
        let settings = Self {
            host: top.required("host", "the host's name")?.name()?.into(),
            zone: top.required("zone", "the availability zone's name")?.name()?.into(),
            listen: read_listen(&top.required("listen", "the addresses to listen on")?)?,
            store: top.required("store", "the store's IP address and port")?.address()?,
            seeds: match top.optional("seeds") {
                Some(field) => {
                    field.list()?.iter().map(Field::address).collect::<Result<_, _>>()?
                }
                None => Vec::new(),
            },
            cores: read_cores(top.optional("processor"))?,
            extra: read_extra(top.optional("extra-requests"))?,
            grace: match top.optional("grace-seconds") {
                Some(field) => field.units(SECOND, 0.1..=MAX_SECONDS)?,
                None => Duration::from_secs(6),
            },
            caller_round_trip: match top.optional("caller-round-trip-ms") {
                Some(field) => field.units(MILLISECOND, 0.0..=MAX_MILLISECONDS)?,
                None => Duration::from_millis(6),
            },
            evacuation: read_evacuation(top.optional("evacuation"))?,
            admission: read_admission(top.optional("admission"))?,
            memory_mb: read_number(top.optional("memory-mb"), MEMORY_MB)?,
            descriptors: read_number(top.optional("descriptors"), DESCRIPTORS)?,
        };
        top.finish()?;
        Ok(settings)
    }
}

fn read_listen(field: &Field<'_>) -> Result<EdgeListen, ConfigError> {
    let mut map = field.map()?;
    let mut address = |name| map.required(name, "an IP address with its port")?.address();
    let listen = EdgeListen {
        callers: address("callers")?,
        readiness: address("readiness")?,
        peers: address("peers")?,
        metrics: address("metrics")?,
    };
    map.finish()?;
    Ok(listen)
}

fn read_cores(field: Option<Field<'_>>) -> Result<f64, ConfigError> {
    let Some(field) = field else {
        return Ok(1.0);
    };
    let mut map = field.map()?;
    let mut factor = |name| match map.optional(name) {
        Some(field) => field.decimal(0.001..=MAX_CORES),
        None => Ok(1.0),
    };
    let cores = factor("share")? * factor("speed")?;
    map.finish()?;
    Ok(cores)
}

fn read_evacuation(field: Option<Field<'_>>) -> Result<bool, ConfigError> {
    field.map_or(Ok(false), |field| field.choice(&[("true", true), ("false", false)]))
}

fn read_admission(field: Option<Field<'_>>) -> Result<EdgeAdmission, ConfigError> {
    match field {
        Some(field) => field.choice(&[("by-cost", EdgeAdmission::ByCost)]),
        None => Ok(EdgeAdmission::All),
    }
}

fn read_number(
    field: Option<Field<'_>>,
    range: RangeInclusive<u32>,
) -> Result<Option<u32>, ConfigError> {
    field.map(|field| field.number(range)).transpose()
}

fn read_extra(field: Option<Field<'_>>) -> Result<ExtraRequestLimit, ConfigError> {
    let mut bound = ExtraRequestLimit { ratio: 0.1, slack: 10.0, window: Duration::from_secs(10) };
    let Some(field) = field else {
        return Ok(bound);
    };
    let mut map = field.map()?;
    if let Some(field) = map.optional("ratio") {
        bound.ratio = field.decimal(0.0..=10.0)?;
    }
    if let Some(field) = map.optional("slack") {
        bound.slack = field.decimal(0.0..=1_000_000.0)?;
    }
    if let Some(field) = map.optional("window-seconds") {
        bound.window = field.units(SECOND, 0.1..=MAX_SECONDS)?;
    }
    map.finish()?;
    Ok(bound)
}
