//! Exclusive use of one connection to a searcher for one exchange.

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

/// Longest time for opening a connection. A searcher accepts within some milliseconds. A lost
/// packet is sent again only after about a second, and by then another searcher has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// One exchange with a searcher. Dropping it closes the connection, which cancels the request.
#[derive(Debug)]
pub struct Lease {
    /// The searcher that the connection leads to.
    pub searcher: Arc<Searcher>,
    service: Arc<Service>,
    /// Route of the request, for which latencies are recorded; `None` for a probe.
    route: Option<RouteName>,
    /// `None` until the connection is open.
    connection: Option<Connection>,
    /// When the exchange started.
    pub started_at: Instant,
    /// Whether the connection may go back to the pool.
    reusable: bool,
    /// Whether it has gone back to the pool.
    returned: bool,
    /// Whether this exchange is waiting for the searcher to accept the connection or to answer.
    awaiting_searcher: bool,
}

impl Lease {
    /// Begins an exchange of a request, or returns `None` while this host has used up its connections
    /// to the searcher or the searcher takes no requests from it.
    pub fn begin(
        service: &Arc<Service>,
        searcher: &Arc<Searcher>,
        route: Option<&RouteName>,
        share: ConnectionShare,
        now: Instant,
    ) -> Option<Self> {
        let mut gate = lock(&searcher.gate);
        if gate.opens_at(now).is_some() {
            return None;
        }
        let lease = Self::reserve(service, searcher, route, share, now)?;
        gate.record_sent(now);
        Some(lease)
    }

    /// Reserves a connection without sending a request on it, or returns `None` while this host has
    /// used up its connections to the searcher or the searcher's zone is evacuated.
    pub fn reserve(
        service: &Arc<Service>,
        searcher: &Arc<Searcher>,
        route: Option<&RouteName>,
        share: ConnectionShare,
        now: Instant,
    ) -> Option<Self> {
        if searcher.is_evacuated() {
            return None;
        }
        let connection = searcher.check_out(share.limit(searcher.local), now)?;
        lock(&searcher.health).record_sent(now);
        Some(Self {
            searcher: searcher.clone(),
            service: service.clone(),
            route: route.cloned(),
            connection,
            started_at: now,
            reusable: share.keeps_connections(),
            returned: false,
            awaiting_searcher: false,
        })
    }

    /// Opens the connection unless it is open already. Fails if the searcher's zone was evacuated since
    /// the lease began.
    pub async fn connect(&mut self) -> Result<(), HttpError> {
        self.check_not_evacuated()?;
        if self.connection.is_none() {
            self.awaiting_searcher = true;
            let connection = Connection::connect(self.searcher.address(), CONNECT_TIMEOUT).await;
            self.awaiting_searcher = false;
            self.connection = Some(connection?);
        }
        Ok(())
    }

    /// Returns an error if the searcher's zone is evacuated, so that nothing is sent that was prepared
    /// before the evacuation began.
    fn check_not_evacuated(&self) -> Result<(), HttpError> {
        match self.searcher.is_evacuated() {
            true => Err(HttpError::NotSent("the searcher's zone is evacuated".to_owned())),
            false => Ok(()),
        }
    }

    /// Sends a request and reads the whole reply.
    pub async fn exchange(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, HttpError> {
        self.connect().await?;
        self.check_not_evacuated()?;
        let Some(connection) = self.connection.as_mut() else {
            return Err(HttpError::NotSent("the connection is not open".to_owned()));
        };
        self.awaiting_searcher = true;
        let reply = connection.send_request(req).await;
        self.awaiting_searcher = false;
        reply
    }

    /// Ends the exchange and returns the connection to the pool, if it is still open and this host
    /// may keep connections to the searcher. `idle_timeout` is how long the searcher keeps it open,
    /// if known.
    pub fn return_connection(mut self, idle_timeout: Option<Duration>) {
        let open = self.connection.take().filter(Connection::is_open);
        if let Some(connection) = open.filter(|_| self.reusable) {
            self.searcher.check_in(connection, idle_timeout, now());
            self.returned = true;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut health = lock(&self.searcher.health);
        health.record_ended(self.started_at);
        if self.awaiting_searcher {
            health.record_unanswered(self.route.as_ref(), self.started_at, now());
        }
        drop(health);
        if !self.returned {
            self.searcher.record_closed();
        }
        self.service.waiting.wake_next(now());
    }
}
