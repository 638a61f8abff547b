//! Switching faults, publishing and reading counters while the stand-in runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;

use galenaloft_control_plane::LAYOUT_KEY;
use galenaloft_control_plane::wire;
use galenaloft_http::Reply;
use galenaloft_http::text;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::catalogue::Catalogue;
use crate::catalogue::Repartition;
use crate::options::Scene;
use crate::platform::PlatformState;
use crate::platform::service::parameters;
use crate::platform::state::PlatformFault;
use crate::searcher::Fault;
use crate::searcher::RunLog;
use crate::searcher::SearcherProcess;

/// Switches the fault of one searcher.
#[derive(Debug, Deserialize)]
struct SearcherFault {
    searcher: String,
    #[serde(flatten)]
    fault: Fault,
}

/// Switches the fault of the platform.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SetPlatformFault {
    fault: PlatformFault,
}

/// Publishes a value, under the next version if none is given.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Publish {
    key: String,
    value: String,
    version: Option<u32>,
}

/// Generates the next snapshot of a collection.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Advance {
    collection: String,
    #[serde(default)]
    repartition: bool,
}

/// Lists a host as leaving or live.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Leaving {
    host: String,
    leaving: bool,
}

/// Counters of the stand-in.
#[derive(Debug, Serialize)]
pub struct Stats {
    received: u64,
    overcommitted: u64,
    platform_reads: u64,
    received_by_searcher: BTreeMap<String, u64>,
}

/// Runs of submissions.
#[derive(Debug, Serialize)]
pub struct Runs {
    submissions: usize,
    repeated: Vec<String>,
    count: u32,
}

/// Everything that can be switched.
#[derive(Debug)]
pub struct Control {
    /// What is played.
    pub scene: Scene,
    /// The platform.
    pub platform: PlatformState,
    /// Runs of submissions over all searchers.
    pub log: Arc<RunLog>,
    catalogue: Mutex<Catalogue>,
    searchers: Vec<SearcherProcess>,
}

impl Control {
    /// Brings all parts together and publishes the first layout.
    pub fn new(
        scene: Scene,
        platform: PlatformState,
        log: Arc<RunLog>,
        catalogue: Catalogue,
        searchers: Vec<SearcherProcess>,
    ) -> Self {
        let catalogue = Mutex::new(catalogue);
        let control = Self { scene, platform, log, catalogue, searchers };
        control.publish_layout();
        control
    }

    /// Answers a request to switch something.
    pub async fn handle(&self, path: &str, body: &[u8]) -> Reply {
        let result = match path {
            "/standin/searcher" => self.searcher_fault(body).await,
            "/standin/platform" => decode(body).map(|SetPlatformFault { fault }| {
                self.platform.set_fault(fault);
                format!("{fault:?}\n")
            }),
            "/standin/publish" => decode(body).map(|Publish { key, value, version }| {
                let version = self.platform.publish(&key, value, version);
                format!("{key} is published as version {version}\n")
            }),
            "/standin/snapshot" => decode(body).and_then(|advance| self.advance(&advance)),
            "/standin/leaving" => decode(body).map(|Leaving { host, leaving }| {
                self.platform.set_leaving(&host, leaving);
                format!("{host} is listed with leaving={leaving}\n")
            }),
            _ => return text(StatusCode::NOT_FOUND, "no such path\n"),
        };
        match result {
            Ok(done) => text(StatusCode::OK, done),
            Err(why) => text(StatusCode::BAD_REQUEST, format!("{why}\n")),
        }
    }

    /// Returns all searchers for the host list.
    pub fn listed_searchers(&self) -> Vec<wire::Searcher> {
        self.catalogue().searchers().to_vec()
    }

    /// Returns the counters.
    pub fn stats(&self) -> Stats {
        let sum = |count: fn(&SearcherProcess) -> u64| self.searchers.iter().map(count).sum();
        let received = |searcher: &SearcherProcess| searcher.state.received.load(Ordering::Relaxed);
        let by_searcher = self.searchers.iter().map(|s| (s.state.id.clone(), received(s)));
        Stats {
            received: sum(|s| s.state.received.load(Ordering::Relaxed)),
            overcommitted: sum(|s| s.state.overcommitted.load(Ordering::Relaxed)),
            platform_reads: self.platform.reads.load(Ordering::Relaxed),
            received_by_searcher: by_searcher.collect(),
        }
    }

    /// Returns the runs of submissions; `submission=...` asks for the count of one.
    pub fn runs(&self, query: &str) -> Runs {
        let (submissions, repeated) = self.log.summary();
        let one = parameters(query).get("submission").copied();
        Runs { submissions, repeated, count: one.map_or(0, |one| self.log.count(one)) }
    }

    async fn searcher_fault(&self, body: &[u8]) -> Result<String, String> {
        let SearcherFault { searcher, fault } = decode(body)?;
        let process = self.searchers.iter().find(|process| process.state.id == searcher);
        let process = process.ok_or_else(|| format!("there is no searcher `{searcher}`"))?;
        process.set_fault(fault).await.map_err(|e| e.to_string())?;
        Ok(format!("{searcher}: {fault:?}\n"))
    }

    fn advance(&self, advance: &Advance) -> Result<String, String> {
        let repartition = match advance.repartition {
            true => Repartition::Grow,
            false => Repartition::Keep,
        };
        let collection = &advance.collection;
        let mut catalogue = self.catalogue();
        let id = catalogue
            .advance(collection, repartition)
            .ok_or_else(|| format!("there is no collection `{collection}`"))?;
        for (index, searcher) in self.searchers.iter().enumerate() {
            searcher.state.hold(catalogue.held_by(index));
        }
        drop(catalogue);
        self.publish_layout();
        Ok(format!("{collection} has snapshot {id}\n"))
    }

    fn publish_layout(&self) {
        let layout = self.catalogue().layout();
        let text = serde_json::to_string(&layout).expect("generated messages are valid JSON");
        self.platform.publish(LAYOUT_KEY, text, None);
    }

    fn catalogue(&self) -> MutexGuard<'_, Catalogue> {
        self.catalogue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}
