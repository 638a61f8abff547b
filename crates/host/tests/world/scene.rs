//! Playing steps in a world and judging the end.

use std::env;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use galenaloft_config::settings::Settings;
use galenaloft_host::Identity;
use galenaloft_policy::ticket::TicketKey;
use galenaloft_telemetry::log::silence;
use tokio::runtime::Builder;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::FakeNode;
use crate::world::HOSTS;
use crate::world::Process;
use crate::world::World;
use crate::world::catalogue::SEARCHERS;
use crate::world::host_address;
use crate::world::host_name;
use crate::world::links::FakeConnector;
use crate::world::platform::FakePlatform;
use crate::world::platform::PlatformFault;
use crate::world::searchers::FakeLink;
use crate::world::searchers::Fault;
use crate::world::searchers::Searcher;
use crate::world::steps::Step;

/// Time from the end of all faults until the same sheet must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(14);

/// Longest time of a planned stop: the balancer's lag and the grace of the settings, and a second.
const DRAIN_LIMIT: Duration = Duration::from_millis(21_400);

/// Time from the end of a planned stop to the end of its process.
const LINGER: Duration = Duration::from_millis(300);

/// Plays the steps in a new world under a paused clock. Returns what did not hold.
pub fn run(steps: &[Step]) -> Vec<String> {
    if env::var_os("GALENALOFT_FUZZ_LOG").is_none() {
        silence();
    }
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let mut scene = Scene::new().await;
        for step in steps {
            scene.play(step).await;
        }
        scene.judge().await
    })
}

pub struct Scene {
    pub(super) world: World,
    pub(super) starts: u64,
    pub(super) requests: u64,
    background: Vec<Option<JoinSet<()>>>,
    pub(super) tickets: Arc<Mutex<Vec<String>>>,
    pub(super) running: JoinSet<()>,
    pub(super) begun: Instant,
}

impl Scene {
    pub async fn new() -> Self {
        let world = World::default();
        {
            let mut inner = world.lock();
            inner.searchers = (0..SEARCHERS).map(|_| Searcher::default()).collect();
            let layout = serde_json::to_string(&inner.catalogue.layout()).unwrap();
            inner.platform.publish("layout", layout);
            inner.platform.publish("sheet", sheet(1, true));
        }
        let mut scene = Self {
            world,
            starts: 0,
            requests: 0,
            background: (0..HOSTS).map(|_| None).collect(),
            tickets: Arc::default(),
            running: JoinSet::new(),
            begun: Instant::now(),
        };
        for host in 0..HOSTS {
            scene.start(host);
        }
        sleep(Duration::from_secs(2)).await;
        scene
    }

    pub async fn play(&mut self, step: &Step) {
        match step.clone() {
            Step::Search { host } => self.search(host),
            Step::Fetch { host, document } => self.fetch(host, document),
            Step::TakeTicket { host } => self.take_ticket(host),
            Step::Submit { host, ticket, other_body } => self.submit(host, ticket, other_body),
            Step::Kill { host } => self.kill(host),
            Step::Restart { host } => self.start(host),
            Step::Freeze { host } => drop(self.world.lock().frozen.insert(host)),
            Step::Wake { host } => drop(self.world.lock().frozen.remove(&host)),
            Step::Drain { host } => self.drain(host),
            Step::Split => self.world.lock().split = true,
            Step::Isolate { host } => drop(self.world.lock().isolated.insert(host)),
            Step::Heal => self.heal(),
            Step::SearcherFault { searcher, fault } => {
                self.world.lock().searchers[searcher].set_fault(fault);
            }
            Step::PlatformFault { fault } => self.world.lock().platform.set_fault(fault),
            Step::Publish { worth, valid } => {
                self.world.lock().platform.publish("sheet", sheet(worth, valid));
            }
            Step::Race { worth } => self.republish(0, worth),
            Step::Restore { worth } => self.republish(1, worth),
            Step::NewSnapshot { repartition } => self.new_snapshot(repartition),
            Step::Wait { ms } => sleep(Duration::from_millis(u64::from(ms))).await,
        }
        sleep(Duration::from_millis(1)).await;
        self.note_stamps();
    }

    /// Ends all faults, waits for the end of everything and returns what did not hold.
    pub async fn judge(&mut self) -> Vec<String> {
        self.heal();
        {
            let mut inner = self.world.lock();
            inner.frozen.clear();
            inner.platform.set_fault(PlatformFault::None);
            inner.searchers.iter_mut().for_each(|searcher| searcher.set_fault(Fault::None));
        }
        sleep(IN_FORCE).await;
        self.check_sheets();
        // Planned stops end before their hosts start again.
        sleep(DRAIN_LIMIT).await;
        for host in 0..HOSTS {
            self.start(host);
        }
        sleep(IN_FORCE).await;
        self.check_sheets();
        // Beliefs about searchers fade.
        sleep(Duration::from_secs(30)).await;
        for host in 0..HOSTS {
            self.check_whole_answer(host).await;
        }
        while self.running.join_next().await.is_some() {}
        self.ask_for_outcomes().await;
        self.check_reads();
        self.world.lock().oracle.verdict()
    }

    fn start(&mut self, host: usize) {
        if self.world.lock().processes.contains_key(&host) {
            return;
        }
        self.starts += 1;
        let process = self.starts << 32;
        let text = format!(
            "host: {}\nzone: z{}\nlisten: {{ callers: \"10.0.0.9:1\", peers: \"{}\", operators: \
             \"10.0.0.9:2\" }}\nplatform: 10.0.0.9:3\ndrain: {{ balancer-lag: 100ms, grace: 20s }}\n",
            host_name(host),
            host % 2,
            host_address(host)
        );
        let settings = Settings::parse("settings", &text).unwrap();
        let identity = Identity {
            incarnation: process,
            ticket_key: TicketKey(process, 1),
            generation: self.starts,
        };
        let world = self.world.clone();
        let node = FakeNode::new(
            settings,
            identity,
            FakeConnector { world: world.clone(), process, host },
            FakeLink { world: world.clone(), process, host },
            FakePlatform { world, process, host },
        );
        self.background[host] = Some(node.start());
        self.world.lock().processes.insert(host, Process { id: process, node });
    }

    fn kill(&mut self, host: usize) {
        self.background[host] = None;
        let mut inner = self.world.lock();
        if let Some(process) = inner.processes.remove(&host) {
            inner.dead.insert(process.id);
        }
        inner.frozen.remove(&host);
    }

    fn drain(&mut self, host: usize) {
        let Some((process, node)) = self.process(host) else {
            return;
        };
        let world = self.world.clone();
        let background = self.background[host].take();
        self.running.spawn(async move {
            let cut = node.drain().await;
            // The process still answers its peers while its last replies are written.
            sleep(LINGER).await;
            let mut inner = world.lock();
            if inner.dead.contains(&process) {
                return;
            }
            let left = inner.in_progress.get(&process).copied().unwrap_or(0);
            inner.oracle.note_cut(host, cut.max(left));
            inner.processes.remove(&host);
            inner.dead.insert(process);
            drop(inner);
            drop(background);
        });
    }

    fn heal(&self) {
        let mut inner = self.world.lock();
        inner.split = false;
        inner.isolated.clear();
    }

    fn republish(&self, back: u32, worth: u8) {
        let mut inner = self.world.lock();
        let present = inner.platform.values.get("sheet").map_or(1, |value| value.version);
        let version = present.saturating_sub(back).max(1);
        inner.platform.put("sheet", version, sheet(worth, true));
    }

    fn new_snapshot(&self, repartition: bool) {
        let mut inner = self.world.lock();
        inner.catalogue.advance(repartition);
        let layout = serde_json::to_string(&inner.catalogue.layout()).unwrap();
        inner.platform.publish("layout", layout);
    }

    pub(super) fn process(&self, host: usize) -> Option<(u64, Arc<FakeNode>)> {
        let inner = self.world.lock();
        inner.processes.get(&host).map(|process| (process.id, process.node.clone()))
    }
}

fn sheet(worth: u8, valid: bool) -> String {
    let floor = if valid { "30%" } else { "broken" };
    format!(
        "customer: fuzz\nticket-life: 60s\nranks:\n  urgent: {{ order: 1, floor: {floor} }}\nkinds:\n  \
         look: {{ operation: search, collection: entries, rank: urgent, worth: {}, deadline: \
         300ms, coverage-floor: 60% }}\n  get: {{ operation: fetch, collection: entries, rank: \
         urgent, worth: 1, deadline: 300ms }}\n  fee: {{ operation: file, collection: fees, rank: \
         urgent, worth: 1, deadline: 1s }}\n",
        u32::from(worth) + 1
    )
}
