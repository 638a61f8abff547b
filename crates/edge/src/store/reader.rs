//! The task that follows the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use galenaloft_adapter::store::StoreClient;
use galenaloft_adapter::store::StoreError;
use galenaloft_adapter::store::Update;
use galenaloft_policy::directory::Change;
use galenaloft_policy::directory::Directory;
use galenaloft_policy::ids::StoreRevision;
use galenaloft_telemetry::log::Event;

use crate::clock::now;
use crate::host::Host;

/// Time between two reads of the changes. A searcher that is leaving gets no more requests three
/// seconds after it says so: a third of that leaves room for a failed read.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Time before a read that failed is tried again.
const RETRY: Duration = Duration::from_millis(250);

/// Longest wait for an answer of the store.
const PATIENCE: Duration = Duration::from_millis(700);

/// What the reader knows.
struct Reader {
    host: Arc<Host>,
    client: StoreClient,
    directory: Directory,
    /// Revision up to which the changes are known; 0 before the first listing.
    revision: StoreRevision,
    /// Whether the last read failed.
    away: bool,
}

/// Follows the store for as long as the process runs.
pub async fn read(host: Arc<Host>) {
    let client = StoreClient::new(host.settings.store, PATIENCE);
    let mut reader =
        Reader { host, client, directory: Directory::default(), revision: 0, away: false };
    loop {
        let result = reader.step().await;
        let wait = reader.note(result, now());
        tokio::time::sleep(wait).await;
    }
}

impl Reader {
    async fn step(&mut self) -> Result<(), StoreError> {
        if self.revision == 0 {
            return self.list().await;
        }
        if self.host.config().is_none() {
            let update = self.client.configuration().await?;
            self.adopt(update, now());
        }
        match self.client.changes(self.revision).await {
            Ok(update) => {
                let present = now();
                self.directory.note_store_answer(present);
                self.revision = self.revision.max(update.revision);
                self.adopt(update, present);
                Ok(())
            }
            Err(StoreError::HistoryGone) => {
                Event::new("store_history_gone").with("revision", self.revision).info();
                self.revision = 0;
                Err(StoreError::HistoryGone)
            }
            Err(e) => Err(e),
        }
    }

    /// Reads everything anew. What changes meanwhile is read again as a change, since the changes
    /// are followed from the revision of the first answer on.
    async fn list(&mut self) -> Result<(), StoreError> {
        let config = self.client.configuration().await?;
        let first = config.revision;
        self.adopt(config, now());
        let listing = self.client.searchers().await?;
        let present = now();
        self.directory.note_store_answer(present);
        let revision = if first == 0 { listing.revision } else { first };
        note_unreadable(&listing);
        let entries = listing.searchers.into_iter().filter_map(|change| match change {
            Change::Written(entry) => Some(entry),
            Change::Removed(_) => None,
        });
        let changed = self.directory.replace(entries.collect(), present);
        self.publish(changed);
        self.revision = revision;
        self.host.listed.store(true, Ordering::Relaxed);
        Ok(())
    }

    fn adopt(&mut self, update: Update, now: Instant) {
        note_unreadable(&update);
        if let Some(config) = update.configuration {
            let version = config.version;
            if self.host.adopt(config) {
                Event::new("config_adopted").with("version", version).info();
            }
        }
        let mut changed = false;
        for change in update.searchers {
            changed |= self.directory.apply(change, now);
        }
        changed |= self.directory.expire(now);
        self.publish(changed);
    }

    fn publish(&self, changed: bool) {
        if changed {
            self.host.fleet.update(&self.directory);
        }
    }

    /// Notes how a read went. Returns the time until the next one.
    fn note(&mut self, result: Result<(), StoreError>, now: Instant) -> Duration {
        match result {
            Ok(()) => {
                if std::mem::take(&mut self.away) {
                    Event::new("store_back").with("revision", self.revision).info();
                }
                match self.host.config() {
                    Some(_) => INTERVAL,
                    None => RETRY,
                }
            }
            Err(StoreError::HistoryGone) => Duration::ZERO,
            Err(e) => {
                self.directory.note_store_failure(now);
                if !std::mem::replace(&mut self.away, true) {
                    Event::new("store_away").with("why", e).warn();
                }
                RETRY
            }
        }
    }
}

fn note_unreadable(update: &Update) {
    for item in &update.unreadable {
        Event::new("store_item_unreadable").with("item", &item.item).with("why", &item.why).warn();
    }
}
