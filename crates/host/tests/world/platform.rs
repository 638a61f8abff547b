//! The platform of the world.

use std::collections::BTreeMap;
use std::time::Duration;

use galenaloft_control_plane::ListRead;
use galenaloft_control_plane::PlatformError;
use galenaloft_control_plane::Watched;
use galenaloft_control_plane::wire::ConfigValue;
use galenaloft_control_plane::wire::HostList;
use galenaloft_control_plane::wire::HostState;
use galenaloft_control_plane::wire::ListedHost;
use galenaloft_control_plane::wire::Role;
use galenaloft_host::network::PlatformReader;
use galenaloft_policy::ids::Revision;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::world::HOSTS;
use crate::world::Place;
use crate::world::ProcessId;
use crate::world::World;
use crate::world::host_address;
use crate::world::host_name;

/// How often a waiting watch looks for a new value.
const LOOK: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlatformFault {
    #[default]
    None,
    Down,
    Stale,
}

#[derive(Debug, Default)]
pub struct Platform {
    pub fault: PlatformFault,
    pub values: BTreeMap<String, ConfigValue>,
    pub stale: BTreeMap<String, ConfigValue>,
    /// Reads, a waiting watch counted as one.
    pub reads: u64,
}

impl Platform {
    pub fn publish(&mut self, key: &str, value: String) -> u32 {
        let version = self.values.get(key).map_or(1, |old| old.version + 1);
        self.put(key, version, value);
        version
    }

    pub fn put(&mut self, key: &str, version: u32, value: String) {
        let value = ConfigValue { key: key.to_owned(), version, value };
        self.values.insert(key.to_owned(), value);
    }

    pub fn set_fault(&mut self, fault: PlatformFault) {
        if fault == PlatformFault::Stale {
            self.stale = self.values.clone();
        }
        self.fault = fault;
    }
}

#[derive(Debug)]
pub struct FakePlatform {
    pub world: World,
    pub process: ProcessId,
    pub host: usize,
}

impl FakePlatform {
    async fn reach(&self) -> Result<(), PlatformError> {
        sleep(crate::world::DELAY).await;
        let inner = self.world.lock();
        let connected = inner.is_connected(Place::Host(self.host), Place::Platform);
        let down = inner.platform.fault == PlatformFault::Down;
        if connected && !down && !inner.dead.contains(&self.process) {
            return Ok(());
        }
        Err(PlatformError::TimedOut)
    }
}

impl PlatformReader for FakePlatform {
    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Watched, PlatformError> {
        let end = Instant::now() + wait;
        self.world.lock().platform.reads += 1;
        loop {
            self.reach().await?;
            let value = {
                let inner = self.world.lock();
                let values = match inner.platform.fault {
                    PlatformFault::Stale => &inner.platform.stale,
                    PlatformFault::None | PlatformFault::Down => &inner.platform.values,
                };
                values.get(key).cloned()
            };
            let version = value.as_ref().map_or(0, |value| value.version);
            let tag = value.as_ref().map_or(String::new(), |v| format!("{version}.{}", v.value));
            match value {
                Some(value) if version > after => return Ok(Watched::Value(value)),
                _ if Instant::now() >= end => return Ok(Watched::Unchanged { version, tag }),
                _ => sleep(LOOK).await,
            }
        }
    }

    async fn hosts(&self, _: &str) -> Result<ListRead, PlatformError> {
        self.reach().await?;
        let hosts = (0..HOSTS).map(|host| ListedHost {
            id: host_name(host),
            role: Role::EntryHost.into(),
            zone: format!("z{}", host % 2),
            address: host_address(host).to_string(),
            state: HostState::Live.into(),
        });
        let hosts = hosts.collect();
        Ok(ListRead::List(HostList { hosts }, String::new()))
    }
}
