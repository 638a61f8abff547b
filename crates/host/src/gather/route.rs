//! Sending one attempt to the owner of its searcher.

use std::sync::Arc;
use std::time::Duration;

use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptReply;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::attempt::ShardResult;
use galenaloft_policy::catalogue::SearcherSpec;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::routing::owner_of;

use crate::clock::now;
use crate::edges::Edges;
use crate::node::Node;
use crate::owner::LATE_REPLY;
use crate::sync::lock;

/// How much longer than its deadline an attempt's reply is awaited from its owner.
const OWNER_GRACE: Duration = Duration::from_millis(100);

impl<E: Edges> Node<E> {
    /// Runs an attempt through the owner of its searcher.
    pub(crate) async fn run_attempt(
        &self,
        spec: &SearcherSpec,
        req: AttemptRequest,
    ) -> Result<ShardResult, AttemptFailure> {
        let rank = req.rank;
        let reply = match self.owner_of_searcher(spec) {
            Some(owner) if owner.host != self.settings.host => {
                self.run_at_peer(&owner, req).await?
            }
            Some(_) | None => self.owner.execute(spec, req, now()).await,
        };
        lock(&self.beliefs).note_admitted(&spec.id, rank, reply.admitted, now());
        reply.result
    }

    async fn run_at_peer(
        &self,
        owner: &HostFact,
        req: AttemptRequest,
    ) -> Result<AttemptReply, AttemptFailure> {
        let late = if req.operation.is_idempotent() {
            Duration::ZERO
        } else {
            LATE_REPLY
        };
        let limit = req.time_left + late + OWNER_GRACE;
        let call = self
            .links
            .call(owner.address, limit, |peer, cx| async move {
                peer.execute(cx, req).await
            });
        match call.await {
            Ok(reply) => Ok(reply),
            Err(e) => {
                lock(&self.beliefs).note_silent(&owner.host, now());
                Err(AttemptFailure {
                    verdict: e.verdict,
                    reason: FailureReason::PeerLost,
                })
            }
        }
    }

    /// Returns the host that schedules a searcher: one of the searcher's zone, or of any zone
    /// while none there is known to work.
    fn owner_of_searcher(&self, spec: &SearcherSpec) -> Option<Arc<HostFact>> {
        let present = now();
        let members = lock(&self.members);
        let beliefs = lock(&self.beliefs);
        let usable = |fact: &&HostFact| !beliefs.is_avoided(&fact.host, present);
        let in_zone = members
            .working()
            .filter(usable)
            .filter(|fact| fact.zone == spec.zone);
        let owner = owner_of(&spec.id, in_zone.map(|fact| &fact.host));
        let anywhere = || members.working().filter(usable).map(|fact| &fact.host);
        let owner = owner.or_else(|| owner_of(&spec.id, anywhere()))?;
        members.get(owner).map(|fact| Arc::new(fact.clone()))
    }
}
