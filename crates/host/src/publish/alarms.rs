//! Conditions that an operator should look at.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Mutex;

use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;

/// A condition that an operator should look at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alarm {
    /// The newest sheet is invalid; an older one is in force.
    SheetRefused,
    /// The newest layout is invalid; an older one is in force.
    LayoutRefused,
    /// Two texts were published under one version.
    RevisionConflict,
    /// The platform has an older sheet than the one in force.
    SheetBehind,
    /// The platform has an older layout than the one in force.
    LayoutBehind,
    /// The platform cannot be reached.
    PlatformUnreachable,
}

impl fmt::Display for Alarm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::SheetRefused => "sheet_refused",
            Self::LayoutRefused => "layout_refused",
            Self::RevisionConflict => "revision_conflict",
            Self::SheetBehind => "sheet_behind",
            Self::LayoutBehind => "layout_behind",
            Self::PlatformUnreachable => "platform_unreachable",
        })
    }
}

/// The alarms that are raised now, each with its reason.
#[derive(Debug, Default)]
pub struct Alarms {
    raised: Mutex<BTreeMap<Alarm, String>>,
}

impl Alarms {
    /// Raises an alarm, and logs it unless it was raised for the same reason.
    pub fn raise(&self, alarm: Alarm, reason: &str) {
        let old = lock(&self.raised).insert(alarm, reason.to_owned());
        if old.as_deref() != Some(reason) {
            Event::new("alarm_raised").with("alarm", alarm).with("reason", reason).warn();
        }
    }

    /// Clears an alarm, and logs it if it was raised.
    pub fn clear(&self, alarm: Alarm) {
        if lock(&self.raised).remove(&alarm).is_some() {
            Event::new("alarm_cleared").with("alarm", alarm).info();
        }
    }

    /// Returns a line for each raised alarm.
    pub fn lines(&self) -> Vec<String> {
        let raised = lock(&self.raised);
        raised.iter().map(|(alarm, reason)| format!("{alarm}: {reason}")).collect()
    }
}
