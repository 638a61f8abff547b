//! The use of one connection to a searcher for one exchange.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use galenaloft_http::Connection;
use galenaloft_http::HttpError;
use galenaloft_policy::ids::RouteName;
use galenaloft_policy::routing::ConnectionShare;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;

use crate::searchers::Searcher;
use crate::searchers::Service;

/// Longest wait for a connection: a searcher takes some milliseconds, and a lost packet is sent
/// again after about a second, by when another searcher has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// One exchange with a searcher. Dropping it closes the connection, which cancels the request.
#[derive(Debug)]
pub struct Lease {
    /// The searcher.
    pub searcher: Arc<Searcher>,
    service: Arc<Service>,
    /// Route of the request, by which latencies are kept; `None` for upkeep.
    route: Option<RouteName>,
    connection: Option<Connection>,
    /// When the exchange began.
    pub started_at: Instant,
    /// Whether the connection may go back to the pool.
    keeps: bool,
    /// Whether it did.
    kept: bool,
    /// Whether the searcher is waited for.
    waiting: bool,
}

impl Lease {
    /// Begins an exchange, or returns `None` while the searcher has as many as it may.
    pub fn begin(
        service: &Arc<Service>,
        searcher: &Arc<Searcher>,
        route: Option<&RouteName>,
        share: ConnectionShare,
        now: Instant,
    ) -> Option<Self> {
        let connection = searcher.checkout(share.limit(searcher.local), now)?;
        lock(&searcher.health).note_sent(now);
        Some(Self {
            searcher: searcher.clone(),
            service: service.clone(),
            route: route.cloned(),
            connection,
            started_at: now,
            keeps: share.keeps(),
            kept: false,
            waiting: false,
        })
    }

    /// Opens the connection unless there is one.
    pub async fn connect(&mut self) -> Result<(), HttpError> {
        if self.connection.is_none() {
            self.waiting = true;
            let connection = Connection::connect(self.searcher.address(), CONNECT_TIMEOUT).await;
            self.waiting = false;
            self.connection = Some(connection?);
        }
        Ok(())
    }

    /// Sends a request and reads the whole reply.
    pub async fn exchange(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, HttpError> {
        self.connect().await?;
        let Some(connection) = self.connection.as_mut() else {
            return Err(HttpError::NotSent("there is no connection".to_owned()));
        };
        self.waiting = true;
        let reply = connection.send_request(req).await;
        self.waiting = false;
        reply
    }

    /// Ends the exchange with a connection that can carry another request.
    pub fn return_connection(mut self, timeout: Option<Duration>) {
        let open = self.connection.take().filter(Connection::is_open);
        if let Some(connection) = open.filter(|_| self.keeps) {
            self.searcher.check_in(connection, timeout, now());
            self.kept = true;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut health = lock(&self.searcher.health);
        health.note_ended(self.started_at);
        if self.waiting {
            health.note_unanswered(self.route.as_ref(), self.started_at, now());
        }
        drop(health);
        if !self.kept {
            self.searcher.release_place();
        }
        self.service.connection_freed.notify_one();
    }
}
