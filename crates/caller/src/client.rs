//! The client side of the caller protocol.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use galenaloft_http::Connection;
use galenaloft_http::HttpError;
use hyper::Method;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::paths::FETCH_PATH;
use crate::paths::SEARCH_PATH;
use crate::paths::TICKETS_PATH;
use crate::wire::Answer;
use crate::wire::Failure;
use crate::wire::FetchRequest;
use crate::wire::Receipt;
use crate::wire::SearchRequest;
use crate::wire::SubmitRequest;
use crate::wire::TicketReply;
use crate::wire::TicketRequest;
use crate::wire::Verdict;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

quick_error! {
    /// Error of a call to an entry host.
    #[derive(Debug)]
    pub enum CallerError {
        /// The HTTP exchange failed.
        Http(e: HttpError) {
            from()
            display("{}", e)
        }
        /// The host refused the request or could not finish it.
        Refused(status: u16, failure: Failure) {
            display("status {}: {}", status, failure.error)
        }
        /// The body of the reply cannot be decoded as the expected JSON message.
        Unreadable(status: u16, why: String) {
            display("status {} with an unreadable reply: {}", status, why)
        }
    }
}

impl CallerError {
    /// Returns whether the request ran, as far as the error shows.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Http(e) if !e.may_be_received() => Verdict::NotRun,
            Self::Refused(_, failure) => failure.verdict(),
            Self::Http(_) | Self::Unreadable(..) => Verdict::MayHaveRun,
        }
    }
}

/// One connection from a caller to an entry host.
#[derive(Debug)]
pub struct CallerClient {
    connection: Connection,
}

impl CallerClient {
    /// Connects to an entry host.
    pub async fn connect(host: SocketAddr) -> Result<Self, CallerError> {
        Ok(Self { connection: Connection::connect(host, CONNECT_TIMEOUT).await? })
    }

    /// Returns whether the connection can be used for another request.
    pub fn is_open(&self) -> bool {
        self.connection.is_open()
    }

    /// Searches a collection.
    pub async fn search(&mut self, req: &SearchRequest) -> Result<Answer, CallerError> {
        self.call(SEARCH_PATH, req).await
    }

    /// Fetches one entry.
    pub async fn fetch(&mut self, req: &FetchRequest) -> Result<Answer, CallerError> {
        self.call(FETCH_PATH, req).await
    }

    /// Requests a ticket for a submission.
    pub async fn ticket(&mut self, req: &TicketRequest) -> Result<TicketReply, CallerError> {
        self.call(TICKETS_PATH, req).await
    }

    /// Sends a submission; `path` selects a filing or a reservation.
    pub async fn submit(
        &mut self,
        path: &str,
        req: &SubmitRequest,
    ) -> Result<Receipt, CallerError> {
        self.call(path, req).await
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &mut self,
        path: &str,
        req: &Q,
    ) -> Result<R, CallerError> {
        let body = serde_json::to_vec(req).expect("generated messages always serialize to JSON");
        let reply =
            self.connection.send(Method::POST, path, "application/json", Bytes::from(body)).await?;
        let status = reply.status().as_u16();
        let unreadable = |e: serde_json::Error| CallerError::Unreadable(status, e.to_string());
        if reply.status().is_success() {
            return serde_json::from_slice(reply.body()).map_err(unreadable);
        }
        let failure = serde_json::from_slice(reply.body()).map_err(unreadable)?;
        Err(CallerError::Refused(status, failure))
    }
}
