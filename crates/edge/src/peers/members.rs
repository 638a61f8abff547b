//! What this host currently knows about the other hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use galenaloft_config::edge::EdgeSettings;
use galenaloft_policy::gathering::select_aggregators;
use galenaloft_policy::ids::Capacity;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::membership::FULL_CORE_CAPACITY;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::HostState;
use galenaloft_policy::membership::MemberTable;
use galenaloft_policy::quarantine::Crash;
use galenaloft_policy::routing::SharingHosts;
use galenaloft_runtime::membership::log_changes;
use galenaloft_runtime::sync::lock;

use crate::peers::StoreUpdate;

/// Fewest hosts among which connections and budgets are divided, however few are known: a host that
/// has just started knows no other.
pub const MIN_ASSUMED_HOSTS: usize = 8;

/// How long a host that is considered dead or has left still counts after its last message: behind a
/// partition, it still holds its connections to searchers. Messages of other zones are disregarded
/// after the same time.
const HOST_TTL: Duration = Duration::from_secs(20);

/// Most hosts of a fleet that shares store updates across availability zones. In a larger fleet
/// each zone reads the store for itself, so that the messages of one host do not grow with the
/// fleet.
const MAX_HOSTS_SHARING_ACROSS_ZONES: usize = 16;

/// Silence of all other zones after which some of their hosts are probed, well before the zone counts
/// as cut off.
const ZONE_SILENCE: Duration = Duration::from_millis(150);

/// Hosts of other zones that are probed in each round during such a silence.
const CROSS_ZONE_PROBES: usize = 4;

/// A host that queries searchers on behalf of other hosts of its zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Aggregator {
    /// Id of the host.
    pub host: HostId,
    /// Address at which it answers other hosts.
    pub address: SocketAddr,
    /// Processor capacity, in thousandths of a core.
    pub capacity: Capacity,
}

/// What this host knows about the other hosts, and what it has yet to send to them.
#[derive(Debug)]
pub struct Peers {
    /// Membership as known to this host.
    pub table: Mutex<MemberTable>,
    /// When a datagram of each host last arrived.
    last_heard: Mutex<BTreeMap<HostId, Instant>>,
    /// Configured peer addresses; each is probed until a host is known at it.
    seeds: Mutex<Vec<SocketAddr>>,
    /// Store update that is not sent yet.
    pending_update: Mutex<Option<StoreUpdate>>,
    /// Crashes that are not sent yet.
    pending_crashes: Mutex<Vec<Crash>>,
    /// Wakes the task that sends pending updates and crashes, and that announces this host's state
    /// when it is leaving.
    pub send_requested: tokio::sync::Notify,
}

impl Peers {
    /// Creates the state of a host that knows only its seeds.
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
            last_heard: Mutex::default(),
            seeds: Mutex::new(seed_addresses(settings)),
            pending_update: Mutex::new(None),
            pending_crashes: Mutex::default(),
            send_requested: tokio::sync::Notify::new(),
        }
    }

    /// Replaces the seeds by those of the reloaded settings.
    pub fn set_seeds(&self, settings: &EdgeSettings) {
        *lock(&self.seeds) = seed_addresses(settings);
    }

    /// Applies the facts of a datagram, of which the first is about the sender, and logs what they
    /// change.
    pub fn apply_facts(&self, facts: Vec<HostFact>, now: Instant) {
        let mut table = lock(&self.table);
        if let Some(sender) = facts.first() {
            lock(&self.last_heard).insert(sender.host.clone(), now);
        }
        for fact in facts {
            let change = table.apply(fact, now);
            log_changes(change);
        }
    }

    /// Returns when a host of another zone was last heard from, or `None` if that was not within
    /// the last `HOST_TTL`.
    pub fn other_zones_heard_at(&self, now: Instant) -> Option<Instant> {
        let table = lock(&self.table);
        let own_zone = table.own().zone.clone();
        let in_other_zone =
            |host: &HostId| table.get(host).is_some_and(|fact| fact.zone != own_zone);
        let heard = lock(&self.last_heard);
        let latest =
            heard.iter().filter(|(host, _)| in_other_zone(host)).map(|(_, at)| *at).max()?;
        (now.saturating_duration_since(latest) < HOST_TTL).then_some(latest)
    }

    /// Returns a few hosts of other zones to probe if those zones have been silent for `ZONE_SILENCE`,
    /// so that a lack of traffic is not taken for a partition. Returns none after `HOST_TTL` of silence
    /// or if they were never heard.
    pub fn silent_zone_probe_targets(&self, now: Instant) -> Vec<SocketAddr> {
        let is_silence = |since: Instant| now.saturating_duration_since(since) >= ZONE_SILENCE;
        if !self.other_zones_heard_at(now).is_some_and(is_silence) {
            return Vec::new();
        }
        let table = lock(&self.table);
        let own_zone = table.own().zone.clone();
        let others = table.active().filter(|fact| fact.zone != own_zone);
        others.take(CROSS_ZONE_PROBES).map(|fact| fact.address).collect()
    }

    /// Returns whether a host was heard from since `then`.
    pub fn heard_since(&self, host: &HostId, then: Instant) -> bool {
        lock(&self.last_heard).get(host).is_some_and(|at| *at >= then)
    }

    /// Returns how many hosts are known, this one included and also those that are dead or leaving.
    pub fn host_count(&self) -> usize {
        lock(&self.table).facts().count()
    }

    /// Returns the seeds at whose address no host is known.
    pub fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let known = |seed: &&SocketAddr| table.facts().any(|fact| fact.address == **seed);
        lock(&self.seeds).iter().filter(|seed| !known(seed)).copied().collect()
    }

    /// Counts the hosts (at least `MIN_ASSUMED_HOSTS`) and the aggregators among which connections and
    /// budgets are divided, this host included.
    pub fn sharing_hosts(&self, now: Instant) -> SharingHosts {
        let table = lock(&self.table);
        let own_zone = &table.own().zone;
        let heard = lock(&self.last_heard);
        let recently_heard = |host: &HostId| {
            heard.get(host).is_some_and(|at| now.saturating_duration_since(*at) < HOST_TTL)
        };
        let is_counted = |fact: &&HostFact| {
            matches!(fact.state, HostState::Alive | HostState::Suspect)
                || recently_heard(&fact.host)
        };
        let all = table.facts().filter(is_counted).count().max(MIN_ASSUMED_HOSTS);
        let mut zones: BTreeMap<&ZoneId, Vec<(HostId, Capacity)>> = BTreeMap::new();
        for fact in table.active() {
            zones.entry(&fact.zone).or_default().push((fact.host.clone(), fact.capacity));
        }
        let aggregators: BTreeMap<&ZoneId, Vec<HostId>> =
            zones.into_iter().map(|(zone, hosts)| (zone, select_aggregators(hosts))).collect();
        let in_zone = aggregators.get(own_zone);
        SharingHosts {
            all,
            aggregators: aggregators.values().map(Vec::len).sum(),
            aggregators_in_zone: in_zone.map_or(0, Vec::len),
            is_aggregator: in_zone.is_some_and(|hosts| hosts.contains(&table.own().host)),
        }
    }

    /// Returns the aggregators of a zone that are alive, without this host.
    pub fn aggregators_of(&self, zone: &ZoneId) -> Vec<Aggregator> {
        let table = lock(&self.table);
        let in_zone = table.active().filter(|fact| fact.zone == *zone);
        let chosen =
            select_aggregators(in_zone.map(|fact| (fact.host.clone(), fact.capacity)).collect());
        let own_id = &table.own().host;
        let others =
            chosen.iter().filter(|host| *host != own_id).filter_map(|host| table.get(host));
        let alive = others.filter(|fact| fact.state == HostState::Alive);
        let aggregator = |fact: &HostFact| Aggregator {
            host: fact.host.clone(),
            address: fact.address,
            capacity: fact.capacity,
        };
        alive.map(aggregator).collect()
    }

    /// Returns this host's position in the order in which hosts read the store: the number of live
    /// hosts with a smaller id among those that share store updates.
    pub fn read_position(&self) -> usize {
        let table = lock(&self.table);
        let own_id = &table.own().host;
        let alive = update_sharers(&table).filter(|fact| fact.state == HostState::Alive);
        alive.filter(|fact| fact.host < *own_id).count()
    }

    /// Returns the addresses of the hosts to which this one sends store updates and crashes.
    pub fn update_receivers(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let own_id = &table.own().host;
        update_sharers(&table)
            .filter(|fact| fact.host != *own_id)
            .map(|fact| fact.address)
            .collect()
    }

    /// Returns the availability zone of a host, or `None` if the host is not known.
    pub fn zone_of(&self, host: &HostId) -> Option<ZoneId> {
        lock(&self.table).get(host).map(|fact| fact.zone.clone())
    }

    /// Returns the addresses of the other live hosts, those of this host's zone first.
    pub fn live_peers(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let own_fact = table.own();
        let mut alive: Vec<&HostFact> = table
            .active()
            .filter(|fact| fact.state == HostState::Alive && fact.host != own_fact.host)
            .collect();
        alive.sort_by_key(|fact| fact.zone != own_fact.zone);
        alive.iter().map(|fact| fact.address).collect()
    }

    /// Queues a store update for sending. An update that continues the queued one is appended to
    /// it, any other one replaces it: receivers notice the gap in the revisions and read the missing
    /// changes themselves.
    pub fn publish_update(&self, update: StoreUpdate) {
        let mut pending = lock(&self.pending_update);
        *pending = Some(match pending.take() {
            Some(mut earlier) if earlier.revision == update.after => {
                earlier.changes.extend(update.changes);
                StoreUpdate { changes: earlier.changes, after: earlier.after, ..update }
            }
            _ => update,
        });
        self.send_requested.notify_one();
    }

    /// Removes and returns the queued store update.
    pub fn take_update(&self) -> Option<StoreUpdate> {
        lock(&self.pending_update).take()
    }

    /// Queues a searcher's crash for sending.
    pub fn publish_crash(&self, crash: Crash) {
        lock(&self.pending_crashes).push(crash);
        self.send_requested.notify_one();
    }

    /// Removes and returns the queued crashes.
    pub fn take_crashes(&self) -> Vec<Crash> {
        std::mem::take(&mut *lock(&self.pending_crashes))
    }

    /// Marks this host as leaving and announces that to the other hosts.
    pub fn leave(&self) {
        lock(&self.table).update_own(HostState::Leaving, Vec::new());
        self.send_requested.notify_one();
    }
}

/// Returns the active hosts, this one included, that share what one of them reads from the store.
fn update_sharers(table: &MemberTable) -> impl Iterator<Item = &HostFact> {
    let count = table.active().count();
    let zone = &table.own().zone;
    table.active().filter(move |fact| count <= MAX_HOSTS_SHARING_ACROSS_ZONES || fact.zone == *zone)
}

/// Returns the processor capacity that the settings state, in thousandths of a core and at least 1.
pub fn capacity(settings: &EdgeSettings) -> Capacity {
    (settings.cores * f64::from(FULL_CORE_CAPACITY)).round().max(1.0) as Capacity
}

/// Returns the peer addresses of the seeds other than this host. All hosts listen on the same peer
/// port, so that only the IP addresses of the seeds count.
fn seed_addresses(settings: &EdgeSettings) -> Vec<SocketAddr> {
    let own_address = settings.listen.peers;
    let others = settings.seeds.iter().map(SocketAddr::ip).filter(|ip| *ip != own_address.ip());
    others.map(|ip| SocketAddr::new(ip, own_address.port())).collect()
}
