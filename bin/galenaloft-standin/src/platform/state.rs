//! Published values and the faults of the platform.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use galenaloft_control_plane::wire::ConfigValue;
use serde::Deserialize;
use tokio::sync::Notify;

/// A fault of the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformFault {
    /// No fault.
    #[default]
    None,
    /// It answers every read with an error.
    Down,
    /// It goes on serving what it had when the fault began.
    Stale,
}

#[derive(Debug, Default)]
struct Values {
    present: BTreeMap<String, ConfigValue>,
    stale: BTreeMap<String, ConfigValue>,
    fault: PlatformFault,
}

/// State of the platform.
#[derive(Debug, Default)]
pub struct PlatformState {
    values: Mutex<Values>,
    leaving: Mutex<BTreeSet<String>>,
    /// Wakes waiting watches.
    pub changed: Notify,
    /// Reads served, a waiting watch counted as one.
    pub reads: AtomicU64,
}

impl PlatformState {
    /// Publishes a value under `version`, or under the next version.
    pub fn publish(&self, key: &str, value: String, version: Option<u32>) -> u32 {
        let mut values = locked(&self.values);
        let next = values.present.get(key).map_or(1, |old| old.version + 1);
        let version = version.unwrap_or(next);
        let published = ConfigValue { key: key.to_owned(), version, value };
        values.present.insert(key.to_owned(), published);
        drop(values);
        self.changed.notify_waiters();
        version
    }

    /// Returns a value as readers see it, or the fault that hides it.
    pub fn read(&self, key: &str) -> Result<Option<ConfigValue>, PlatformFault> {
        let values = locked(&self.values);
        match values.fault {
            PlatformFault::None => Ok(values.present.get(key).cloned()),
            PlatformFault::Stale => Ok(values.stale.get(key).cloned()),
            PlatformFault::Down => Err(PlatformFault::Down),
        }
    }

    /// Switches the fault.
    pub fn set_fault(&self, fault: PlatformFault) {
        let mut values = locked(&self.values);
        if fault == PlatformFault::Stale {
            values.stale = values.present.clone();
        }
        values.fault = fault;
        drop(values);
        self.changed.notify_waiters();
    }

    /// Lists a host as leaving or as live.
    pub fn set_leaving(&self, host: &str, leaving: bool) {
        let mut hosts = locked(&self.leaving);
        match leaving {
            true => hosts.insert(host.to_owned()),
            false => hosts.remove(host),
        };
    }

    /// Returns whether a host is listed as leaving.
    pub fn is_leaving(&self, host: &str) -> bool {
        locked(&self.leaving).contains(host)
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
