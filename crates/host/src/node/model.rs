//! The state of one entry host.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use galenaloft_config::settings::Settings;
use galenaloft_peer::PeerConnections;
use galenaloft_peer::PublishedKey;
use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptReply;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::catalogue::SearcherSpec;
use galenaloft_policy::heartbeat::Heartbeat;
use galenaloft_policy::ids::AttemptId;
use galenaloft_policy::ids::Incarnation;
use galenaloft_policy::ids::Revision;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::membership::FULL_CORE_CAPACITY;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::HostState;
use galenaloft_policy::membership::MemberTable;
use galenaloft_policy::ticket::Ticket;
use galenaloft_policy::ticket::TicketKey;
use galenaloft_policy::ticket::TicketTable;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::metrics::Metrics;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gather::ClusterView;
use crate::gather::ExplainLog;
use crate::gather::KindTable;
use crate::gather::OwnerCache;
use crate::network::Network;
use crate::owner::Owner;
use crate::publish::Alarms;
use crate::publish::Values;
use crate::submit::OutcomeCopies;

/// Lifetime of tickets until the first sheet is adopted. No ticket is issued with it, as the host is
/// not ready before then.
const INITIAL_TICKET_LIFETIME: Duration = Duration::from_secs(600);

/// Phase of the process between start and stop, in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The host has no sheet or no layout yet, or is refreshing them after a pause of the process.
    Starting,
    /// The host serves callers.
    Ready,
    /// The host still serves callers, but reports that it is not ready, so that the balancer stops
    /// sending requests.
    Draining,
    /// The host rejects new requests and waits for those in progress.
    Stopping,
}

/// Identity of one process, from its start to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Random number that identifies the process.
    pub incarnation: Incarnation,
    /// Secret key for the tickets that the process issues.
    pub ticket_key: TicketKey,
    /// Start time, in milliseconds since the Unix epoch.
    pub generation: u64,
}

impl Identity {
    /// Creates a random identity with the current time as its generation.
    pub fn random() -> Self {
        let mut rng = rand::rng();
        let epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Self {
            incarnation: rng.random(),
            ticket_key: TicketKey(rng.random(), rng.random()),
            generation: u64::try_from(epoch.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// The state of one entry host, shared by all its tasks.
#[derive(Debug)]
pub struct Node<N: Network> {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) platform: N::Platform,
    pub(crate) links: PeerConnections<N::Peers>,
    pub(crate) owner: Owner<N::Searchers>,
    pub(crate) values: Values,
    pub(crate) alarms: Alarms,
    pub(crate) members: Mutex<MemberTable>,
    pub(crate) cluster_view: Mutex<ClusterView>,
    pub(crate) owners: Mutex<OwnerCache>,
    pub(crate) kinds: KindTable,
    pub(crate) tickets: Mutex<TicketTable>,
    pub(crate) ticket_ended: Notify,
    pub(crate) copies: OutcomeCopies,
    pub(crate) explain: ExplainLog,
    pub(crate) metrics: Metrics,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) heartbeat: Mutex<Heartbeat>,
    pub(crate) leaving_searchers: Mutex<BTreeSet<SearcherId>>,
    pub(crate) in_progress: AtomicU32,
    next_id: AtomicU64,
    rng: Mutex<SmallRng>,
}

impl<N: Network> Node<N> {
    /// Creates a host without starting its background tasks.
    pub fn new(
        settings: Settings,
        identity: Identity,
        peers: N::Peers,
        searchers: N::Searchers,
        platform: N::Platform,
    ) -> Arc<Self> {
        let own = HostFact {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            address: settings.listen.peers,
            capacity: FULL_CORE_CAPACITY,
            incarnation: identity.incarnation,
            generation: identity.generation,
            state: HostState::Alive,
            adopted: Vec::new(),
        };
        let tickets = TicketTable::new(
            settings.host.clone(),
            identity.incarnation,
            identity.ticket_key,
            INITIAL_TICKET_LIFETIME,
            settings.limits.tickets as usize,
            now(),
        );
        Arc::new(Self {
            settings,
            identity,
            platform,
            links: PeerConnections::new(peers),
            owner: Owner::new(searchers),
            values: Values::default(),
            alarms: Alarms::default(),
            members: Mutex::new(MemberTable::new(own)),
            cluster_view: Mutex::new(ClusterView::default()),
            owners: Mutex::new(OwnerCache::default()),
            kinds: KindTable::default(),
            tickets: Mutex::new(tickets),
            ticket_ended: Notify::new(),
            copies: OutcomeCopies::default(),
            explain: ExplainLog::default(),
            metrics: Metrics::default(),
            phase: watch::channel(Phase::Starting).0,
            heartbeat: Mutex::new(Heartbeat::new(now())),
            leaving_searchers: Mutex::new(BTreeSet::new()),
            in_progress: AtomicU32::new(0),
            next_id: AtomicU64::new(identity.incarnation),
            rng: Mutex::new(SmallRng::seed_from_u64(identity.incarnation)),
        })
    }

    /// Returns the counters and latency histograms of the host.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns a receiver of the current phase and its changes.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Returns whether the balancer may send requests to this host.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Ready
    }

    /// Returns whether the host knows the current sheet and layout. This is false until they have been
    /// fetched at the start, and after a pause of the process until they have been refreshed.
    pub(crate) fn is_initialized(&self) -> bool {
        *self.phase.borrow() > Phase::Starting && !lock(&self.heartbeat).was_paused(now())
    }

    /// Returns whether a drain has started.
    pub(crate) fn is_draining_or_stopping(&self) -> bool {
        *self.phase.borrow() >= Phase::Draining
    }

    /// Issues a ticket. Returns `None` once the right to run tickets has been handed over.
    pub fn issue_ticket(&self) -> Option<Ticket> {
        lock(&self.tickets).issue(now())
    }

    /// Returns the lifetime of tickets.
    pub fn ticket_lifetime(&self) -> Duration {
        lock(&self.tickets).lifetime()
    }

    /// Offers a published value. If it is adopted and is a sheet, updates the floors of the ranks and
    /// the lifetime of tickets.
    pub fn offer(&self, key: PublishedKey, revision: Revision, text: &str) {
        if !self.values.offer(key, revision, text, &self.alarms) {
            return;
        }
        if key == PublishedKey::Sheet
            && let Some(sheet) = self.values.sheet()
        {
            let floors = sheet.ranks.iter().map(|(rank, policy)| (*rank, policy.floor));
            self.owner.set_floors(floors.collect());
            lock(&self.tickets).set_lifetime(sheet.ticket_life);
        }
    }

    /// Returns whether the platform's host list says that a searcher is leaving. The list applies even
    /// if the searcher itself does not report that it is draining.
    pub(crate) fn is_listed_leaving(&self, searcher: &SearcherId) -> bool {
        lock(&self.leaving_searchers).contains(searcher)
    }

    /// Runs an attempt on a searcher that this host schedules. Refuses it if the searcher is listed as
    /// leaving.
    pub(crate) async fn run_as_owner(
        &self,
        spec: &SearcherSpec,
        req: AttemptRequest,
    ) -> AttemptReply {
        if self.is_listed_leaving(&spec.id) {
            let result = Err(AttemptFailure::not_run(FailureReason::Draining));
            return AttemptReply { result, admitted: 1.0 };
        }
        self.owner.execute(spec, req, now()).await
    }

    /// Returns the addresses of up to `count` peers, from the member table and the settings. The choice
    /// differs from host to host, so that the load of these queries is spread.
    pub(crate) fn peers_to_ask(&self, count: usize) -> Vec<SocketAddr> {
        let members = lock(&self.members);
        let known = members.facts().map(|fact| fact.address);
        let mut addresses: BTreeSet<SocketAddr> = known.collect();
        drop(members);
        addresses.extend(&self.settings.peers);
        addresses.remove(&self.settings.listen.peers);
        let mut addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        let hash = |address: &SocketAddr| {
            xxh3_64_with_seed(address.to_string().as_bytes(), self.identity.incarnation)
        };
        addresses.sort_by_key(hash);
        addresses.truncate(count);
        addresses
    }

    /// Returns a random duration between zero and `max`.
    pub(crate) fn jitter(&self, max: Duration) -> Duration {
        max.mul_f64(lock(&self.rng).random())
    }

    pub(crate) fn next_attempt_id(&self) -> AttemptId {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn next_request_id(&self) -> String {
        format!("{}-{:x}", self.settings.host, self.next_attempt_id())
    }
}
