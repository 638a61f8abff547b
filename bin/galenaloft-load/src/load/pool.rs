//! Idle connections to the hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;

use galenaloft_caller::CallerClient;
use galenaloft_caller::CallerError;

/// Connections that wait for their next request.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<CallerClient>>>,
}

impl Pool {
    /// Takes an idle connection to a host, or makes one.
    pub async fn take(&self, host: SocketAddr) -> Result<CallerClient, CallerError> {
        loop {
            let idle = self.lock().get_mut(&host).and_then(Vec::pop);
            match idle {
                Some(client) if client.is_open() => return Ok(client),
                Some(_) => {}
                None => return CallerClient::connect(host).await,
            }
        }
    }

    /// Gives a connection back.
    pub fn give(&self, host: SocketAddr, client: CallerClient) {
        if client.is_open() {
            self.lock().entry(host).or_default().push(client);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Vec<CallerClient>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
