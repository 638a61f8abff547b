//! What this host believes of the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use galenaloft_config::edge::EdgeSettings;
use galenaloft_policy::gathering::gatherers;
use galenaloft_policy::ids::Capacity;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::HostState;
use galenaloft_policy::membership::MemberTable;
use galenaloft_policy::membership::WHOLE_CORE;
use galenaloft_policy::quarantine::Crash;
use galenaloft_policy::routing::Sharers;
use galenaloft_runtime::membership::log_changes;
use galenaloft_runtime::sync::lock;

use crate::peers::StoreUpdate;

/// Fewest hosts among which connections and budgets are shared out: a host that has just started
/// knows of none.
pub const MIN_ASSUMED_HOSTS: usize = 8;

/// How long a host counts after it was last heard of: one beyond a partition still holds its
/// connections.
const COUNTED: Duration = Duration::from_secs(20);

/// With more hosts than this, each availability zone reads the store for itself, so that the
/// messages of one host do not grow with the fleet.
const MAX_SHARED: usize = 16;

/// Silence of the other zones after which some of their hosts are probed.
const QUIET: Duration = Duration::from_millis(150);

/// Hosts of other zones that are probed then.
const OTHERS_PROBED: usize = 4;

/// A host that gathers for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Aggregator {
    /// The host.
    pub host: HostId,
    /// Where it answers other hosts.
    pub address: SocketAddr,
    /// What it has of a processor.
    pub capacity: Capacity,
}

/// The other hosts.
#[derive(Debug)]
pub struct Peers {
    /// Membership as believed by this host.
    pub table: Mutex<MemberTable>,
    /// When each host was last heard of.
    heard: Mutex<BTreeMap<HostId, Instant>>,
    /// Addresses that are asked while none of them is known as a host.
    seeds: Mutex<Vec<SocketAddr>>,
    outbox: Mutex<Option<StoreUpdate>>,
    crashes: Mutex<Vec<Crash>>,
    /// Wakes the task that sends what is in the outbox.
    pub outbox_changed: tokio::sync::Notify,
}

impl Peers {
    /// Creates the beliefs of a host that knows only its seeds. Every host has the same port.
    pub fn new(settings: &EdgeSettings, incarnation: u64) -> Self {
        let address = settings.listen.peers;
        let own = HostFact {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address,
            capacity: capacity(settings),
            incarnation,
            generation: incarnation,
            state: HostState::Alive,
            adopted: Vec::new(),
        };
        Self {
            table: Mutex::new(MemberTable::new(own)),
            heard: Mutex::default(),
            seeds: Mutex::new(seeds_of(settings)),
            outbox: Mutex::new(None),
            crashes: Mutex::default(),
            outbox_changed: tokio::sync::Notify::new(),
        }
    }

    /// Takes over the seeds of changed settings.
    pub fn set_seeds(&self, settings: &EdgeSettings) {
        *lock(&self.seeds) = seeds_of(settings);
    }

    /// Learns facts, of which the first is about the sender.
    pub fn learn(&self, facts: Vec<HostFact>, now: Instant) {
        let mut table = lock(&self.table);
        if let Some(sender) = facts.first() {
            lock(&self.heard).insert(sender.host.clone(), now);
        }
        for fact in facts {
            let change = table.learn(fact, now);
            log_changes(change);
        }
    }

    /// Returns when a host of another zone was last heard, if one was lately.
    pub fn other_zones_heard_at(&self, now: Instant) -> Option<Instant> {
        let table = lock(&self.table);
        let own = table.own().zone.clone();
        let other = |host: &HostId| table.get(host).is_some_and(|fact| fact.zone != own);
        let heard = lock(&self.heard);
        let latest = heard.iter().filter(|(host, _)| other(host)).map(|(_, at)| *at).max()?;
        (now.saturating_duration_since(latest) < COUNTED).then_some(latest)
    }

    /// Returns some hosts of other zones to probe if nothing was heard of those zones for a while,
    /// so that only a real silence goes on.
    pub fn silent_zone_probe_targets(&self, now: Instant) -> Vec<SocketAddr> {
        let quiet = |at: Instant| now.saturating_duration_since(at) >= QUIET;
        if !self.other_zones_heard_at(now).is_some_and(quiet) {
            return Vec::new();
        }
        let table = lock(&self.table);
        let own = table.own().zone.clone();
        let others = table.working().filter(|fact| fact.zone != own);
        others.take(OTHERS_PROBED).map(|fact| fact.address).collect()
    }

    /// Returns whether a host was heard of since `then`.
    pub fn heard_since(&self, host: &HostId, then: Instant) -> bool {
        lock(&self.heard).get(host).is_some_and(|at| *at >= then)
    }

    /// Returns how many hosts are known, this one included.
    pub fn host_count(&self) -> usize {
        lock(&self.table).facts().count()
    }

    /// Returns the seeds that are not known as hosts.
    pub fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let known = |seed: &&SocketAddr| table.facts().any(|fact| fact.address == **seed);
        lock(&self.seeds).iter().filter(|seed| !known(seed)).copied().collect()
    }

    /// Returns the hosts, this one included, that share connections and budgets.
    pub fn sharers(&self, now: Instant) -> Sharers {
        let table = lock(&self.table);
        let own = &table.own().zone;
        let heard = lock(&self.heard);
        let recently = |host: &HostId| {
            heard.get(host).is_some_and(|at| now.saturating_duration_since(*at) < COUNTED)
        };
        let working = |fact: &&HostFact| {
            matches!(fact.state, HostState::Alive | HostState::Suspect) || recently(&fact.host)
        };
        let all = table.facts().filter(working).count().max(MIN_ASSUMED_HOSTS);
        let mut zones: BTreeMap<&ZoneId, Vec<(HostId, Capacity)>> = BTreeMap::new();
        for fact in table.working() {
            zones.entry(&fact.zone).or_default().push((fact.host.clone(), fact.capacity));
        }
        let pools: BTreeMap<&ZoneId, Vec<HostId>> =
            zones.into_iter().map(|(zone, hosts)| (zone, gatherers(hosts))).collect();
        let in_zone = pools.get(own);
        Sharers {
            all,
            gatherers: pools.values().map(Vec::len).sum(),
            gatherers_in_zone: in_zone.map_or(0, Vec::len),
            gathers: in_zone.is_some_and(|pool| pool.contains(&table.own().host)),
        }
    }

    /// Returns the other hosts of a zone that gather for all of it, with what they have of a
    /// processor.
    pub fn aggregators_of(&self, zone: &ZoneId) -> Vec<Aggregator> {
        let table = lock(&self.table);
        let there = table.working().filter(|fact| fact.zone == *zone);
        let pool = gatherers(there.map(|fact| (fact.host.clone(), fact.capacity)).collect());
        let own = &table.own().host;
        let others = pool.iter().filter(|host| *host != own).filter_map(|host| table.get(host));
        let alive = others.filter(|fact| fact.state == HostState::Alive);
        let gatherer = |fact: &HostFact| Aggregator {
            host: fact.host.clone(),
            address: fact.address,
            capacity: fact.capacity,
        };
        alive.map(gatherer).collect()
    }

    /// Returns how many hosts read the store before this one does.
    pub fn read_position(&self) -> usize {
        let table = lock(&self.table);
        let own = &table.own().host;
        let alive = sharing(&table).filter(|fact| fact.state == HostState::Alive);
        alive.filter(|fact| fact.host < *own).count()
    }

    /// Returns the hosts that hear what this one reads.
    pub fn update_receivers(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let own = &table.own().host;
        sharing(&table).filter(|fact| fact.host != *own).map(|fact| fact.address).collect()
    }

    /// Returns the availability zone of a host.
    pub fn zone_of(&self, host: &HostId) -> Option<ZoneId> {
        lock(&self.table).get(host).map(|fact| fact.zone.clone())
    }

    /// Returns live hosts to ask for what they know, those of the own zone first.
    pub fn live_peers(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let own = table.own();
        let mut alive: Vec<&HostFact> = table
            .working()
            .filter(|fact| fact.state == HostState::Alive && fact.host != own.host)
            .collect();
        alive.sort_by_key(|fact| fact.zone != own.zone);
        alive.iter().map(|fact| fact.address).collect()
    }

    /// Puts news of the store where the task that sends datagrams finds it.
    pub fn publish_update(&self, news: StoreUpdate) {
        let mut outbox = lock(&self.outbox);
        *outbox = Some(match outbox.take() {
            Some(mut earlier) if earlier.revision == news.after => {
                earlier.changes.extend(news.changes);
                StoreUpdate { changes: earlier.changes, after: earlier.after, ..news }
            }
            _ => news,
        });
        self.outbox_changed.notify_one();
    }

    /// Takes the news that is to be sent.
    pub fn take_update(&self) -> Option<StoreUpdate> {
        lock(&self.outbox).take()
    }

    /// Tells the others of a crash.
    pub fn publish_crash(&self, crash: Crash) {
        lock(&self.crashes).push(crash);
        self.outbox_changed.notify_one();
    }

    /// Takes the crashes that are to be told.
    pub fn take_crashes(&self) -> Vec<Crash> {
        std::mem::take(&mut *lock(&self.crashes))
    }

    /// States that this host is stopping.
    pub fn leave(&self) {
        lock(&self.table).update_own(HostState::Leaving, Vec::new());
        self.outbox_changed.notify_one();
    }
}

/// Returns the working hosts that share what one of them reads of the store.
fn sharing(table: &MemberTable) -> impl Iterator<Item = &HostFact> {
    let all = table.working().count();
    let zone = &table.own().zone;
    table.working().filter(move |fact| all <= MAX_SHARED || fact.zone == *zone)
}

/// Returns what the host has of a processor, at least the smallest capacity that counts.
pub fn capacity(settings: &EdgeSettings) -> Capacity {
    (settings.cores * f64::from(WHOLE_CORE)).round().max(1.0) as Capacity
}

/// Returns the peer addresses of the seeds: every host has the same port.
fn seeds_of(settings: &EdgeSettings) -> Vec<SocketAddr> {
    let own = settings.listen.peers;
    let others = settings.seeds.iter().map(SocketAddr::ip).filter(|ip| *ip != own.ip());
    others.map(|ip| SocketAddr::new(ip, own.port())).collect()
}
