//! What edge hosts tell each other. Both ends are this project.

use std::time::Duration;

use galenaloft_policy::directory::Revised;
use galenaloft_policy::ids::ConfigVersion;
use galenaloft_policy::ids::Rank;
use galenaloft_policy::ids::RouteName;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ServiceId;
use galenaloft_policy::ids::StoreRevision;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::quarantine::Crash;
use galenaloft_policy::route::Configuration;
use serde::Deserialize;
use serde::Serialize;

/// A datagram.
#[derive(Debug, Serialize, Deserialize)]
pub struct Datagram {
    /// Facts on hosts, the sender's own first.
    pub facts: Vec<HostFact>,
    /// Newest configuration that the sender has; 0 for none.
    pub config: ConfigVersion,
    /// What it is sent for.
    pub purpose: Purpose,
}

/// What a datagram is sent for.
#[derive(Debug, Serialize, Deserialize)]
pub enum Purpose {
    /// Asks whether the receiver is alive, and perhaps for all facts that it knows.
    Probe {
        /// Whether every fact is wanted.
        wants_all: bool,
    },
    /// Answers a probe.
    Reply,
    /// Tells what was read from the store.
    #[serde(rename = "News")]
    StoreUpdate(StoreUpdate),
    /// Tells that a searcher ended while it ran a request.
    Crash(Crash),
}

/// What changed in the store between two revisions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Revision after which the changes were read.
    pub after: StoreRevision,
    /// Revision up to which they were read.
    pub revision: StoreRevision,
    /// Changes of searchers other than heartbeats.
    pub changes: Vec<Revised>,
    /// How long ago the store returned, while entries may be missing only because it was away.
    pub returned_ago: Option<Duration>,
}

/// Everything that a host knows of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreView {
    /// Configuration in force.
    pub config: Option<Configuration>,
    /// Searchers.
    pub searchers: Vec<Revised>,
    /// Revision up to which the changes are known.
    pub revision: StoreRevision,
    /// How old that is.
    pub age: Duration,
}

/// A query on some shards, to be answered by a host in the searchers' availability zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupQuery {
    /// Id of the caller's request.
    pub request_id: String,
    /// Method of the request.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that are passed on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Route, by which latencies are kept.
    pub route: RouteName,
    /// Urgency of the route.
    pub rank: Rank,
    /// Most searchers of each shard that are asked.
    pub max_attempts: u32,
    /// Objective of the route.
    pub target_latency: Duration,
    /// The shards.
    pub shards: Vec<GroupShard>,
    /// Fewest parts that the whole query needs of them.
    pub min_parts: usize,
    /// Most records that are wanted.
    pub top_records: usize,
    /// Time after which an answer that is incomplete goes out.
    pub answer_within: Duration,
    /// Time after which no answer is of use.
    pub time_left: Duration,
}

/// One shard of a group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupShard {
    /// The shard's service.
    pub service: ServiceId,
    /// Searchers that may be asked; none stands for all that are listed.
    pub allowed: Vec<SearcherId>,
}

/// The parts of a group of shards, merged.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupReply {
    /// Index of each shard that answered, with its searcher's signature.
    pub parts: Vec<(u32, Vec<u8>)>,
    /// The greatest records of these parts, falling.
    pub records: Vec<u8>,
}
