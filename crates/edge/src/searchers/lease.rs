//! The use of one connection to a searcher for one exchange.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use galenaloft_http::Connection;
use galenaloft_http::HttpError;

use crate::clock::now;
use crate::searchers::Searcher;
use crate::searchers::Service;
use crate::sync::lock;

/// Longest wait for a connection: a searcher takes some milliseconds, and a lost packet is sent
/// again after about a second, by when another searcher has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// One exchange with a searcher. Dropping it closes the connection, which cancels the request.
#[derive(Debug)]
pub struct Lease {
    /// The searcher.
    pub searcher: Arc<Searcher>,
    service: Arc<Service>,
    connection: Option<Connection>,
    /// When the exchange began.
    pub began: Instant,
    /// Whether the connection went back to the pool.
    kept: bool,
}

impl Lease {
    /// Begins an exchange, or returns `None` while the searcher has as many as it may.
    pub fn begin(
        service: &Arc<Service>,
        searcher: &Arc<Searcher>,
        limit: usize,
        now: Instant,
    ) -> Option<Self> {
        let connection = searcher.take(limit, now)?;
        lock(&searcher.health).note_sent(now);
        Some(Self {
            searcher: searcher.clone(),
            service: service.clone(),
            connection,
            began: now,
            kept: false,
        })
    }

    /// Returns the open connection, which it opens if need be.
    pub async fn connection(&mut self) -> Result<&mut Connection, HttpError> {
        let connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::connect(self.searcher.address(), CONNECT_TIMEOUT).await?,
        };
        Ok(self.connection.insert(connection))
    }

    /// Ends the exchange with a connection that can carry another request.
    pub fn keep(mut self, timeout: Option<Duration>) {
        if let Some(connection) = self.connection.take().filter(Connection::is_open) {
            self.searcher.keep(connection, timeout, now());
            self.kept = true;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        lock(&self.searcher.health).note_ended(self.began);
        if !self.kept {
            self.searcher.release();
        }
        self.service.freed.notify_one();
    }
}
