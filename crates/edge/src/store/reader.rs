//! The task that follows the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_adapter::store::StoreClient;
use galenaloft_adapter::store::StoreError;
use galenaloft_adapter::store::Update;
use galenaloft_policy::directory::Applied;
use galenaloft_policy::directory::Directory;
use galenaloft_policy::directory::Revised;
use galenaloft_policy::ids::ConfigVersion;
use galenaloft_policy::ids::StoreRevision;
use galenaloft_policy::read_schedule::ReadSchedule;
use galenaloft_policy::route::Configuration;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::host::Host;
use crate::host::KnownSearchers;
use crate::peers::StoreUpdate;
use crate::peers::StoreView;

/// Longest wait for an answer of the store.
const PATIENCE: Duration = Duration::from_millis(700);

/// Longest wait for a peer that is asked for what it knows.
const PEER_PATIENCE: Duration = Duration::from_millis(500);

/// Most peers that are asked in turn.
const PEERS_ASKED: usize = 3;

/// What other hosts tell of the store.
#[derive(Debug)]
pub enum PeerNotice {
    /// A host has this newer configuration.
    NewerConfig(ConfigVersion),
    /// A host has read changes.
    StoreUpdate(StoreUpdate),
}

/// What the reader knows.
struct Reader {
    host: Arc<Host>,
    client: StoreClient,
    directory: Directory,
    /// Revision up to which the changes are known; 0 before the first listing.
    revision: StoreRevision,
    freshness: ReadSchedule,
    /// Whether the last read failed.
    away: bool,
}

/// Follows the store for as long as the process runs.
pub async fn follow(host: Arc<Host>, mut heard: UnboundedReceiver<PeerNotice>) {
    let client = StoreClient::new(host.settings.store, PATIENCE);
    let mut reader = Reader {
        host,
        client,
        directory: Directory::default(),
        revision: 0,
        freshness: ReadSchedule::default(),
        away: false,
    };
    loop {
        let rank = reader.host.peers.read_position();
        let next = reader.freshness.next_read(rank, now());
        tokio::select! {
            biased;
            Some(heard) = heard.recv() => reader.hear(heard).await,
            () = sleep_until(next) => reader.read_store().await,
        }
    }
}

impl Reader {
    /// Reads what changed in the store, and tells the other hosts.
    async fn read_store(&mut self) {
        let began = now();
        let result = match self.revision {
            0 => self.list().await,
            after => self.read_changes(after).await,
        };
        let present = now();
        match result {
            Ok(()) => {
                self.note_fresh(began);
                if std::mem::take(&mut self.away) {
                    Event::new("store_back").with("revision", self.revision).info();
                }
            }
            Err(StoreError::HistoryGone) => {
                Event::new("store_history_gone").with("revision", self.revision).info();
                self.revision = 0;
            }
            Err(e) => self.note_failure(&e, present).await,
        }
    }

    async fn read_changes(&mut self, after: StoreRevision) -> Result<(), StoreError> {
        if self.host.config().is_none() {
            let update = self.client.configuration().await?;
            self.adopt_configuration(update.configuration);
        }
        let update = self.client.changes(after).await?;
        note_unreadable(&update);
        self.adopt_configuration(update.configuration);
        let changes = self.apply(update.searchers, now());
        self.revision = self.revision.max(update.revision);
        let returned_ago = self.directory.returned_ago(now());
        let news = StoreUpdate { after, revision: self.revision, changes, returned_ago };
        self.host.peers.publish_update(news);
        Ok(())
    }

    /// Reads everything anew. What changes meanwhile is read again as a change, since the changes
    /// are followed from the revision of the first answer on.
    async fn list(&mut self) -> Result<(), StoreError> {
        let config = self.client.configuration().await?;
        note_unreadable(&config);
        self.adopt_configuration(config.configuration);
        let listing = self.client.searchers().await?;
        note_unreadable(&listing);
        let revision = if config.revision == 0 { listing.revision } else { config.revision };
        let changed = self.directory.replace(listing.searchers, revision, now());
        self.revision = revision;
        self.publish(changed);
        self.host.searchers_loaded.store(true, Ordering::Relaxed);
        Ok(())
    }

    async fn note_failure(&mut self, e: &StoreError, now: Instant) {
        self.freshness.note_failed(now);
        self.directory.note_store_failure(now);
        if !std::mem::replace(&mut self.away, true) {
            Event::new("store_away").with("why", e).warn();
        }
        if self.revision == 0 {
            self.ask_peers().await;
        }
    }

    /// Takes over what another host tells.
    async fn hear(&mut self, heard: PeerNotice) {
        match heard {
            PeerNotice::NewerConfig(version) if version > self.host.config_version() => {
                match self.client.configuration().await {
                    Ok(update) => {
                        note_unreadable(&update);
                        self.adopt_configuration(update.configuration);
                    }
                    Err(e) => self.note_failure(&e, now()).await,
                }
                if version > self.host.config_version() {
                    self.ask_peers().await;
                }
            }
            PeerNotice::NewerConfig(_) => {}
            PeerNotice::StoreUpdate(news) => self.hear_news(news),
        }
    }

    fn hear_news(&mut self, news: StoreUpdate) {
        if self.revision == 0 {
            return;
        }
        let present = now();
        if let Some(at) = news.returned_ago.and_then(|ago| present.checked_sub(ago)) {
            self.directory.note_return_elsewhere(at);
        }
        let changes = self.apply(news.changes, present);
        // Changes before those that were told are read with the next read.
        if news.after <= self.revision {
            self.revision = self.revision.max(news.revision);
            self.note_fresh(present);
        }
        if !changes.is_empty() {
            Event::new("store_news").with("changes", changes.len()).debug();
        }
    }

    /// Takes over what some live host knows of the store.
    async fn ask_peers(&mut self) {
        for address in self.host.peers.live_peers().into_iter().take(PEERS_ASKED) {
            if let Some(knowledge) = self.host.relays.fetch_store_view(address, PEER_PATIENCE).await
            {
                Event::new("store_known_by_peer")
                    .with("peer", address)
                    .with("revision", knowledge.revision)
                    .with("age_ms", knowledge.age.as_millis())
                    .info();
                self.learn(knowledge);
                return;
            }
        }
    }

    fn learn(&mut self, knowledge: StoreView) {
        self.adopt_configuration(knowledge.config);
        if self.revision > 0 || knowledge.revision == 0 {
            return;
        }
        let present = now();
        let changed = self.directory.replace(knowledge.searchers, knowledge.revision, present);
        self.revision = knowledge.revision;
        self.publish(changed);
        self.host.searchers_loaded.store(true, Ordering::Relaxed);
    }

    fn adopt_configuration(&self, config: Option<Configuration>) {
        let Some(config) = config else {
            return;
        };
        let version = config.version;
        if self.host.adopt_config(config) {
            Event::new("config_adopted").with("version", version).info();
        }
    }

    /// Applies changes. Returns those that other hosts need to know.
    fn apply(&mut self, changes: Vec<Revised>, now: Instant) -> Vec<Revised> {
        let mut news = Vec::new();
        let mut changed = false;
        for revised in changes {
            let applied = self.directory.apply(revised.clone(), now);
            changed |= applied == Applied::Changed;
            if applied != Applied::Nothing {
                news.push(revised);
            }
        }
        self.publish(changed);
        news
    }

    /// Notes that everything up to `at` is known.
    fn note_fresh(&mut self, at: Instant) {
        let present = now();
        self.freshness.note_fresh(at);
        self.directory.note_store_answer(present);
        let expired = self.directory.expire(present);
        self.publish(expired);
        if let Some(known) = lock(&self.host.known_searchers).as_mut() {
            known.revision = self.revision;
            known.as_of = at;
        }
    }

    fn publish(&self, changed: bool) {
        if changed || lock(&self.host.known_searchers).is_none() {
            self.host.fleet.update(&self.directory);
            *lock(&self.host.known_searchers) = Some(KnownSearchers {
                searchers: self.directory.revised(),
                revision: self.revision,
                as_of: now(),
            });
        }
    }
}

fn note_unreadable(update: &Update) {
    for item in &update.unreadable {
        Event::new("store_item_unreadable").with("item", &item.item).with("why", &item.why).warn();
    }
}
