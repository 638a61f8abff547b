//! The RPC service that entry hosts offer each other.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use galenaloft_peer::Peer;
use galenaloft_peer::PeerRequest;
use galenaloft_peer::PeerResponse;
use galenaloft_peer::Probe;
use galenaloft_peer::PublishedKey;
use galenaloft_peer::PublishedValue;
use galenaloft_peer::Submission;
use galenaloft_peer::SubmissionReply;
use galenaloft_peer::tarpc::ClientMessage;
use galenaloft_peer::tarpc::Response;
use galenaloft_peer::tarpc::Transport;
use galenaloft_peer::tarpc::context::Context;
use galenaloft_peer::tarpc::serde_transport;
use galenaloft_peer::tarpc::server::BaseChannel;
use galenaloft_peer::tarpc::server::Channel;
use galenaloft_peer::tarpc::tokio_serde::formats::Bincode;
use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptReply;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::ids::HostId;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::revision::Stamp;
use galenaloft_policy::ticket::Handover;
use galenaloft_policy::ticket::StoredOutcome;
use galenaloft_policy::ticket::Ticket;
use galenaloft_runtime::clock::now;
use tokio::net::TcpListener;

use crate::gossip::answer_probe;
use crate::gossip::probe_directly;
use crate::network::Network;
use crate::node::Node;

/// Pause after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Greatest number of calls in progress from one peer. Further calls fail.
const MAX_CALLS_PER_PEER: usize = 10_000;

/// Accepts connections from peers until the task is aborted.
pub async fn serve_peers<N: Network>(listener: TcpListener, node: Arc<Node<N>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let transport = serde_transport::Transport::from((stream, Bincode::default()));
        tokio::spawn(serve_peer(transport, node.clone()));
    }
}

/// Serves the calls of one peer until it disconnects.
pub async fn serve_peer<N, T>(transport: T, node: Arc<Node<N>>)
where
    N: Network,
    T: Transport<Response<PeerResponse>, ClientMessage<PeerRequest>> + Send + 'static,
{
    let calls = BaseChannel::with_defaults(transport)
        .max_concurrent_requests(MAX_CALLS_PER_PEER)
        .execute(PeerService(node).serve());
    calls
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
}

struct PeerService<N: Network>(Arc<Node<N>>);

impl<N: Network> Clone for PeerService<N> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<N: Network> Peer for PeerService<N> {
    async fn execute(self, _: Context, req: AttemptRequest) -> AttemptReply {
        let node = &self.0;
        let layout = node.values.layout();
        let spec = layout.as_ref().and_then(|layout| layout.searchers.get(&req.searcher));
        match spec {
            Some(spec) => node.run_as_owner(spec, req).await,
            None => AttemptReply {
                result: Err(AttemptFailure::not_run(FailureReason::NoReplica)),
                admitted: 1.0,
            },
        }
    }

    async fn submit(self, _: Context, submission: Submission) -> SubmissionReply {
        let deadline = now() + submission.time_left;
        self.0.submit_here(submission, deadline).await
    }

    async fn store_outcome(self, _: Context, ticket: Ticket, outcome: StoredOutcome) {
        self.0.copies.store(&ticket, outcome);
    }

    async fn find_outcome(self, _: Context, ticket: Ticket) -> Option<StoredOutcome> {
        self.0.copies.get(&ticket)
    }

    async fn copies_for(
        self,
        _: Context,
        host: HostId,
        after: String,
    ) -> Vec<(Ticket, StoredOutcome)> {
        self.0.copies_for(&host, &after)
    }

    async fn probe(self, _: Context, probe: Probe) -> Probe {
        answer_probe(&self.0, probe)
    }

    async fn probe_through(self, _: Context, target: HostFact) -> bool {
        probe_directly(&self.0, target.address, false).await
    }

    async fn published(self, _: Context, key: PublishedKey, than: Stamp) -> Option<PublishedValue> {
        self.0.values.newer_than(key, than)
    }

    async fn adopt(self, _: Context, handover: Handover) -> bool {
        self.0.adopt(handover)
    }
}
