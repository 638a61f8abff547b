//! The task that keeps the configuration and the list of searchers up to date with the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_adapter::store::Freshness;
use galenaloft_adapter::store::StoreClient;
use galenaloft_adapter::store::StoreError;
use galenaloft_adapter::store::Update;
use galenaloft_policy::catch_up::ConfigCatchUp;
use galenaloft_policy::catch_up::ConfigReport;
use galenaloft_policy::catch_up::ConfigSource;
use galenaloft_policy::directory::ChangeEffect;
use galenaloft_policy::directory::Directory;
use galenaloft_policy::directory::RevisionedChange;
use galenaloft_policy::ids::ConfigVersion;
use galenaloft_policy::ids::StoreEra;
use galenaloft_policy::read_schedule::ReadSchedule;
use galenaloft_policy::route::Configuration;
use galenaloft_policy::store_position::StorePosition;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::clock::sleep_until;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::evacuation::ZoneChangeSource;
use crate::host::Host;
use crate::host::KnownSearchers;
use crate::peers::StoreUpdate;
use crate::peers::StoreView;

/// Longest wait for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest wait for a peer to return what it knows of the store, or its configuration. All hosts of
/// a zone may ask for it at the same time.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);

/// Most peers that are asked, one after the other, until one knows the store.
const MAX_PEERS_ASKED: usize = 3;

/// What another host reports about the store.
#[derive(Debug)]
pub enum PeerNotice {
    /// The other host has a configuration that is newer than the one of this host.
    NewerConfig {
        /// Version of that configuration.
        version: ConfigVersion,
        /// Address of the other host.
        peer: SocketAddr,
        /// Whether the other host is in this host's zone.
        in_own_zone: bool,
    },
    /// Changes that the other host has read.
    StoreUpdate {
        /// The changes.
        update: StoreUpdate,
        /// Version of the configuration that the other host has; 0 for none.
        config: ConfigVersion,
        /// Address of the other host.
        peer: SocketAddr,
    },
}

/// State of the task that reads the store.
struct StoreReader {
    host: Arc<Host>,
    client: StoreClient,
    directory: Directory,
    /// Position up to which the changes of searchers and of the configuration are known; `None` if all
    /// entries have to be read first.
    position: Option<StorePosition>,
    schedule: ReadSchedule,
    /// Whether the store has failed since the last successful read.
    store_failed: bool,
    /// Era of the store that was logged last.
    logged_era: StoreEra,
    /// How the next read of the whole content is done: the first one may return an old state, since
    /// the changes after it are read at once.
    freshness: Freshness,
    catch_up: ConfigCatchUp,
}

/// Follows the store for as long as the process runs, by reading it and by notices of other hosts.
pub async fn follow(host: Arc<Host>, mut notices: UnboundedReceiver<PeerNotice>) {
    let mut reader = StoreReader::new(host);
    loop {
        let position = reader.host.peers.read_position();
        let next_read = reader.schedule.next_read(position, now());
        tokio::select! {
            biased;
            Some(notice) = notices.recv() => reader.handle_notice(notice).await,
            () = sleep_until(next_read) => reader.read_store().await,
        }
    }
}

impl StoreReader {
    /// Creates a reader that knows nothing of the store's content.
    fn new(host: Arc<Host>) -> Self {
        Self {
            client: StoreClient::new(host.settings.store, STORE_TIMEOUT)
                .with_evacuation(host.settings.evacuation),
            host,
            directory: Directory::default(),
            position: None,
            schedule: ReadSchedule::default(),
            store_failed: false,
            logged_era: 0,
            freshness: Freshness::MayBeOld,
            catch_up: ConfigCatchUp::default(),
        }
    }

    /// Reads what changed in the store since the last read, or everything if no position is known or
    /// the store came back from a copy.
    async fn read_store(&mut self) {
        let known = self.position;
        let mut started_at = now();
        let mut result = match self.position {
            None => self.read_all().await,
            Some(after) => match self.read_changes(after).await {
                Err(StoreError::EraRose(_)) => {
                    self.freshness = Freshness::Current;
                    self.read_all().await
                }
                result => result,
            },
        };
        // The store may be silent about changes only, before it loses their history. That is no outage
        // in which entries expire.
        if let Err(e) = &result
            && e.is_silence()
            && self.position.is_some()
            && !self.store_failed
        {
            Event::new("store_changes_silent").with("why", e).info();
            started_at = now();
            self.freshness = Freshness::Current;
            result = self.read_all().await;
        }
        let ended_at = now();
        self.log_era(known);
        match result {
            Ok(()) => {
                let is_first = self.schedule.age(started_at).is_none();
                self.record_known_up_to(started_at);
                if is_first {
                    self.schedule.record_first_read(started_at, rand::random());
                }
                if std::mem::take(&mut self.store_failed) {
                    let position = self.position.unwrap_or_default();
                    Event::new("store_back").with("revision", position).info();
                }
            }
            Err(e) => self.handle_error(&e, ended_at).await,
        }
    }

    /// Logs the store's era if it is another one than after the last read, with the position that was
    /// known before this read.
    fn log_era(&mut self, known: Option<StorePosition>) {
        let era = self.client.era();
        if std::mem::replace(&mut self.logged_era, era) != era {
            let event = Event::new("store_era").with("era", era);
            match known {
                Some(position) => event.with("known", position).warn(),
                None => event.info(),
            }
            self.host.metrics.store_era(era);
        }
    }

    /// Reads and applies the changes after a position, and publishes them to the other hosts.
    async fn read_changes(&mut self, after: StorePosition) -> Result<(), StoreError> {
        // The store or a peer's view may have had searchers but no configuration before.
        if self.host.config().is_none() {
            let update = self.client.configuration(Freshness::Current).await?;
            self.adopt_configuration(update.configuration);
        }
        let update = self.client.changes(after).await?;
        self.log_unreadable(&update);
        // Applied first: whoever knows the position that is published below knows these changes.
        self.apply_zone_changes(&update);
        self.adopt_configuration(update.configuration);
        let changes = self.apply(update.searchers, now());
        let position = update.position.unwrap_or(after).max(after);
        self.position = Some(position);
        let returned_ago = self.directory.time_since_store_recovery(now());
        let store_update = StoreUpdate { after, position, changes, returned_ago };
        self.host.peers.publish_update(store_update);
        Ok(())
    }

    /// Reads the configuration and all searchers. Changes are followed from the earlier one of their
    /// positions on, so that none between the two is missed: the configuration is read first, but
    /// answers that may be old can come from replicas of different age. An old state is brought up to
    /// date before it is used.
    async fn read_all(&mut self) -> Result<(), StoreError> {
        let config = self.read_operator_items().await?;
        if self.freshness == Freshness::Current {
            // The list of searchers can take seconds to read, and this list of zones is current.
            self.replace_evacuated_zones(&config);
        }
        let listing = self.client.searchers(self.freshness).await?;
        let listed_at = listing.position.unwrap_or_default();
        let position = config.position.map_or(listed_at, |config| config.min(listed_at));
        if position.era < listed_at.era {
            return Err(StoreError::EraRose(listed_at.era));
        }
        let changes = match self.freshness {
            Freshness::Current => Update { position: Some(position), ..Update::default() },
            Freshness::MayBeOld => self.client.changes(position).await?,
        };
        [&config, &listing, &changes].into_iter().for_each(|update| self.log_unreadable(update));
        Event::new("store_loaded")
            .with("config_revision", config.position.unwrap_or_default())
            .with("list_revision", listed_at)
            .with("searchers", listing.searchers.len())
            .with("revision", changes.position.unwrap_or_default())
            .with("changes", changes.searchers.len())
            .info();
        let now = now();
        self.replace_evacuated_zones(&config);
        self.apply_zone_changes(&changes);
        self.adopt_configuration(changes.configuration.or(config.configuration));
        self.directory.replace(listing.searchers, position, now);
        for change in changes.searchers {
            self.directory.apply(change, now);
        }
        self.position = changes.position;
        self.publish_searchers();
        self.host.searchers_loaded.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Reads the configuration, and the evacuated zones if they are to be read.
    async fn read_operator_items(&mut self) -> Result<Update, StoreError> {
        match self.host.settings.evacuation {
            true => self.client.operator_items(self.freshness).await,
            false => self.client.configuration(self.freshness).await,
        }
    }

    /// Takes over the whole list of evacuated zones, if it was read.
    fn replace_evacuated_zones(&self, listing: &Update) {
        if self.host.settings.evacuation
            && let Some(position) = listing.position
            && self.host.replace_evacuated_zones(&listing.zones, position, now())
        {
            self.host.peers.announce_zone_changes();
        }
    }

    /// Takes over the begin and end of evacuations.
    fn apply_zone_changes(&self, update: &Update) {
        if self.host.apply_zone_changes(&update.zones, ZoneChangeSource::Store) {
            self.host.peers.announce_zone_changes();
        }
    }

    /// Prepares the next read after one that failed.
    async fn handle_error(&mut self, e: &StoreError, now: Instant) {
        match e {
            StoreError::HistoryGone => {
                let position = self.position.unwrap_or_default();
                Event::new("store_history_gone").with("revision", position).info();
                // The store has compacted the changes after this position; the next read loads
                // everything.
                self.position = None;
                self.freshness = Freshness::Current;
            }
            // No outage. The position stays, so that changes that other hosts read are still applied.
            StoreError::EraRose(_) | StoreError::Outdated(_, _) => {
                Event::new("store_read_again").with("why", e).warn();
                self.host.metrics.store_read_again();
                self.freshness = Freshness::Current;
                self.schedule.record_failed(now);
            }
            StoreError::Http(_)
            | StoreError::TimedOut
            | StoreError::Refused(_)
            | StoreError::Unreadable(_) => self.handle_failure(e, now).await,
        }
    }

    /// Records and logs that the store failed. If this host has no position to continue from,
    /// requests the store's content from its peers.
    async fn handle_failure(&mut self, e: &StoreError, now: Instant) {
        self.schedule.record_failed(now);
        self.directory.record_store_failure(now);
        if !std::mem::replace(&mut self.store_failed, true) {
            Event::new("store_away").with("why", e).warn();
        }
        if self.position.is_none() {
            self.ask_peers().await;
        }
    }

    /// Handles a notice of another host.
    async fn handle_notice(&mut self, notice: PeerNotice) {
        match notice {
            PeerNotice::NewerConfig { version, peer, in_own_zone } => {
                if version > self.host.config_version() {
                    self.get_newer_configuration(version, peer, in_own_zone).await;
                }
            }
            PeerNotice::StoreUpdate { update, config, peer } => {
                let era = update.position.era;
                self.apply_update(update, config);
                let is_behind = self.position.is_some_and(|known| known.era < era);
                // Otherwise the next read of the store brings what changed with the era.
                if is_behind && self.store_failed && self.ask_peer(peer).await {
                    // The peer has just read the store.
                    self.record_known_up_to(now());
                }
            }
        }
    }

    /// Gets a newer configuration from the peer that reported it or from the store, if that is due.
    async fn get_newer_configuration(
        &mut self,
        version: ConfigVersion,
        peer: SocketAddr,
        in_own_zone: bool,
    ) {
        let report = ConfigReport {
            from_sharer: in_own_zone || self.host.peers.zone_gossip().is_none(),
            is_representative: self.host.peers.speaks_for_zone(),
        };
        let Some(source) = self.catch_up.next_source(report, now()) else {
            return;
        };
        let config = match source {
            ConfigSource::Peer => {
                let relays = &self.host.relays;
                let own_version = self.host.config_version();
                relays.fetch_newer_configuration(peer, own_version, PEER_TIMEOUT).await
            }
            ConfigSource::Store => match self.client.configuration(Freshness::Current).await {
                Ok(update) => {
                    self.log_unreadable(&update);
                    update.configuration
                }
                Err(e) => {
                    self.handle_error(&e, now()).await;
                    None
                }
            },
        };
        self.adopt_configuration(config);
        if version > self.host.config_version() {
            self.catch_up.record_failed(source, now());
            Event::new("config_not_received")
                .with("version", version)
                .with("peer", peer)
                .with("source", format!("{source:?}"))
                .info();
        }
    }

    /// Applies changes that another host read, unless this host has not loaded the searchers yet or
    /// knows a later era of the store. `sender_config` is the version of that host's configuration.
    fn apply_update(&mut self, update: StoreUpdate, sender_config: ConfigVersion) {
        let Some(known) = self.position.filter(|known| update.position.era >= known.era) else {
            return;
        };
        let received_at = now();
        self.directory.record_era(update.position.era, received_at);
        if let Some(at) = update.returned_ago.and_then(|ago| received_at.checked_sub(ago)) {
            self.directory.record_unnoticed_outage(at);
        }
        let changes = self.apply(update.changes, received_at);
        // An update does not carry the configuration, which may have changed up to its position. If
        // that or an earlier change is missing, the position stays and the next read fetches it. In a
        // later era it does not carry what changed with the era either.
        let own_config = self.host.config_version();
        if sender_config > own_config {
            Event::new("store_update_without_config")
                .with("revision", update.position)
                .with("own_revision", known)
                .with("config", sender_config)
                .with("own_config", own_config)
                .info();
        } else if update.after <= known && update.position.era == known.era {
            self.position = Some(known.max(update.position));
            self.record_known_up_to(received_at);
        }
        if !changes.is_empty() {
            Event::new("store_news").with("changes", changes.len()).debug();
        }
    }

    /// Asks live hosts, one after the other, for what they know of the store, and adopts the first
    /// answer.
    async fn ask_peers(&mut self) {
        for address in self.host.peers.live_peers().into_iter().take(MAX_PEERS_ASKED) {
            if self.ask_peer(address).await {
                return;
            }
        }
    }

    /// Asks a host for what it knows of the store, and adopts it. Returns whether the host answered.
    async fn ask_peer(&mut self, peer: SocketAddr) -> bool {
        let Some(view) = self.host.relays.fetch_store_view(peer, PEER_TIMEOUT).await else {
            return false;
        };
        Event::new("store_known_by_peer")
            .with("peer", peer)
            .with("revision", view.position)
            .with("age_ms", view.age.as_millis())
            .info();
        self.adopt_view(view);
        true
    }

    /// Adopts the configuration that a peer knows if it is newer, and its list of searchers if this
    /// host has none or only one of an earlier era of the store.
    fn adopt_view(&mut self, view: StoreView) {
        self.host.merge_evacuations(&view.evacuations, now());
        self.adopt_configuration(view.config);
        if self.position.is_some_and(|known| known.era >= view.position.era) {
            return;
        }
        for run in &view.leaving {
            self.host.fleet.record_leaving(run);
        }
        let now = now();
        self.directory.replace(view.searchers, view.position, now);
        self.position = Some(view.position);
        self.publish_searchers();
        self.host.searchers_loaded.store(true, Ordering::Relaxed);
    }

    /// Adopts a configuration if there is one and it is newer than the current one.
    fn adopt_configuration(&mut self, config: Option<Configuration>) {
        let Some(config) = config else {
            return;
        };
        let version = config.version;
        if self.host.adopt_config(config) {
            self.catch_up.record_caught_up();
            Event::new("config_adopted").with("version", version).info();
        }
    }

    /// Applies changes to the directory. Returns those that other hosts need to know.
    fn apply(&mut self, changes: Vec<RevisionedChange>, now: Instant) -> Vec<RevisionedChange> {
        let mut relevant = Vec::new();
        for change in changes {
            if self.directory.apply(change.clone(), now) != ChangeEffect::Unchanged {
                relevant.push(change);
            }
        }
        if !relevant.is_empty() {
            self.publish_searchers();
        }
        relevant
    }

    /// Records that all changes up to the time `at` are known, and settles what was uncertain after the
    /// store had been away.
    fn record_known_up_to(&mut self, at: Instant) {
        let now = now();
        self.schedule.record_known_up_to(at);
        self.directory.record_store_answer(now);
        if self.directory.settle(now) {
            self.publish_searchers();
        }
        if self.host.end_lost_evacuations(now) {
            self.host.peers.announce_zone_changes();
        }
        if let Some(known) = lock(&self.host.known_searchers).as_mut() {
            known.position = self.position.unwrap_or(known.position);
            known.as_of = at;
        }
    }

    /// Makes the directory's searchers available to requests and to peers that ask for them.
    fn publish_searchers(&self) {
        self.host.fleet.update(&self.directory);
        *lock(&self.host.known_searchers) = Some(KnownSearchers {
            searchers: self.directory.revisioned_entries(),
            position: self.position.unwrap_or_default(),
            as_of: now(),
        });
    }

    /// Logs and counts the store's items that cannot be read.
    fn log_unreadable(&self, update: &Update) {
        for item in &update.unreadable {
            let event = Event::new("store_item_unreadable").with("item", &item.item);
            event.with("why", &item.why).warn();
        }
        if !update.unreadable.is_empty() {
            self.host.metrics.unreadable_items(update.unreadable.len());
        }
    }
}

#[cfg(test)]
mod tests;
