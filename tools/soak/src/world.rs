//! The system under test and the platform around it, with everything that happened to them.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use galenaloft_platform_standin::scene::OTHER_SINGLE;
use galenaloft_platform_standin::scene::SINGLE;
use galenaloft_platform_standin::scene::configuration_with;
use galenaloft_platform_standin::scene::records;
use galenaloft_platform_standin::scene::shard_name;
use galenaloft_platform_standin::searcher;
use galenaloft_platform_standin::searcher::Fault;
use galenaloft_platform_standin::searcher::Searcher;
use galenaloft_platform_standin::store::Store;
use galenaloft_platform_standin::store::StoreFault;
use nix::sys::signal::Signal;
use tokio::time::sleep;

use crate::edge;
use crate::edge::Edge;
use crate::evacuations::Evacuated;
use crate::evacuations::Evacuation;
use crate::notices::Notice;
use crate::notices::Stated;
use crate::notices::Statement;
use crate::plan::Action;
use crate::proxy::Harm;
use crate::proxy::Proxy;
use crate::restores::Restore;

/// Availability zones.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Searchers of each shard and service.
const REPLICAS: usize = 2;

/// How long a part takes.
const WORK: Duration = Duration::from_millis(4);

/// Time from a searcher's crash until its entry lapses.
const LAPSE: Duration = Duration::from_millis(1_200);

/// Time for which a searcher that said that it is leaving still serves, and a little more.
const LEAVES_AFTER: Duration = Duration::from_millis(3_800);

/// Time from the store's return until lapsed entries are back; the platform states about 2 s.
const RETURN_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a new searcher is listed before the old one leaves.
const OVERLAP: Duration = Duration::from_millis(600);

/// Time after which the store removes an entry that is not renewed.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// Time between two changes of an evacuation that flickers.
const FLICKER: Duration = Duration::from_millis(50);

/// Longest time that a planned stop may take; the settings grant 6 s.
const STOP_LIMIT: Duration = Duration::from_millis(6_500);

/// Longest time from a start until a host is ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// How often an awaited event is looked for.
const LOOK: Duration = Duration::from_millis(20);

/// What something happened to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// A host, by a fault.
    Host(usize),
    /// A host, by a planned stop.
    Stop(usize),
    /// The store, towards every host.
    Store,
    /// The way of some host to the store.
    WayToStore,
    /// Some searcher, by a fault.
    Searcher,
}

/// Something that happened.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    /// To what.
    pub target: Target,
    /// From when on.
    pub from: Instant,
    /// Until when; `None` while it goes on.
    pub until: Option<Instant>,
}

/// A configuration that the store has.
#[derive(Debug, Clone)]
pub struct Configured {
    /// When the store had it.
    pub at: Instant,
    /// Service that fetches go to.
    pub fetched: &'static str,
}

/// A searcher that said that it is leaving.
#[derive(Debug, Clone)]
pub struct Drained {
    /// Its id.
    pub id: String,
    /// When the store had that.
    pub at: Instant,
}

/// What happened in a run.
#[derive(Debug, Default, Clone)]
pub struct History {
    /// Faults and planned stops.
    pub events: Vec<Event>,
    /// Configurations in the order of their versions.
    pub configured: Vec<Configured>,
    /// Searchers that left.
    pub drained: Vec<Drained>,
    /// Evacuations that have ended.
    pub evacuated: Vec<Evacuated>,
    /// What searchers stated in their answers, once they no longer did.
    pub stated: Vec<Stated>,
    /// Every searcher that there was.
    pub searchers: Vec<Searcher>,
    /// What must not happen and did.
    pub broken: Vec<String>,
}

/// A host and the way to its store.
#[derive(Debug)]
struct Host {
    spec: edge::Spec,
    edge: tokio::sync::Mutex<Edge>,
    to_store: Proxy,
}

/// One place of a searcher, whoever fills it.
#[derive(Debug)]
struct Place {
    service: String,
    zone: String,
    body: Vec<u8>,
    current: tokio::sync::Mutex<(Searcher, Proxy)>,
}

/// How large a world is.
#[derive(Debug, Clone)]
pub struct Size {
    /// The hosts' program.
    pub binary: PathBuf,
    /// Hosts, over three availability zones.
    pub hosts: usize,
    /// Shards of the index.
    pub shards: usize,
    /// First port of the hosts.
    pub port: u16,
    /// Folder for the hosts' logs.
    pub logs: Option<PathBuf>,
}

/// Everything that runs.
#[derive(Debug)]
pub struct World {
    size: Size,
    store: Store,
    /// Revision of the store at which all hosts had started.
    first_revision: u64,
    hosts: Vec<Host>,
    places: Vec<Place>,
    history: Mutex<History>,
}

impl World {
    /// Starts the platform and all hosts, and waits until they are ready.
    pub async fn start(size: Size) -> io::Result<Arc<Self>> {
        let store = Store::new();
        let address = store.serve().await?;
        let mut world = Self {
            store,
            first_revision: 0,
            hosts: Vec::new(),
            places: Vec::new(),
            history: Mutex::default(),
            size: size.clone(),
        };
        for shard in 0..size.shards {
            world.add_places(&shard_name(shard), shard, &records(shard, 60)).await?;
        }
        for (index, single) in [SINGLE, OTHER_SINGLE].into_iter().enumerate() {
            world.add_places(single, index, single.as_bytes()).await?;
        }
        world.configure(SINGLE);
        for index in 0..size.hosts {
            let to_store = Proxy::start().await?;
            to_store.lead_to(address);
            let spec = edge::Spec {
                binary: size.binary.clone(),
                zone: ZONES[index % ZONES.len()].to_owned(),
                number: u8::try_from(index + 1).map_err(io::Error::other)?,
                port: size.port,
                store: to_store.address,
                log: size.logs.as_ref().map(|dir| dir.join(format!("e{}.log", index + 1))),
                extra_settings: "evacuation: true\n".to_owned(),
            };
            let edge = tokio::sync::Mutex::new(Edge::start(&spec)?);
            world.hosts.push(Host { spec, edge, to_store });
        }
        for host in 0..size.hosts {
            world.await_ready(host).await;
        }
        world.first_revision = world.store.revision();
        Ok(Arc::new(world))
    }

    /// Returns where callers connect.
    pub async fn callers(&self) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for host in &self.hosts {
            addresses.push(host.edge.lock().await.callers);
        }
        addresses
    }

    /// Returns what happened so far.
    pub fn history(&self) -> History {
        self.lock().clone()
    }

    /// Carries out an action to its end.
    pub async fn play(&self, action: Action) -> io::Result<()> {
        match action {
            Action::Stop { host } => self.stop(host % self.hosts.len()).await?,
            Action::Reload { host } => {
                let host = &self.hosts[host % self.hosts.len()];
                if let Ok(edge) = host.edge.try_lock() {
                    edge.signal(Signal::SIGHUP)?;
                }
            }
            Action::Kill { host, down } => self.kill(host % self.hosts.len(), down).await?,
            Action::Pause { host, time } => self.pause(host % self.hosts.len(), time).await?,
            Action::HarmStore { host, harm, time } => {
                let event = self.begin(Target::WayToStore);
                let host = &self.hosts[host % self.hosts.len()];
                host.to_store.set(harm);
                sleep(time).await;
                host.to_store.set(Harm::None);
                self.end(event);
            }
            Action::StoreFault { fault, time } => {
                let event = self.begin(Target::Store);
                self.store.set_fault(fault);
                sleep(time).await;
                self.store.set_fault(StoreFault::None);
                self.end(event);
            }
            Action::Lapse { time } => self.lapse(time).await,
            Action::Compact => self.store.compact(),
            Action::SearcherFault { searcher, fault, time } => {
                let searcher = self.place(searcher).current.lock().await.0.clone();
                let event = self.begin(Target::Searcher);
                searcher.set_fault(fault);
                sleep(time).await;
                searcher.set_fault(Fault::None);
                self.end(event);
            }
            Action::Slow { searcher, work, time } => {
                let searcher = self.place(searcher).current.lock().await.0.clone();
                let event = self.begin(Target::Searcher);
                searcher.set_work(work);
                sleep(time).await;
                searcher.set_work(WORK);
                self.end(event);
            }
            Action::HarmSearcher { searcher, harm, time } => {
                let current = self.place(searcher).current.lock().await;
                let event = self.begin(Target::Searcher);
                current.1.set(harm);
                sleep(time).await;
                current.1.set(Harm::None);
                self.end(event);
            }
            Action::Crash { searcher, down } => {
                let place = self.place(searcher);
                let Ok(mut current) = place.current.try_lock() else {
                    return Ok(());
                };
                let event = self.begin(Target::Searcher);
                current.0.crash();
                sleep(LAPSE).await;
                current.0.deregister();
                sleep(down).await;
                *current = self.fill(&place.service, &place.zone, &place.body).await?;
                self.end(event);
            }
            Action::Replace { searcher } => self.replace(searcher).await?,
            Action::Configure => {
                let last = self.lock().configured.last().map(|last| last.fetched);
                self.configure(if last == Some(SINGLE) { OTHER_SINGLE } else { SINGLE });
            }
        }
        Ok(())
    }

    /// Lets a searcher make a statement for a while. One that is leaving ends then, after another one
    /// has started.
    pub async fn play_notice(&self, notice: Notice) -> io::Result<()> {
        let place = self.place(notice.searcher);
        let Ok(mut current) = place.current.try_lock() else {
            return Ok(());
        };
        let event = self.begin(Target::Searcher);
        let searcher = current.0.clone();
        notice.statement.begin(&searcher);
        sleep(notice.time).await;
        let (from, until) = (searcher.stated_at(), Instant::now());
        notice.statement.end(&searcher);
        if notice.statement == Statement::Leaving {
            *current = self.fill(&place.service, &place.zone, &place.body).await?;
            sleep(OVERLAP).await;
            searcher.crash();
            searcher.deregister();
        }
        self.end(event);
        if let Some(from) = from {
            let stated = Stated { searcher, statement: notice.statement, from, until };
            self.lock().stated.push(stated);
        }
        Ok(())
    }

    /// Evacuates a zone for a while.
    pub async fn play_evacuation(&self, evacuation: Evacuation) {
        let zone = ZONES[evacuation.zone % ZONES.len()];
        self.store.evacuate(zone);
        if evacuation.flickers {
            sleep(FLICKER).await;
            self.store.end_evacuation(zone);
            sleep(FLICKER).await;
            self.store.evacuate(zone);
        }
        let from = Instant::now();
        sleep(evacuation.time).await;
        let until = Instant::now();
        self.store.end_evacuation(zone);
        self.lock().evacuated.push(Evacuated { zone, from, until });
    }

    /// Takes the store away for a while and brings it back from a copy. The operator writes what was lost
    /// again at once, searchers with their heartbeats, and entries that came back expire.
    pub async fn play_restore(&self, restore: Restore) {
        let event = self.begin(Target::Store);
        self.store.set_fault(match restore.silent {
            true => StoreFault::Silent,
            false => StoreFault::Refuse(503),
        });
        sleep(restore.time).await;
        let copy = self.store.revision().saturating_sub(restore.lost).max(self.first_revision);
        let lost = self.store.restore(copy);
        self.store.write_again(&lost, |key, _| key.starts_with("op/"));
        self.store.set_fault(StoreFault::None);
        self.end(event);
        sleep(EXPIRY).await;
        self.store.write_again(&lost, |_, was_there| !was_there);
    }

    /// Waits until no host is being stopped, started or held, and every one is ready.
    pub async fn settle(&self) {
        for host in 0..self.hosts.len() {
            self.await_ready(host).await;
        }
    }

    /// Notes hosts that ended by themselves.
    pub async fn check_processes(&self) {
        for host in &self.hosts {
            match host.edge.lock().await.try_exit() {
                Ok(None) => {}
                other => {
                    self.note_broken(format!("{} ended by itself: {other:?}", host.spec.number))
                }
            }
        }
    }

    async fn await_ready(&self, host: usize) {
        let limit = Instant::now() + START_LIMIT;
        while !self.hosts[host].edge.lock().await.is_ready().await {
            if Instant::now() >= limit {
                self.note_broken(format!("host {host} is not ready in {START_LIMIT:?}"));
                return;
            }
            sleep(LOOK).await;
        }
    }

    async fn stop(&self, index: usize) -> io::Result<()> {
        let host = &self.hosts[index];
        let Ok(mut edge) = host.edge.try_lock() else {
            return Ok(());
        };
        let event = self.begin(Target::Stop(index));
        let began = Instant::now();
        edge.signal(Signal::SIGTERM)?;
        while edge.try_exit()?.is_none() {
            if began.elapsed() > STOP_LIMIT {
                self.note_broken(format!("host {index} does not stop in {STOP_LIMIT:?}"));
                break;
            }
            sleep(LOOK).await;
        }
        *edge = Edge::start(&host.spec)?;
        self.end(event);
        Ok(())
    }

    async fn kill(&self, index: usize, down: Duration) -> io::Result<()> {
        let host = &self.hosts[index];
        let Ok(mut edge) = host.edge.try_lock() else {
            return Ok(());
        };
        let event = self.begin(Target::Host(index));
        edge.signal(Signal::SIGKILL)?;
        sleep(down).await;
        *edge = Edge::start(&host.spec)?;
        self.end(event);
        Ok(())
    }

    async fn pause(&self, index: usize, time: Duration) -> io::Result<()> {
        let Ok(edge) = self.hosts[index].edge.try_lock() else {
            return Ok(());
        };
        let event = self.begin(Target::Host(index));
        edge.signal(Signal::SIGSTOP)?;
        sleep(time).await;
        edge.signal(Signal::SIGCONT)?;
        self.end(event);
        Ok(())
    }

    async fn lapse(&self, time: Duration) {
        let event = self.begin(Target::Store);
        self.store.set_fault(StoreFault::Refuse(503));
        sleep(time / 2).await;
        let mut lapsed = Vec::new();
        for place in &self.places {
            // One that is being replaced or is down is left to that.
            if let Ok(current) = place.current.try_lock() {
                current.0.deregister();
                lapsed.push(current);
            }
        }
        sleep(time / 2).await;
        self.store.set_fault(StoreFault::None);
        sleep(RETURN_TIME).await;
        lapsed.iter().for_each(|current| current.0.register_again());
        self.end(event);
    }

    async fn replace(&self, searcher: usize) -> io::Result<()> {
        let place = self.place(searcher);
        let Ok(mut current) = place.current.try_lock() else {
            return Ok(());
        };
        let new = self.fill(&place.service, &place.zone, &place.body).await?;
        sleep(OVERLAP).await;
        let (old, _to_old) = std::mem::replace(&mut *current, new);
        drop(current);
        old.drain();
        let drained = Drained { id: old.spec.id.clone(), at: Instant::now() };
        self.lock().drained.push(drained);
        sleep(LEAVES_AFTER).await;
        old.crash();
        old.deregister();
        Ok(())
    }

    fn place(&self, number: usize) -> &Place {
        &self.places[number % self.places.len()]
    }

    async fn add_places(&mut self, service: &str, first: usize, body: &[u8]) -> io::Result<()> {
        for replica in 0..REPLICAS {
            let zone = ZONES[(first + replica) % ZONES.len()].to_owned();
            let current = tokio::sync::Mutex::new(self.fill(service, &zone, body).await?);
            let place = Place { service: service.to_owned(), zone, body: body.to_vec(), current };
            self.places.push(place);
        }
        Ok(())
    }

    async fn fill(&self, service: &str, zone: &str, body: &[u8]) -> io::Result<(Searcher, Proxy)> {
        let proxy = Proxy::start().await?;
        let number = self.lock().searchers.len();
        let spec = searcher::Spec {
            id: format!("s{number}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: 4,
            work: WORK,
            body: body.to_vec(),
            advertised: Some(proxy.address),
        };
        let searcher = Searcher::start(spec, &self.store).await?;
        proxy.lead_to(searcher.address);
        self.lock().searchers.push(searcher.clone());
        Ok((searcher, proxy))
    }

    fn configure(&self, fetched: &'static str) {
        let mut history = self.lock();
        let version = history.configured.len() as u64 + 1;
        self.store.configure(&configuration_with(self.size.shards, version, fetched));
        history.configured.push(Configured { at: Instant::now(), fetched });
    }

    fn begin(&self, target: Target) -> usize {
        let mut history = self.lock();
        history.events.push(Event { target, from: Instant::now(), until: None });
        history.events.len() - 1
    }

    fn end(&self, event: usize) {
        self.lock().events[event].until = Some(Instant::now());
    }

    fn note_broken(&self, what: String) {
        self.lock().broken.push(what);
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
