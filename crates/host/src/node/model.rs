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
use galenaloft_peer::PeerLinks;
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

/// Life of a ticket before the first sheet is known; no ticket is issued until then.
const INITIAL_TICKET_LIFETIME: Duration = Duration::from_secs(600);

/// Where the process is between start and stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has no sheet or no layout yet.
    Starting,
    /// It serves callers.
    Ready,
    /// It serves those who still come and asks the balancer for no more.
    Draining,
    /// It is closed to callers and ends what runs.
    Stopping,
}

/// Identity of one run of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Random number of this run.
    pub incarnation: Incarnation,
    /// Secret of this run's tickets.
    pub ticket_key: TicketKey,
    /// Milliseconds since the Unix epoch at the start.
    pub generation: u64,
}

impl Identity {
    /// Draws the identity of a new run.
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

/// One entry host.
#[derive(Debug)]
pub struct Node<N: Network> {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) platform: N::Platform,
    pub(crate) links: PeerLinks<N::Peers>,
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
    pub(crate) leaving: Mutex<BTreeSet<SearcherId>>,
    pub(crate) in_progress: AtomicU32,
    next_id: AtomicU64,
    rng: Mutex<SmallRng>,
}

impl<N: Network> Node<N> {
    /// Creates a host that has started no task yet.
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
            links: PeerLinks::new(peers),
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
            leaving: Mutex::new(BTreeSet::new()),
            in_progress: AtomicU32::new(0),
            next_id: AtomicU64::new(identity.incarnation),
            rng: Mutex::new(SmallRng::seed_from_u64(identity.incarnation)),
        })
    }

    /// Returns the phase and its future changes.
    pub fn phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Returns whether the balancer may send callers.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Ready
    }

    /// Returns whether the host knows what is in force now: not before it has started, and not
    /// after a pause until it has asked again.
    pub(crate) fn is_initialized(&self) -> bool {
        *self.phase.borrow() > Phase::Starting && !lock(&self.heartbeat).was_paused(now())
    }

    pub(crate) fn is_draining_or_stopping(&self) -> bool {
        *self.phase.borrow() >= Phase::Draining
    }

    /// Issues a ticket, or `None` once the right to run tickets was given up.
    pub fn issue_ticket(&self) -> Option<Ticket> {
        lock(&self.tickets).issue(now())
    }

    /// Returns how long tickets live.
    pub fn ticket_lifetime(&self) -> Duration {
        lock(&self.tickets).lifetime()
    }

    /// Offers a published value; if it comes into force, what depends on it follows.
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

    /// Returns whether a searcher is leaving according to the platform's list, which counts
    /// whatever the searcher itself says.
    pub(crate) fn is_listed_leaving(&self, searcher: &SearcherId) -> bool {
        lock(&self.leaving).contains(searcher)
    }

    /// Runs an attempt on a searcher that this host schedules.
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

    /// Returns the addresses of up to `count` peers, each host asking others of its own choice.
    pub(crate) fn peers_to_ask(&self, count: usize) -> Vec<SocketAddr> {
        let members = lock(&self.members);
        let known = members.facts().map(|fact| fact.address);
        let mut addresses: BTreeSet<SocketAddr> = known.collect();
        drop(members);
        addresses.extend(&self.settings.peers);
        addresses.remove(&self.settings.listen.peers);
        let mut addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        let choice = |address: &SocketAddr| {
            xxh3_64_with_seed(address.to_string().as_bytes(), self.identity.incarnation)
        };
        addresses.sort_by_key(choice);
        addresses.truncate(count);
        addresses
    }

    /// Returns a random part of `most`.
    pub(crate) fn jitter(&self, most: Duration) -> Duration {
        most.mul_f64(lock(&self.rng).random())
    }

    pub(crate) fn next_attempt_id(&self) -> AttemptId {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn next_request_id(&self) -> String {
        format!("{}-{:x}", self.settings.host, self.next_attempt_id())
    }
}
