//! Checked options and the scene.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use galenaloft_config::reader::ConfigError;
use galenaloft_config::reader::Field;
use galenaloft_config::reader::MapReader;
use galenaloft_config::reader::parse;
use galenaloft_config::reader::read_file;

use crate::error::StandinError;

/// Longest life of a stand-in, so that a forgotten one ends by itself.
const MAX_SECONDS: u64 = 24 * 3600;

/// Life of a stand-in when the command line does not say.
const DEFAULT_SECONDS: u64 = 3_600;

/// Longest service time and connect cost of a searcher.
const MAX_COST: Duration = Duration::from_secs(10);

/// One entry host of the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    /// Name of the host.
    pub id: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Where it answers other entry hosts.
    pub peers: SocketAddr,
}

/// One collection and the searchers that serve it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CollectionScene {
    /// Name of the collection.
    pub name: String,
    /// Words that titles are made of.
    pub theme: String,
    /// Documents of the whole collection.
    pub documents: u32,
    /// Shards of each snapshot.
    pub shards: u32,
    /// Searchers in all; shard i is on the searchers i, i + 1, ... up to its replicas.
    pub searchers: u32,
    /// Replicas of each shard.
    pub replicas: u32,
    /// Requests that a searcher runs at the same time.
    pub slots: u32,
    /// Connections that a searcher accepts.
    pub connections: u32,
    /// Time that a new connection costs.
    pub connect_cost: Duration,
    /// Mean time to serve one request.
    pub service: Duration,
}

/// What the stand-in plays.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scene {
    /// Seed of the catalogue and of all random delays.
    pub seed: u64,
    /// Availability zones; searchers take turns among them.
    pub zones: Vec<String>,
    /// Port of the platform's service; searchers have the ports from this plus 100 on.
    pub port: u16,
    /// File of the sheet that is published at the start.
    pub sheet: PathBuf,
    /// Former firms of the entries.
    pub firms: Vec<String>,
    /// Entry hosts of the host list.
    pub entry_hosts: Vec<EntryHost>,
    /// Collections.
    pub collections: Vec<CollectionScene>,
}

/// Checked options.
#[derive(Debug)]
pub struct Options {
    /// What to play.
    pub scene: Scene,
    /// Text of the sheet that is published at the start.
    pub sheet: String,
    /// When to end.
    pub life: Duration,
}

impl Options {
    /// Checks the texts of a scene and of its sheet. `file` is used in errors only.
    pub fn from_texts(file: &str, scene: &str, sheet: &str) -> Result<Self, StandinError> {
        let scene = Scene::parse(file, scene)?;
        Ok(Self { scene, sheet: sheet.to_owned(), life: Duration::from_secs(DEFAULT_SECONDS) })
    }

    /// Checks a scene file, the sheet that it names, and the life in seconds.
    pub fn load(path: &Path, seconds: Option<u64>) -> Result<Self, StandinError> {
        let seconds = seconds.unwrap_or(DEFAULT_SECONDS);
        if seconds == 0 || seconds > MAX_SECONDS {
            return Err(StandinError::Seconds(seconds, MAX_SECONDS));
        }
        let file = path.display().to_string();
        let scene = Scene::parse(&file, &read_file(path)?)?;
        let base = path.parent().unwrap_or(Path::new("."));
        let sheet = read_file(&base.join(&scene.sheet))?;
        Ok(Self { scene, sheet, life: Duration::from_secs(seconds) })
    }
}

impl Scene {
    fn parse(file: &str, text: &str) -> Result<Self, ConfigError> {
        let document = parse(file, text)?;
        let mut top = MapReader::top(file, &document)?;
        let scene = Self {
            seed: u64::from(top.required("seed", "a number")?.number(0..=u32::MAX)?),
            zones: names(&top.required("zones", "a list of zones")?)?,
            port: top.required("port", "a port")?.number(1_024..=50_000)? as u16,
            sheet: top.required("sheet", "a file")?.text()?.into(),
            firms: names(&top.required("firms", "a list of firms")?)?,
            entry_hosts: each(&top.required("entry-hosts", "a list")?, read_entry_host)?,
            collections: each(&top.required("collections", "a list")?, read_collection)?,
        };
        top.finish()?;
        Ok(scene)
    }

    /// Returns the address of the platform's service.
    pub fn platform(&self) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::LOCALHOST, self.port))
    }
}

fn names(field: &Field<'_>) -> Result<Vec<String>, ConfigError> {
    let names = each(field, |item| Ok(item.name()?.to_owned()))?;
    if names.is_empty() { Err(field.invalid("a list of at least one name")) } else { Ok(names) }
}

fn each<T>(
    field: &Field<'_>,
    read: impl Fn(&Field<'_>) -> Result<T, ConfigError>,
) -> Result<Vec<T>, ConfigError> {
    field.list()?.iter().map(read).collect()
}

fn read_entry_host(field: &Field<'_>) -> Result<EntryHost, ConfigError> {
    let mut map = field.map()?;
    let host = EntryHost {
        id: map.required("id", "a name")?.name()?.to_owned(),
        zone: map.required("zone", "a zone")?.name()?.to_owned(),
        peers: map.required("peers", "an address")?.address()?,
    };
    map.finish()?;
    Ok(host)
}

fn read_collection(field: &Field<'_>) -> Result<CollectionScene, ConfigError> {
    let mut map = field.map()?;
    let cost = Duration::ZERO..=MAX_COST;
    let collection = CollectionScene {
        name: map.required("name", "a name")?.name()?.to_owned(),
        theme: map.required("theme", "clouds or balloons")?.name()?.to_owned(),
        documents: map.required("documents", "a number")?.number(1..=10_000_000)?,
        shards: map.required("shards", "a number")?.number(1..=10_000)?,
        searchers: map.required("searchers", "a number")?.number(1..=10_000)?,
        replicas: map.required("replicas", "a number")?.number(1..=10)?,
        slots: map.required("slots", "a number")?.number(1..=1_000)?,
        connections: map.required("connections", "a number")?.number(1..=10_000)?,
        connect_cost: map.required("connect-cost", "a duration")?.duration(cost.clone())?,
        service: map.required("service", "a duration")?.duration(cost)?,
    };
    map.finish()?;
    if collection.replicas > collection.searchers {
        return Err(field.invalid("at least as many searchers as replicas"));
    }
    Ok(collection)
}
