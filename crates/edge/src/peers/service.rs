//! The RPC service that edge hosts offer each other.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use galenaloft_policy::ids::ConfigVersion;
use galenaloft_policy::quarantine::SuspectedRequest;
use galenaloft_policy::route::Configuration;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;
use galenaloft_telemetry::log::Event;
use tarpc::context::Context;
use tarpc::serde_transport::Transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpListener;

use crate::host::Host;
use crate::peers::GroupQuery;
use crate::peers::GroupReply;
use crate::peers::StoreView;
use crate::query;

/// Delay after a failed accept, so that the loop does not spin when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Calls between edge hosts. A call is cancelled when its caller drops it or disconnects.
#[tarpc::service]
pub trait EdgePeer {
    /// Asks the searchers of a group of shards and merges their answers. Returns `None` if the
    /// query is malformed or no configuration is known.
    async fn gather(query: GroupQuery) -> Option<GroupReply>;

    /// Returns what the host knows of the store, or `None` before it knows anything.
    async fn knowledge() -> Option<StoreView>;

    /// Returns the host's configuration if its version is greater than `version`.
    async fn newer_configuration(version: ConfigVersion) -> Option<Configuration>;

    /// Returns the requests that the host suspects of crashing searchers.
    async fn suspected_requests() -> Vec<SuspectedRequest>;
}

#[derive(Debug, Clone)]
struct Server {
    host: Arc<Host>,
}

impl EdgePeer for Server {
    async fn gather(self, _: Context, query: GroupQuery) -> Option<GroupReply> {
        query::answer_group(&self.host, query).await
    }

    async fn knowledge(self, _: Context) -> Option<StoreView> {
        self.host.store_view()
    }

    async fn newer_configuration(
        self,
        _: Context,
        version: ConfigVersion,
    ) -> Option<Configuration> {
        let config = self.host.config().filter(|config| config.version > version);
        config.map(|config| (*config).clone())
    }

    async fn suspected_requests(self, _: Context) -> Vec<SuspectedRequest> {
        lock(&self.host.quarantine).known(now())
    }
}

/// Serves calls of other hosts for as long as the process runs.
pub async fn serve(host: Arc<Host>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                Event::new("peer_accept_failed").with("why", e).warn();
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(e) = stream.set_nodelay(true) {
            Event::new("peer_accept_failed").with("why", e).warn();
            continue;
        }
        let transport: Transport<_, _, _, Bincode<_, _>> =
            Transport::from((stream, Bincode::default()));
        let server = Server { host: host.clone() };
        let calls = BaseChannel::with_defaults(transport).execute(server.serve());
        tokio::spawn(calls.for_each(|call| async {
            tokio::spawn(call);
        }));
    }
}
