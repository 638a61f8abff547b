//! Messages between edge hosts. Only galenaloft-edge sends and receives them.

use std::collections::BTreeMap;
use std::time::Duration;

use galenaloft_policy::admission::by_cost::Lane;
use galenaloft_policy::admission::by_cost::RouteShares;
use galenaloft_policy::directory::Change;
use galenaloft_policy::directory::RevisionedChange;
use galenaloft_policy::directory::SearcherEntry;
use galenaloft_policy::directory::SearcherRun;
use galenaloft_policy::evacuation::Evacuations;
use galenaloft_policy::evacuation::ZoneChange;
use galenaloft_policy::ids::ConfigVersion;
use galenaloft_policy::ids::Rank;
use galenaloft_policy::ids::RouteName;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::notice::LimitReport;
use galenaloft_policy::notice::WarmupReport;
use galenaloft_policy::quarantine::Crash;
use galenaloft_policy::quarantine::CrashDigest;
use galenaloft_policy::route::Configuration;
use galenaloft_policy::store_position::StorePosition;
use serde::Deserialize;
use serde::Serialize;

/// A datagram of the gossip between hosts.
#[derive(Debug, Serialize, Deserialize)]
pub struct Datagram {
    /// Facts about hosts, beginning with the sender itself; none in a ping.
    pub facts: Vec<HostFact>,
    /// Number of hosts that the sender counts in its own zone.
    pub zone_hosts: u32,
    /// Version of the newest configuration that the sender has; 0 for none.
    pub config: ConfigVersion,
    /// Digest of the crashes that the sender knows.
    pub crashes: CrashDigest,
    /// Why the datagram is sent, and its further content.
    pub purpose: Purpose,
}

impl Datagram {
    /// Encodes the datagram. The changes of zones follow it if there are any: as long as no zone was
    /// evacuated, datagrams do not grow.
    pub fn encode(&self, zones: &[ZoneChange]) -> bincode::Result<Vec<u8>> {
        match zones {
            [] => bincode::serialize(self),
            zones => bincode::serialize(&(self, zones)),
        }
    }

    /// Decodes a datagram without the changes of zones that may follow it.
    pub fn decode(bytes: &[u8]) -> bincode::Result<Self> {
        bincode::deserialize(bytes)
    }

    /// Decodes the changes of zones that follow this datagram in `bytes`.
    pub fn decode_zones(&self, bytes: &[u8]) -> bincode::Result<Vec<ZoneChange>> {
        let size = usize::try_from(bincode::serialized_size(self)?).unwrap_or(usize::MAX);
        match bytes.get(size..).unwrap_or_default() {
            [] => Ok(Vec::new()),
            rest => bincode::deserialize(rest),
        }
    }
}

/// Why a datagram is sent.
#[derive(Debug, Serialize, Deserialize)]
pub enum Purpose {
    /// Asks the receiver for a reply, which shows that it is alive.
    Probe {
        /// Whether the reply should have all facts that the receiver knows, as a host needs them
        /// after its start; otherwise it has only the recent facts that are still being spread.
        wants_all: bool,
    },
    /// Asks a host of another zone for a reply without gossip.
    Ping,
    /// Answers a probe or a ping.
    Reply,
    /// Passes on changes that the sender read from the store.
    #[serde(rename = "News")]
    StoreUpdate(StoreUpdate),
    /// Reports what the sender saw of a searcher.
    Report(Report),
    /// Reports the limits of searchers, and the demand for them.
    Limits(Vec<LimitReport>),
    /// Reports searchers that warm up, and the demand for them.
    Warmups(Vec<WarmupReport>),
}

/// What a host saw of a searcher and other hosts need to know.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Report {
    /// It ended while it ran a request.
    Crash(Crash),
    /// It stated in an answer that it is leaving.
    Leaving(SearcherRun),
}

/// Changes of the store between two positions of one era.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Position up to which the sender knew the store before.
    pub after: StorePosition,
    /// Position up to which the changes were read.
    pub position: StorePosition,
    /// Changes of searchers' entries, without mere heartbeats.
    pub changes: Vec<RevisionedChange>,
    /// How long ago the store answered again after a failure. Set only while entries may be missing
    /// because they expired during that failure.
    pub returned_ago: Option<Duration>,
}

impl StoreUpdate {
    /// Splits the update into consecutive ones of at most `max_changes` changes, so that each fits
    /// into a datagram. A change is left out if the searcher wrote its entry again later, unless it
    /// says that this run is draining.
    pub fn split(mut self, max_changes: usize) -> Vec<Self> {
        self.drop_superseded();
        let mut after = self.after;
        let mut updates: Vec<Self> = Vec::new();
        for changes in self.changes.chunks(max_changes) {
            let position = changes.last().map_or(after, |change| change.position.max(after));
            let returned_ago = self.returned_ago;
            updates.push(Self { after, position, changes: changes.to_vec(), returned_ago });
            after = position;
        }
        match updates.last_mut() {
            Some(last) => last.position = self.position,
            None => updates.push(self),
        }
        updates
    }

    fn drop_superseded(&mut self) {
        let mut rewritten: BTreeMap<SearcherId, (StorePosition, SearcherEntry)> = BTreeMap::new();
        for RevisionedChange { change, position } in &self.changes {
            if let Change::Written(entry) = change {
                rewritten.insert(entry.id.clone(), (*position, entry.clone()));
            }
        }
        self.changes.retain(|RevisionedChange { change, position }| {
            rewritten.get(change.searcher()).is_none_or(|(last_position, last)| {
                position >= last_position
                    || matches!(change, Change::Written(entry) if entry.makes_draining(last))
            })
        });
    }
}

/// Everything that a host knows of the store's content. Hosts that cannot read the store request
/// it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreView {
    /// Current configuration, if the host has one.
    pub config: Option<Configuration>,
    /// Entries of all listed searchers, with their positions.
    pub searchers: Vec<RevisionedChange>,
    /// Those of the listed searchers that stated that they are leaving.
    pub leaving: Vec<SearcherRun>,
    /// Evacuated zones, and zones whose evacuation has ended.
    pub evacuations: Evacuations,
    /// Position of the store up to which the changes are known.
    pub position: StorePosition,
    /// Time since the store was last known to be at that position.
    pub age: Duration,
}

/// A query over a group of shards that a coordinator sends to an aggregator.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupQuery {
    /// Id of the caller's request.
    pub request_id: String,
    /// Host that the request names, as its coordinator decoded it.
    pub host: String,
    /// Method of the request.
    pub method: String,
    /// Path and query string.
    pub path: String,
    /// Headers that are passed on to the searchers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Route of the request; latencies are recorded for each route.
    pub route: RouteName,
    /// Rank of the route, which states its urgency.
    pub rank: Rank,
    /// Most searchers that are asked for each shard.
    pub max_attempts: u32,
    /// Latency objective of the route.
    pub target_latency: Duration,
    /// Shards to ask.
    pub shards: Vec<GroupShard>,
    /// Fewest of these shards that must answer so that the whole query meets its coverage floor.
    pub min_parts: usize,
    /// Most records that the reply may have.
    pub top_records: usize,
    /// Time after which an incomplete reply is sent rather than waiting for more shards.
    pub answer_within: Duration,
    /// Time until the deadline, after which no reply is of use.
    pub time_left: Duration,
    /// How the query was admitted; `None` if the coordinator admits all queries.
    pub admission: Option<GroupAdmission>,
}

/// How a coordinator admitted a query.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupAdmission {
    /// Searchers of the index, named by the least of its shards.
    pub searchers: ServiceId,
    /// Whether the coordinator expects the answer in time.
    pub lane: Lane,
    /// Share of such queries that the coordinator admits.
    pub share: f64,
}

/// One shard of a group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupShard {
    /// The service whose searchers hold the shard.
    pub service: ServiceId,
    /// Searchers that may be asked; empty for all that are listed.
    pub allowed: Vec<SearcherId>,
}

/// Reply of an aggregator to a query over a group of shards.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupReply {
    /// What became of the query.
    pub result: GroupResult,
    /// Admitted shares of the routes over the same searchers; a route without one is all admitted.
    pub shares: Vec<RouteShares>,
}

/// What became of a query over a group of shards.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GroupResult {
    /// Some of the shards may have answered.
    Merged(MergedParts),
    /// The query was not admitted; no searcher has received it.
    NotAdmitted,
}

/// The merged answers of a group of shards.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MergedParts {
    /// For each shard that answered, its index in `GroupQuery::shards` and its searcher's
    /// signature.
    pub parts: Vec<(u32, Vec<u8>)>,
    /// The greatest records of these answers, in descending order.
    pub records: Vec<u8>,
    /// For each shard without an answer, its index in `GroupQuery::shards` and the searchers that it
    /// was sent to: none if it was left out.
    pub missing: Vec<(u32, Vec<SearcherId>)>,
    /// Whether a searcher may have run the request.
    pub may_have_run: bool,
}

#[cfg(test)]
mod tests;
