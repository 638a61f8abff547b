//! A small world around real hosts: links, searchers and a platform with faults, under a paused
//! clock, so that a seed replays exactly.

pub mod calls;
pub mod catalogue;
pub mod checks;
pub mod links;
pub mod oracle;
pub mod platform;
pub mod scene;
pub mod searchers;
pub mod steps;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use galenaloft_host::Node;
use galenaloft_host::network::Network;
use tokio::time::sleep;

use crate::world::catalogue::Catalogue;
use crate::world::links::FakeConnector;
use crate::world::oracle::Oracle;
use crate::world::platform::FakePlatform;
use crate::world::platform::Platform;
use crate::world::searchers::FakeLink;
use crate::world::searchers::Searcher;

/// Hosts of the world; host i is in zone i % 2.
pub const HOSTS: usize = 4;

/// Delay of every message.
pub const DELAY: Duration = Duration::from_millis(1);

/// How often a held message looks whether it may go on.
const HOLD: Duration = Duration::from_millis(20);

/// One run of one host's process.
pub type ProcessId = u64;

pub type FakeNode = Node<FakeEdges>;

#[derive(Debug)]
pub struct FakeEdges;

impl Network for FakeEdges {
    type Peers = FakeConnector;
    type Searchers = FakeLink;
    type Platform = FakePlatform;
}

/// An end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    Host(usize),
    Searcher(usize),
    Platform,
}

#[derive(Debug)]
pub struct Process {
    pub id: ProcessId,
    pub node: Arc<FakeNode>,
}

#[derive(Debug, Default)]
pub struct Inner {
    pub processes: BTreeMap<usize, Process>,
    pub dead: BTreeSet<ProcessId>,
    pub frozen: BTreeSet<usize>,
    /// Callers' requests in progress at each process.
    pub in_progress: BTreeMap<ProcessId, u32>,
    pub split: bool,
    pub isolated: BTreeSet<usize>,
    pub platform: Platform,
    pub searchers: Vec<Searcher>,
    pub catalogue: Catalogue,
    pub oracle: Oracle,
}

/// The world; cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct World {
    inner: Arc<Mutex<Inner>>,
}

impl World {
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    /// Carries a message over a link. Returns false if the sending process died meanwhile.
    pub async fn carry(&self, process: ProcessId, from: Place, to: Place) -> bool {
        sleep(DELAY).await;
        loop {
            match self.lock().link(process, from, to) {
                Link::Open => return true,
                Link::Dead => return false,
                Link::Held => {}
            }
            sleep(HOLD).await;
        }
    }
}

enum Link {
    Open,
    Held,
    Dead,
}

impl Inner {
    fn link(&self, process: ProcessId, from: Place, to: Place) -> Link {
        if self.dead.contains(&process) {
            return Link::Dead;
        }
        let frozen =
            [from, to].iter().any(|p| matches!(p, Place::Host(i) if self.frozen.contains(i)));
        if frozen || !self.is_connected(from, to) { Link::Held } else { Link::Open }
    }

    pub fn is_connected(&self, from: Place, to: Place) -> bool {
        let isolated = |place| matches!(place, Place::Host(i) if self.isolated.contains(&i));
        if isolated(from) || isolated(to) {
            return from == to;
        }
        let zone = |place| match place {
            Place::Host(i) | Place::Searcher(i) => i % 2,
            // The platform is on the side of the first zone.
            Place::Platform => 0,
        };
        !self.split || zone(from) == zone(to)
    }
}

pub fn host_name(host: usize) -> String {
    format!("h{host}")
}

pub fn host_address(host: usize) -> SocketAddr {
    format!("10.0.0.{}:1", host + 1).parse().unwrap()
}

pub fn host_at(address: SocketAddr) -> Option<usize> {
    (0..HOSTS).find(|host| host_address(*host) == address)
}
