//! The sheet and the layout in force on this host.

use std::sync::Arc;
use std::sync::Mutex;

use galenaloft_config::sheet::Sheet;
use galenaloft_control_plane::parse_layout;
use galenaloft_peer::Published;
use galenaloft_peer::PublishedKey;
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

/// Both published values.
#[derive(Debug, Default)]
pub struct Values {
    sheet: Mutex<CurrentValue<Sheet>>,
    layout: Mutex<CurrentValue<Layout>>,
}

impl Values {
    /// Returns the sheet in force.
    pub fn sheet(&self) -> Option<Arc<Sheet>> {
        lock(&self.sheet).value()
    }

    /// Returns the layout in force.
    pub fn layout(&self) -> Option<Arc<Layout>> {
        lock(&self.layout).value()
    }

    /// Returns the sheet in force together with its stamp.
    pub fn stamped_sheet(&self) -> Option<(Stamp, Arc<Sheet>)> {
        let sheet = lock(&self.sheet);
        sheet.value().map(|value| (sheet.stamp(), value))
    }

    /// Returns the stamps of both values.
    pub fn stamps(&self) -> Stamps {
        Stamps { sheet: lock(&self.sheet).stamp(), layout: lock(&self.layout).stamp() }
    }

    /// Returns the keys of which a peer with these stamps has something worth fetching.
    pub fn wanted(&self, stamps: Stamps) -> Vec<PublishedKey> {
        let mut keys = Vec::new();
        if lock(&self.sheet).wants(stamps.sheet) {
            keys.push(PublishedKey::Sheet);
        }
        if lock(&self.layout).wants(stamps.layout) {
            keys.push(PublishedKey::Layout);
        }
        keys
    }

    /// Returns the value in force if it is greater than `than`.
    pub fn newer(&self, key: PublishedKey, than: Stamp) -> Option<Published> {
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
        (stamp > than).then_some(Published { revision: stamp.revision, text })
    }

    /// Offers a published text. Returns whether it came into force.
    pub fn offer(
        &self,
        key: PublishedKey,
        revision: Revision,
        text: &str,
        alarms: &Alarms,
    ) -> bool {
        let offer = match key {
            PublishedKey::Sheet => {
                let parse = |text: &str| Sheet::parse("sheet", text).map_err(|e| e.to_string());
                lock(&self.sheet).offer(revision, text, parse)
            }
            PublishedKey::Layout => lock(&self.layout).offer(revision, text, parse_layout),
        };
        note_offer(key, Stamp::new(revision, text), &offer, alarms);
        matches!(offer, OfferOutcome::Adopted | OfferOutcome::Conflict { adopted: true })
    }
}

fn note_offer(key: PublishedKey, stamp: Stamp, offer: &OfferOutcome, alarms: &Alarms) {
    let (name, refused) = match key {
        PublishedKey::Sheet => ("sheet", Alarm::SheetRefused),
        PublishedKey::Layout => ("layout", Alarm::LayoutRefused),
    };
    match offer {
        OfferOutcome::Known | OfferOutcome::Older => {}
        OfferOutcome::Adopted => {
            alarms.clear(refused);
            Event::new("value_adopted").with("key", name).with("stamp", stamp).info();
        }
        OfferOutcome::Conflict { adopted } => {
            let reason = format!("{name} version {} has two texts", stamp.revision);
            alarms.raise(Alarm::RevisionConflict, &reason);
            if *adopted {
                Event::new("value_adopted").with("key", name).with("stamp", stamp).info();
            }
        }
        OfferOutcome::Invalid(why) => alarms.raise(refused, why),
    }
}
