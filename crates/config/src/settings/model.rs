//! The settings and their defaults.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use galenaloft_policy::ids::HostId;
use galenaloft_policy::ids::ZoneId;

use crate::bounds::DESCRIPTORS;
use crate::bounds::MEMORY_MB;
use crate::reader::ConfigError;
use crate::reader::Field;
use crate::reader::MapReader;
use crate::reader::parse;
use crate::reader::read_file;

/// Longest time that a limit may be set to.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Where the process listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other entry hosts.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Bounds on what callers may take up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Open connections from callers.
    pub connections: u32,
    /// Requests that callers have in progress.
    pub requests: u32,
    /// Size of a request's body, in bytes.
    pub body: u32,
    /// Time for a request's head and body to arrive.
    pub read_timeout: Duration,
    /// Tickets that are remembered.
    pub tickets: u32,
    /// Memory of the machine, in MB; `None` if it is not stated.
    pub memory_mb: Option<u32>,
    /// File descriptors that the process may have open; `None` for the limit of the process.
    pub descriptors: Option<u32>,
}

/// How a planned stop goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    /// How long the balancer may go on sending after the host is no longer ready.
    pub balancer_lag: Duration,
    /// How long running requests may take after that.
    pub grace: Duration,
}

/// Least level of the events that are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Changes of state, and worse.
    Info,
    /// What an operator may have to look at, and worse.
    Warn,
    /// Failures only.
    Error,
}

/// Settings of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Where it listens.
    pub listen: Listen,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Addresses of other hosts to ask before the platform's list is known.
    pub peers: Vec<SocketAddr>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Planned stop.
    pub drain: Drain,
    /// Least level of logged events.
    pub log: LogLevel,
}

impl Settings {
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
            platform: top.required("platform", "the platform's IP address and port")?.address()?,
            peers: read_peers(top.optional("peers"))?,
            limits: read_limits(top.optional("limits"))?,
            drain: read_drain(top.optional("drain"))?,
            log: read_log(top.optional("log"))?,
        };
        top.finish()?;
        Ok(settings)
    }
}

fn read_listen(field: &Field<'_>) -> Result<Listen, ConfigError> {
    let mut map = field.map()?;
    let listen = Listen {
        callers: map.required("callers", "an IP address with its port")?.address()?,
        peers: map.required("peers", "an IP address with its port")?.address()?,
        operators: map.required("operators", "an IP address with its port")?.address()?,
    };
    map.finish()?;
    Ok(listen)
}

fn read_peers(field: Option<Field<'_>>) -> Result<Vec<SocketAddr>, ConfigError> {
    let Some(field) = field else {
        return Ok(Vec::new());
    };
    field.list()?.iter().map(Field::address).collect()
}

fn read_limits(field: Option<Field<'_>>) -> Result<Limits, ConfigError> {
    let mut limits = Limits {
        connections: 2_048,
        requests: 4_096,
        body: 64 * 1024,
        read_timeout: Duration::from_secs(5),
        tickets: 100_000,
        memory_mb: None,
        descriptors: None,
    };
    let Some(field) = field else {
        return Ok(limits);
    };
    let mut map = field.map()?;
    set(&mut limits.connections, map.optional("connections"), |f| f.number(1..=1_000_000))?;
    set(&mut limits.requests, map.optional("requests"), |f| f.number(1..=1_000_000))?;
    set(&mut limits.body, map.optional("body-bytes"), |f| f.number(256..=16_777_216))?;
    set(&mut limits.read_timeout, map.optional("read-timeout"), timeout)?;
    set(&mut limits.tickets, map.optional("tickets"), |f| f.number(1..=10_000_000))?;
    set(&mut limits.memory_mb, map.optional("memory-mb"), |f| f.number(MEMORY_MB).map(Some))?;
    set(&mut limits.descriptors, map.optional("descriptors"), |f| f.number(DESCRIPTORS).map(Some))?;
    map.finish()?;
    Ok(limits)
}

fn read_drain(field: Option<Field<'_>>) -> Result<Drain, ConfigError> {
    let mut drain = Drain { balancer_lag: Duration::from_secs(2), grace: Duration::from_secs(20) };
    let Some(field) = field else {
        return Ok(drain);
    };
    let mut map = field.map()?;
    set(&mut drain.balancer_lag, map.optional("balancer-lag"), timeout)?;
    set(&mut drain.grace, map.optional("grace"), timeout)?;
    map.finish()?;
    Ok(drain)
}

fn read_log(field: Option<Field<'_>>) -> Result<LogLevel, ConfigError> {
    let choices = [
        ("debug", LogLevel::Debug),
        ("info", LogLevel::Info),
        ("warn", LogLevel::Warn),
        ("error", LogLevel::Error),
    ];
    match field {
        Some(field) => field.choice(&choices),
        None => Ok(LogLevel::Info),
    }
}

fn timeout(field: &Field<'_>) -> Result<Duration, ConfigError> {
    field.duration(Duration::from_millis(1)..=MAX_TIMEOUT)
}

fn set<T>(
    target: &mut T,
    field: Option<Field<'_>>,
    read: impl FnOnce(&Field<'_>) -> Result<T, ConfigError>,
) -> Result<(), ConfigError> {
    if let Some(field) = field {
        *target = read(&field)?;
    }
    Ok(())
}
