//! Routes each attempt to the owner of its searcher, the host that schedules the searcher's slots.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use galenaloft_policy::attempt::AttemptFailure;
use galenaloft_policy::attempt::AttemptReply;
use galenaloft_policy::attempt::AttemptRequest;
use galenaloft_policy::attempt::FailureReason;
use galenaloft_policy::attempt::ShardResult;
use galenaloft_policy::catalogue::SearcherSpec;
use galenaloft_policy::ids::SearcherId;
use galenaloft_policy::ids::ZoneId;
use galenaloft_policy::membership::HostFact;
use galenaloft_policy::membership::MemberTable;
use galenaloft_policy::routing::owner_of;
use galenaloft_runtime::clock::now;
use galenaloft_runtime::sync::lock;

use crate::network::Network;
use crate::node::Node;
use crate::owner::LATE_REPLY_TIMEOUT;

/// Extra wait for the reply of an owner: the owner may send it only at the deadline of the attempt.
const OWNER_GRACE: Duration = Duration::from_millis(100);

impl<N: Network> Node<N> {
    /// Runs an attempt on its searcher, through the host that owns the searcher.
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
            // Without a usable owner, this host acts as the owner.
            Some(_) | None => self.run_as_owner(spec, req).await,
        };
        lock(&self.cluster_view).record_admitted(&spec.id, rank, reply.admitted, now());
        reply.result
    }

    /// Sends an attempt to the peer that owns its searcher.
    async fn run_at_peer(
        &self,
        owner: &HostFact,
        req: AttemptRequest,
    ) -> Result<AttemptReply, AttemptFailure> {
        // The owner waits longer for the late reply of a submission, to learn whether it ran.
        let late_reply_wait =
            if req.operation.is_idempotent() { Duration::ZERO } else { LATE_REPLY_TIMEOUT };
        let timeout = req.time_left + late_reply_wait + OWNER_GRACE;
        let call = self
            .links
            .call(owner.address, timeout, |peer, cx| async move { peer.execute(cx, req).await });
        match call.await {
            Ok(reply) => Ok(reply),
            Err(e) => {
                lock(&self.cluster_view).record_unreachable_owner(&owner.host, now());
                Err(AttemptFailure { verdict: e.verdict, reason: FailureReason::PeerLost })
            }
        }
    }

    /// Returns the host that schedules a searcher: one in the searcher's zone, or in any zone while
    /// that zone has no usable host. Usable hosts are active and not avoided.
    fn owner_of_searcher(&self, spec: &SearcherSpec) -> Option<Arc<HostFact>> {
        let members = lock(&self.members);
        let view = lock(&self.cluster_view);
        if !view.has_avoided_owners() {
            let version = members.version();
            let mut owners = lock(&self.owners);
            return owners.get_or_choose(version, spec, || choose_owner(&members, spec, |_| true));
        }
        let present = now();
        choose_owner(&members, spec, |fact| !view.is_owner_avoided(&fact.host, present))
    }
}

/// Chooses the owner of a searcher from the active hosts for which `is_allowed` holds.
fn choose_owner(
    members: &MemberTable,
    spec: &SearcherSpec,
    is_allowed: impl Fn(&HostFact) -> bool,
) -> Option<Arc<HostFact>> {
    let usable_hosts = || members.active().filter(|fact| is_allowed(fact));
    let in_zone = usable_hosts().filter(|fact| fact.zone == spec.zone);
    let owner = owner_of(&spec.id, in_zone.map(|fact| &fact.host));
    let owner = owner.or_else(|| owner_of(&spec.id, usable_hosts().map(|fact| &fact.host)))?;
    members.get(owner).map(|fact| Arc::new(fact.clone()))
}

/// Caches the owners of searchers for one version of the member table. Each attempt needs an
/// owner, and the cost of choosing one grows with the number of hosts in a zone.
#[derive(Debug, Default)]
pub struct OwnerCache {
    /// Version of the member table that the owners were chosen from.
    version: u64,
    /// Zone and owner of each searcher.
    owners: BTreeMap<SearcherId, (ZoneId, Option<Arc<HostFact>>)>,
}

impl OwnerCache {
    /// Returns the owner of a searcher, and chooses it if it is not cached.
    fn get_or_choose(
        &mut self,
        version: u64,
        spec: &SearcherSpec,
        choose: impl FnOnce() -> Option<Arc<HostFact>>,
    ) -> Option<Arc<HostFact>> {
        if self.version != version {
            self.version = version;
            self.owners.clear();
        }
        if let Some((zone, owner)) = self.owners.get(&spec.id)
            && *zone == spec.zone
        {
            return owner.clone();
        }
        let owner = choose();
        self.owners.insert(spec.id.clone(), (spec.zone.clone(), owner.clone()));
        owner
    }
}
