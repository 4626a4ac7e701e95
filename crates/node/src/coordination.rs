//! A node as the duties see it.

use std::net::SocketAddr;
use std::time::Duration;

use wisteriapoint_batch::Owner;
use wisteriapoint_duties::{
    Coordination, CoordinationRequest, CoordinationResponse, DutySettings, Environment,
    ServiceDemand,
};
use wisteriapoint_store::{Error, Index};

use crate::clock::boot_ms;
use crate::control::watch;
use crate::dialect::Dialect;
use crate::node::Node;
use crate::peers::{PeerRequest, PeerResponse, call_peer_within};
use crate::relay::RelayedStore;

/// Time for the answer of the holder, which answers from memory: some network hops, and a process that
/// waits for CPU time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

impl<D: Dialect> Environment for Node<D> {
    type Store = RelayedStore<D::Store>;
    type Client = D::DutyClient;

    fn coordination(&self) -> &Coordination {
        &self.coordination
    }

    fn owner(&self) -> &Owner {
        &self.owner
    }

    fn holder(&self) -> Option<Owner> {
        self.leader.borrow().clone()
    }

    fn boot_ms(&self) -> u64 {
        boot_ms()
    }

    fn unix_ms(&self) -> u64 {
        self.clock.unix_ms_with_suspension()
    }

    fn has_workspaces(&self) -> bool {
        let directory = self.directory.borrow();
        let configuration = directory.configuration.as_ref();
        configuration.is_some_and(|configuration| configuration.workspaces.is_some())
    }

    fn configuration_version(&self) -> Option<u64> {
        Some(self.configuration()?.version)
    }

    async fn read_configuration(&self) -> Result<(), Error> {
        watch::read_configuration(self).await
    }

    async fn changed(&self) {
        self.directory_changed.notified().await;
    }

    async fn ask(
        &self,
        holder: SocketAddr,
        request: CoordinationRequest,
    ) -> Option<CoordinationResponse> {
        let request = PeerRequest::Coordinate(request);
        match call_peer_within(self, holder, &request, ANSWER_TIMEOUT).await {
            Some(PeerResponse::Coordinated(response)) => Some(response),
            _ => None,
        }
    }

    fn demand(&self) -> Vec<ServiceDemand> {
        self.demand_by_service()
    }

    fn store(&self) -> &Self::Store {
        &self.store
    }

    fn record_store_call<T>(&self, call: &str, result: &Result<T, Error>) {
        Node::record_store_call(self, call, result);
    }

    fn duty_settings(&self) -> Option<&DutySettings> {
        self.settings.duties.as_ref()
    }

    fn duty_client(&self) -> Option<&Self::Client> {
        self.duty_client.as_ref()
    }

    fn may_act(&self, fence: u64) -> bool {
        self.is_leader() && self.lease.is_valid() && self.leadership_fence.get() == Index(fence)
    }

    fn record_duty_call(&self, duty: &str, outcome: &str) {
        let labels = [duty, outcome];
        self.metrics.duty_calls.with_label_values(&labels).inc();
    }

    fn set_state(&self, of: &str, value: i64) {
        self.metrics.set_state(of, value);
    }
}
