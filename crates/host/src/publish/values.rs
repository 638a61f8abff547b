//! The current sheet and layout of this host.

use std::sync::Arc;
use std::sync::Mutex;

use galenaloft_config::sheet::Sheet;
use galenaloft_control_plane::parse_layout;
use galenaloft_peer::PublishedKey;
use galenaloft_peer::PublishedValue;
use galenaloft_peer::Stamps;
use galenaloft_policy::catalogue::Layout;
use galenaloft_policy::ids::Revision;
use galenaloft_policy::revision::CurrentValue;
use galenaloft_policy::revision::OfferOutcome;
use galenaloft_policy::revision::Stamp;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;

use crate::publish::Alarm;
use crate::publish::Alarms;

/// The current values of both published keys.
#[derive(Debug, Default)]
pub struct Values {
    sheet: Mutex<CurrentValue<Sheet>>,
    layout: Mutex<CurrentValue<Layout>>,
}

impl Values {
    /// Returns the current sheet.
    pub fn sheet(&self) -> Option<Arc<Sheet>> {
        lock(&self.sheet).value()
    }

    /// Returns the current layout.
    pub fn layout(&self) -> Option<Arc<Layout>> {
        lock(&self.layout).value()
    }

    /// Returns the current sheet together with its stamp.
    pub fn stamped_sheet(&self) -> Option<(Stamp, Arc<Sheet>)> {
        let sheet = lock(&self.sheet);
        sheet.value().map(|value| (sheet.stamp(), value))
    }

    /// Returns the stamps of both values.
    pub fn stamps(&self) -> Stamps {
        Stamps { sheet: lock(&self.sheet).stamp(), layout: lock(&self.layout).stamp() }
    }

    /// Returns the keys whose values should be fetched from a peer with these stamps: the peer's value
    /// is newer and is not known to be invalid.
    pub fn keys_to_fetch(&self, stamps: Stamps) -> Vec<PublishedKey> {
        let mut keys = Vec::new();
        if lock(&self.sheet).wants(stamps.sheet) {
            keys.push(PublishedKey::Sheet);
        }
        if lock(&self.layout).wants(stamps.layout) {
            keys.push(PublishedKey::Layout);
        }
        keys
    }

    /// Returns the current value if its stamp is greater than `stamp_of_peer`.
    pub fn newer_than(&self, key: PublishedKey, stamp_of_peer: Stamp) -> Option<PublishedValue> {
        let (stamp, text) = match key {
            PublishedKey::Sheet => {
                let sheet = lock(&self.sheet);
                (sheet.stamp(), sheet.text())
            }
            PublishedKey::Layout => {
                let layout = lock(&self.layout);
                (layout.stamp(), layout.text())
            }
        };
        (stamp > stamp_of_peer).then_some(PublishedValue { revision: stamp.revision, text })
    }

    /// Offers a published text and updates the alarms. Returns whether it was adopted.
    pub fn offer(
        &self,
        key: PublishedKey,
        revision: Revision,
        text: &str,
        alarms: &Alarms,
    ) -> bool {
        let outcome = match key {
            PublishedKey::Sheet => {
                let parse = |text: &str| Sheet::parse("sheet", text).map_err(|e| e.to_string());
                lock(&self.sheet).offer(revision, text, parse)
            }
            PublishedKey::Layout => lock(&self.layout).offer(revision, text, parse_layout),
        };
        report_offer(key, Stamp::new(revision, text), &outcome, alarms);
        matches!(outcome, OfferOutcome::Adopted | OfferOutcome::Conflict { adopted: true })
    }
}

/// Logs the outcome of an offer, and raises or clears the alarms that depend on it.
fn report_offer(key: PublishedKey, stamp: Stamp, outcome: &OfferOutcome, alarms: &Alarms) {
    let (name, refused_alarm) = match key {
        PublishedKey::Sheet => ("sheet", Alarm::SheetRefused),
        PublishedKey::Layout => ("layout", Alarm::LayoutRefused),
    };
    match outcome {
        OfferOutcome::Known | OfferOutcome::Older => {}
        OfferOutcome::Adopted => {
            alarms.clear(refused_alarm);
            Event::new("value_adopted").with("key", name).with("stamp", stamp).info();
        }
        OfferOutcome::Conflict { adopted } => {
            let reason = format!(
                "two different texts were published as version {} of the {name}",
                stamp.revision
            );
            alarms.raise(Alarm::RevisionConflict, &reason);
            if *adopted {
                Event::new("value_adopted").with("key", name).with("stamp", stamp).info();
            }
        }
        OfferOutcome::Invalid(why) => alarms.raise(refused_alarm, why),
    }
}
