//! What this host currently knows about the other hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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
use galenaloft_policy::membership::MAX_HOSTS_WITHOUT_ZONES;
use galenaloft_policy::membership::MemberTable;
use galenaloft_policy::membership::ZoneGossip;
use galenaloft_policy::notice::LimitSharers;
use galenaloft_policy::routing::SharingHosts;
use galenaloft_runtime::membership::log_changes;
use galenaloft_runtime::sync::lock;
use rand::seq::SliceRandom;

use crate::peers::Report;
use crate::peers::StoreUpdate;

/// Fewest hosts among which connections and budgets are divided, however few are known: a host that
/// has just started knows no other.
pub const MIN_ASSUMED_HOSTS: usize = 8;

/// How long a host that is considered dead or has left still counts after its last message: behind a
/// partition, it still holds its connections to searchers. Messages of other zones are disregarded
/// after the same time.
const HOST_TTL: Duration = Duration::from_secs(20);

/// Silence of all other zones after which some of their hosts are probed, well before the zone counts
/// as cut off.
const ZONE_SILENCE: Duration = Duration::from_millis(150);

/// Silence after which at least one ping of an earlier round was left unanswered.
const UNANSWERED_PING: Duration = Duration::from_millis(350);

/// Most hosts of other zones that are pinged in each round during such a silence.
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
    /// How gossip is divided by zones in a large fleet, as of the last probe round.
    zone_gossip: Mutex<Option<Arc<ZoneGossip>>>,
    /// Number of hosts of each other zone, and when a host of that zone last told it.
    zone_sizes: Mutex<BTreeMap<ZoneId, (u32, Instant)>>,
    /// Configured peer addresses; each is probed until a host is known at it.
    seeds: Mutex<Vec<SocketAddr>>,
    /// Position of the host of the own zone that was probed last.
    own_zone_cursor: Mutex<usize>,
    /// Position of the host of another zone that was probed last.
    other_zones_cursor: Mutex<usize>,
    /// Store update that is not sent yet.
    pending_update: Mutex<Option<StoreUpdate>>,
    /// Reports on searchers that are not sent yet.
    pending_reports: Mutex<Vec<Report>>,
    /// Reports of another zone that are not sent to this zone yet.
    forwarded_reports: Mutex<Vec<Report>>,
    /// Whether changes of evacuated zones are not announced yet.
    zones_changed: AtomicBool,
    /// Wakes the task that sends pending updates and reports, and that announces this host's state
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
            zone_gossip: Mutex::default(),
            zone_sizes: Mutex::default(),
            seeds: Mutex::new(seed_addresses(settings)),
            // Its low bits are random, so that hosts that start together probe different ones.
            own_zone_cursor: Mutex::new(incarnation as usize & 0xffff),
            other_zones_cursor: Mutex::new(incarnation as usize & 0xffff),
            pending_update: Mutex::new(None),
            pending_reports: Mutex::default(),
            forwarded_reports: Mutex::default(),
            zones_changed: AtomicBool::new(false),
            send_requested: tokio::sync::Notify::new(),
        }
    }

    /// Replaces the seeds by those of the reloaded settings.
    pub fn set_seeds(&self, settings: &EdgeSettings) {
        *lock(&self.seeds) = seed_addresses(settings);
    }

    /// Applies the facts of a datagram, of which the first is about the sender, and logs what they
    /// change.
    /// `zone_hosts` is the number of hosts that the sender counts in its zone.
    pub fn apply_facts(&self, facts: Vec<HostFact>, zone_hosts: u32, now: Instant) {
        let mut table = lock(&self.table);
        if let Some(sender) = facts.first() {
            lock(&self.last_heard).insert(sender.host.clone(), now);
            lock(&self.zone_sizes).insert(sender.zone.clone(), (zone_hosts, now));
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
        is_recent(latest, now).then_some(latest)
    }

    /// Returns hosts of other zones to ping if those zones have been silent for `ZONE_SILENCE`, so that
    /// a lack of traffic is not taken for a partition. In a large fleet these are representatives, and
    /// only one unless an earlier ping was left unanswered. Returns none after `HOST_TTL` of silence or
    /// if they were never heard.
    pub fn silent_zone_targets(&self, now: Instant) -> Vec<SocketAddr> {
        let heard_at = self.other_zones_heard_at(now);
        let Some(silence) = heard_at.map(|at| now.saturating_duration_since(at)) else {
            return Vec::new();
        };
        if silence < ZONE_SILENCE {
            return Vec::new();
        }
        let mut targets = self.other_representatives();
        let is_large_fleet = !targets.is_empty();
        let count = match is_large_fleet && silence < UNANSWERED_PING {
            true => 1,
            false => CROSS_ZONE_PROBES,
        };
        if !is_large_fleet {
            let table = lock(&self.table);
            let others = table.active().filter(|fact| fact.zone != table.own().zone);
            targets = others.map(|fact| fact.address).collect();
        }
        targets.shuffle(&mut rand::rng());
        targets.truncate(count);
        targets
    }

    /// Recomputes how gossip is divided by zones, and forgets hosts of other zones that this host
    /// need not know.
    pub fn update_zone_gossip(&self, now: Instant) {
        let mut table = lock(&self.table);
        let is_active = |fact: &&HostFact| fact.state.is_active();
        let fleet_hosts = self.count_hosts(&table, is_active, now);
        let zone_gossip = ZoneGossip::new(&table, fleet_hosts);
        if let Some(zones) = &zone_gossip {
            table.retain(|fact| zones.is_kept(fact));
        }
        *lock(&self.zone_gossip) = zone_gossip.map(Arc::new);
    }

    /// Returns how gossip is divided by zones, or `None` in a small fleet.
    pub fn zone_gossip(&self) -> Option<Arc<ZoneGossip>> {
        lock(&self.zone_gossip).clone()
    }

    /// Returns the facts to pass on next to a host of that zone, where `None` is an unknown one.
    pub fn gossip_for(&self, zone: Option<&ZoneId>, now: Instant) -> Vec<HostFact> {
        let mut table = lock(&self.table);
        match (self.zone_gossip(), zone) {
            (None, _) => table.gossip(),
            (Some(zones), Some(zone)) if *zone != table.own().zone => {
                zones.facts_for_other_zone(&table, zone, now)
            }
            (Some(zones), Some(_)) => table.gossip_where(|fact| zones.is_kept(fact)),
            (Some(_), None) => vec![table.own().clone()],
        }
    }

    /// Returns all facts that a host of a zone needs after its start.
    pub fn all_facts_for(&self, zone: &ZoneId) -> Vec<HostFact> {
        let table = lock(&self.table);
        let mut facts = table.all_facts();
        if let Some(zones) = self.zone_gossip() {
            facts.retain(|fact| fact.zone == *zone || zones.is_representative(&fact.host));
            if !facts.iter().any(|fact| fact.host == table.own().host) {
                facts.insert(0, table.own().clone());
            }
        }
        facts
    }

    /// Returns the next host of this host's zone to probe, or in a small fleet of any zone.
    pub fn next_probe(&self) -> Option<HostFact> {
        let mut table = lock(&self.table);
        let own_zone = table.own().zone.clone();
        match self.zone_gossip() {
            None => table.next_probe(),
            Some(_) => table
                .next_probe_after(&mut lock(&self.own_zone_cursor), |fact| fact.zone == own_zone),
        }
    }

    /// Returns the next host of another zone to probe, or `None` unless this host is a
    /// representative in a large fleet.
    pub fn next_other_zone_probe(&self) -> Option<HostFact> {
        let table = lock(&self.table);
        let zones = self.zone_gossip()?;
        let is_target = |fact: &HostFact| zones.is_probed_across_zones(table.own(), fact);
        table.next_probe_after(&mut lock(&self.other_zones_cursor), is_target)
    }

    /// Returns whether this host gossips with hosts of other zones.
    pub fn speaks_for_zone(&self) -> bool {
        let own = lock(&self.table).own().host.clone();
        self.zone_gossip().is_none_or(|zones| zones.is_representative(&own))
    }

    /// Returns the representatives of other zones that seem alive.
    pub fn other_representatives(&self) -> Vec<SocketAddr> {
        let Some(zones) = self.zone_gossip() else {
            return Vec::new();
        };
        let table = lock(&self.table);
        let own_zone = &table.own().zone;
        let others = table.active().filter(|fact| fact.zone != *own_zone);
        others.filter(|fact| zones.is_representative(&fact.host)).map(|fact| fact.address).collect()
    }

    /// Returns the number of active hosts of this host's zone, itself included.
    pub fn own_zone_hosts(&self) -> u32 {
        let table = lock(&self.table);
        let in_zone = table.active().filter(|fact| fact.zone == table.own().zone);
        u32::try_from(in_zone.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a host was heard from since `then`.
    pub fn heard_since(&self, host: &HostId, then: Instant) -> bool {
        lock(&self.last_heard).get(host).is_some_and(|at| *at >= then)
    }

    /// Returns how many hosts are known, this one included and also those that are dead or leaving.
    pub fn host_count(&self) -> usize {
        lock(&self.table).facts().count()
    }

    /// Returns the seeds at whose address no host is known, as long as this host needs them.
    pub fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        if self.zone_gossip().is_some_and(|zones| zones.is_connected(&table)) {
            return Vec::new();
        }
        let known = |seed: &&SocketAddr| table.facts().any(|fact| fact.address == **seed);
        lock(&self.seeds).iter().filter(|seed| !known(seed)).copied().collect()
    }

    /// Counts the hosts (at least `MIN_ASSUMED_HOSTS`) and the aggregators among which connections and
    /// budgets are divided, this host included.
    pub fn sharing_hosts(&self, now: Instant) -> SharingHosts {
        let table = lock(&self.table);
        let own_zone = &table.own().zone;
        let heard = lock(&self.last_heard);
        let is_counted = |fact: &&HostFact| is_counted(fact, &heard, now);
        let all = self.count_hosts(&table, is_counted, now).max(MIN_ASSUMED_HOSTS);
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

    /// Returns the hosts that divide the limits of searchers: all hosts, or in a large fleet those of
    /// this host's zone and the other zones. Silent hosts count until they cannot send any more.
    pub fn limit_sharers(&self, now: Instant) -> LimitSharers {
        let table = lock(&self.table);
        let own = table.own();
        let by_zones = self.zone_gossip().is_some();
        let heard = lock(&self.last_heard);
        let in_scope = |fact: &&HostFact| !by_zones || fact.zone == own.zone;
        let hosts = table.facts().filter(in_scope).filter(|fact| is_counted(fact, &heard, now));
        let sizes = lock(&self.zone_sizes);
        let other_zones =
            sizes.iter().filter(|(zone, (_, at))| **zone != own.zone && is_recent(*at, now));
        LimitSharers {
            own: own.host.clone(),
            own_zone: own.zone.clone(),
            hosts: hosts.map(|fact| fact.host.clone()).collect(),
            other_zones: match by_zones {
                true => other_zones.map(|(zone, _)| zone.clone()).collect(),
                false => Vec::new(),
            },
        }
    }

    /// Counts the hosts of all zones: of another zone those that it stated lately, if that is more
    /// than are known here.
    fn count_hosts(
        &self,
        table: &MemberTable,
        is_counted: impl Fn(&&HostFact) -> bool,
        now: Instant,
    ) -> usize {
        let mut counts: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        for fact in table.facts().filter(is_counted) {
            *counts.entry(&fact.zone).or_default() += 1;
        }
        let sizes = lock(&self.zone_sizes);
        for (zone, (size, at)) in sizes.iter().filter(|(zone, _)| **zone != table.own().zone) {
            if is_recent(*at, now) {
                let count = counts.entry(zone).or_default();
                *count = (*count).max(*size as usize);
            }
        }
        counts.values().sum()
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

    /// Returns the hosts to which this one sends store updates and reports, with their zones.
    pub fn update_receivers(&self) -> Vec<(SocketAddr, ZoneId)> {
        let table = lock(&self.table);
        let own_id = &table.own().host;
        update_sharers(&table)
            .filter(|fact| fact.host != *own_id)
            .map(|fact| (fact.address, fact.zone.clone()))
            .collect()
    }

    /// Returns the addresses of the other live hosts, those of this host's zone first, and in random
    /// order so that hosts that need the same do not all ask the same peer.
    pub fn live_peers(&self) -> Vec<SocketAddr> {
        let table = lock(&self.table);
        let own_fact = table.own();
        let mut alive: Vec<&HostFact> = table
            .active()
            .filter(|fact| fact.state == HostState::Alive && fact.host != own_fact.host)
            .collect();
        alive.shuffle(&mut rand::rng());
        alive.sort_by_key(|fact| fact.zone != own_fact.zone);
        alive.iter().map(|fact| fact.address).collect()
    }

    /// Queues a store update for sending. An update that continues the queued one is appended to
    /// it, any other one replaces it: receivers notice the gap in the positions and read the missing
    /// changes themselves.
    pub fn publish_update(&self, update: StoreUpdate) {
        let mut pending = lock(&self.pending_update);
        *pending = Some(match pending.take() {
            Some(mut earlier) if earlier.position == update.after => {
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

    /// Queues a report on a searcher for sending.
    pub fn publish(&self, report: Report) {
        lock(&self.pending_reports).push(report);
        self.send_requested.notify_one();
    }

    /// Removes and returns the queued reports.
    pub fn take_reports(&self) -> Vec<Report> {
        std::mem::take(&mut *lock(&self.pending_reports))
    }

    /// Queues a report of another zone, for sending to the hosts of this zone.
    pub fn forward(&self, report: Report) {
        lock(&self.forwarded_reports).push(report);
        self.send_requested.notify_one();
    }

    /// Removes and returns the queued reports of other zones.
    pub fn take_forwarded_reports(&self) -> Vec<Report> {
        std::mem::take(&mut *lock(&self.forwarded_reports))
    }

    /// Announces changes of evacuated zones to the hosts of this zone, or in a small fleet to all, and
    /// to the representatives of other zones.
    pub fn announce_zone_changes(&self) {
        self.zones_changed.store(true, Ordering::Relaxed);
        self.send_requested.notify_one();
    }

    /// Returns whether changes of evacuated zones are to be announced, and resets that.
    pub fn take_zone_announcement(&self) -> bool {
        self.zones_changed.swap(false, Ordering::Relaxed)
    }

    /// Marks this host as leaving and announces that to the other hosts.
    pub fn leave(&self) {
        lock(&self.table).update_own(HostState::Leaving, Vec::new());
        self.send_requested.notify_one();
    }
}

/// Returns whether a host that was last heard at `at` still counts.
fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < HOST_TTL
}

/// Returns whether a host counts among those that divide connections, budgets and limits: also one that
/// seems dead may still send requests.
fn is_counted(fact: &HostFact, heard: &BTreeMap<HostId, Instant>, now: Instant) -> bool {
    fact.state.is_active() || heard.get(&fact.host).is_some_and(|at| is_recent(*at, now))
}

/// Returns the active hosts, this one included, that share what one of them reads from the store. In
/// a large fleet each zone reads the store for itself, so that the messages of one host do not grow
/// with the fleet.
fn update_sharers(table: &MemberTable) -> impl Iterator<Item = &HostFact> {
    let count = table.active().count();
    let zone = &table.own().zone;
    table.active().filter(move |fact| count <= MAX_HOSTS_WITHOUT_ZONES || fact.zone == *zone)
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
