//! The listener and connections of one searcher, which can be killed and revived.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::error::StandinError;
use crate::searcher::Fault;
use crate::searcher::SearcherState;
use crate::searcher::handler::handle;

/// One searcher that can be killed and revived.
#[derive(Debug)]
pub struct SearcherProcess {
    /// Its state, which outlives a kill.
    pub state: Arc<SearcherState>,
    address: SocketAddr,
    running: Mutex<Option<AbortHandle>>,
}

impl SearcherProcess {
    /// Starts a searcher.
    pub async fn start(state: SearcherState, address: SocketAddr) -> Result<Self, StandinError> {
        let process = Self { state: Arc::new(state), address, running: Mutex::new(None) };
        process.listen().await?;
        Ok(process)
    }

    /// Switches the fault; a kill ends every connection, its end listens again.
    pub async fn set_fault(&self, fault: Fault) -> Result<(), StandinError> {
        let before = self.state.fault();
        self.state.set_fault(fault);
        if fault == Fault::Killed {
            self.kill();
        } else if before == Fault::Killed {
            self.listen().await?;
        }
        Ok(())
    }

    fn kill(&self) {
        let running = self.running.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(handle) = running {
            handle.abort();
        }
    }

    async fn listen(&self) -> Result<(), StandinError> {
        let listener = TcpListener::bind(self.address)
            .await
            .map_err(|e| StandinError::Listen(self.address, e))?;
        let task = tokio::spawn(accept(listener, self.state.clone()));
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = Some(task.abort_handle());
        Ok(())
    }
}

/// Accepts connections; all of them end with this task.
async fn accept(listener: TcpListener, state: Arc<SearcherState>) {
    let permits = Arc::new(Semaphore::new(state.connections));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let state = state.clone();
        connections.spawn(async move {
            sleep(state.connect_cost).await;
            serve(stream, state).await;
            drop(permit);
        });
    }
}

async fn serve(stream: TcpStream, state: Arc<SearcherState>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |req: Request<Incoming>| {
        let state = state.clone();
        async move {
            let (head, body) = req.into_parts();
            let body: Bytes = body.collect().await.map_err(std::io::Error::other)?.to_bytes();
            handle(state, Request::from_parts(head, body)).await
        }
    });
    // A broken connection concerns its client only.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
