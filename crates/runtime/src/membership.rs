//! The log of what a host believes of the others.

use galenaloft_policy::membership::StateChange;
use galenaloft_telemetry::log::Event;

/// Logs what changed in the beliefs on hosts.
pub fn log_changes(changes: impl IntoIterator<Item = StateChange>) {
    for change in changes {
        Event::new("host_changed")
            .with("host", &change.host)
            .with("old", change.old.map_or("unknown".to_owned(), |old| format!("{old:?}")))
            .with("new", format!("{:?}", change.new))
            .info();
    }
}
