//! Calls between hosts, and the host's answers to them.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
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

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Calls between edge hosts. A caller that goes away cancels its call.
#[tarpc::service]
pub trait EdgePeer {
    /// Asks the searchers of some shards and merges their parts. `None` if too few answered.
    async fn gather(query: GroupQuery) -> Option<GroupReply>;

    /// Returns what the host knows of the store.
    async fn knowledge() -> Option<StoreView>;
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
        self.host.knowledge()
    }
}

/// Answers peers for as long as the process runs.
pub async fn serve(host: Arc<Host>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                Event::new("peer_accept_failed").with("why", e).warn();
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
