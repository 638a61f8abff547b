//! Alarms: conditions that need an operator's attention.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Mutex;

use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;

/// A condition that needs an operator's attention.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alarm {
    /// The newest sheet is invalid; an older one stays current.
    SheetRefused,
    /// The newest layout is invalid; an older one stays current.
    LayoutRefused,
    /// Two different texts were published under one version.
    RevisionConflict,
    /// The platform has an older sheet than the current one of this host.
    SheetBehind,
    /// The platform has an older layout than the current one of this host.
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

/// The raised alarms, each with its reason.
#[derive(Debug, Default)]
pub struct Alarms {
    raised: Mutex<BTreeMap<Alarm, String>>,
}

impl Alarms {
    /// Raises an alarm, and logs it unless it is already raised for the same reason.
    pub fn raise(&self, alarm: Alarm, reason: &str) {
        let previous_reason = lock(&self.raised).insert(alarm, reason.to_owned());
        if previous_reason.as_deref() != Some(reason) {
            Event::new("alarm_raised").with("alarm", alarm).with("reason", reason).warn();
        }
    }

    /// Clears an alarm, and logs it if it was raised.
    pub fn clear(&self, alarm: Alarm) {
        if lock(&self.raised).remove(&alarm).is_some() {
            Event::new("alarm_cleared").with("alarm", alarm).info();
        }
    }

    /// Returns one line per raised alarm, with its reason.
    pub fn lines(&self) -> Vec<String> {
        let raised = lock(&self.raised);
        raised.iter().map(|(alarm, reason)| format!("{alarm}: {reason}")).collect()
    }
}
