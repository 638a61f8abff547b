//! What this host knows of evacuated zones, and its effect on the searchers.

use std::time::Instant;

use galenaloft_policy::evacuation::Evacuations;
use galenaloft_policy::evacuation::ZoneChange;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::store_position::StorePosition;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;

use crate::host::Host;

/// Where a change was learned.
#[derive(Debug, Clone, Copy)]
pub enum ZoneChangeSource<'a> {
    /// The store.
    Store,
    /// Another host, with its name if that is known.
    Peer(Option<&'a HostId>),
}

impl Host {
    /// Applies changes that another host knows or that were read from the store. Returns whether
    /// some evacuation began or ended.
    pub fn apply_zone_changes(&self, changes: &[ZoneChange], source: ZoneChangeSource<'_>) -> bool {
        self.update_evacuations(source, |state| {
            changes.iter().filter(|change| state.apply(change)).cloned().collect()
        })
    }

    /// Applies a complete list of the evacuated zones, read from the store at `position` or later.
    /// Returns whether some evacuation began or ended.
    pub fn replace_evacuated_zones(
        &self,
        listed: &[ZoneChange],
        position: StorePosition,
        now: Instant,
    ) -> bool {
        let source = ZoneChangeSource::Store;
        self.update_evacuations(source, |state| state.replace(listed, position, now))
    }

    /// Ends the evacuations that the store lost by coming back from a copy and that were not written
    /// again in time. Returns whether some ended.
    pub fn end_lost_evacuations(&self, now: Instant) -> bool {
        self.update_evacuations(ZoneChangeSource::Store, |state| state.end_lost(now))
    }

    /// Adds everything that another host knows of evacuations. Returns whether some began or ended.
    pub fn merge_evacuations(&self, other: &Evacuations, now: Instant) -> bool {
        self.update_evacuations(ZoneChangeSource::Peer(None), |state| state.merge(other, now))
    }

    /// Returns the state of evacuations for a host that starts.
    pub fn evacuations(&self) -> Evacuations {
        lock(&self.evacuations).clone()
    }

    /// Returns the newest change of each zone, for other hosts. None are known while the setting is
    /// off.
    pub fn zone_changes(&self) -> Vec<ZoneChange> {
        lock(&self.evacuations).changes()
    }

    /// Updates the state and its effect on the searchers, and logs what began or ended.
    fn update_evacuations(
        &self,
        source: ZoneChangeSource<'_>,
        update: impl FnOnce(&mut Evacuations) -> Vec<ZoneChange>,
    ) -> bool {
        if !self.settings.evacuation {
            return false;
        }
        // Held until the effect is complete, so that concurrent updates take effect in order.
        let mut state = lock(&self.evacuations);
        let changes = update(&mut state);
        if changes.is_empty() {
            return false;
        }
        let in_force = state.in_force();
        self.fleet.set_evacuated(&in_force);
        self.metrics.evacuated_zones(in_force.len());
        drop(state);
        changes.iter().for_each(|change| log_change(change, source));
        true
    }
}

fn log_change(change: &ZoneChange, source: ZoneChangeSource<'_>) {
    let name = match change.evacuated {
        true => "zone_evacuated",
        false => "zone_evacuation_ended",
    };
    let event = Event::new(name).with("zone", &change.zone).with("revision", change.position);
    match source {
        ZoneChangeSource::Store => event.with("source", "store"),
        ZoneChangeSource::Peer(None) => event.with("source", "peer"),
        ZoneChangeSource::Peer(Some(host)) => event.with("source", "peer").with("peer", host),
    }
    .warn();
}
