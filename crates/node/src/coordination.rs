//! A node as the duties see it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use wisteriapoint_batch::Owner;
use wisteriapoint_directory::{EndpointStage, Scaling};
use wisteriapoint_duties::{
    Coordination, CoordinationRequest, CoordinationResponse, DutySettings, Environment,
    MAX_CALL_MS, ScaledServices, ServiceDemand,
};
use wisteriapoint_scaling::{DomainEndpoints, Kind, Service, Terms};
use wisteriapoint_store::{Error, Index};
use wisteriapoint_types::ServiceName;

use crate::clock::boot_ms;
use crate::control::watch;
use crate::dialect::Dialect;
use crate::node::{Directory, Node};
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

    fn configuration_version(&self) -> Option<u64> {
        Some(self.configuration()?.version)
    }

    async fn read_configuration(&self) -> Result<(), Error> {
        // Once the store answers again, the watches read all rows.
        match self.store_health.is_out(self.now_ms()) {
            true => Err(Error::Unavailable("the store does not answer".into())),
            false => watch::check_configuration(self).await,
        }
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

    fn member_count(&self) -> usize {
        self.capacities.borrow().len()
    }

    fn scaled_services(&self) -> Option<ScaledServices> {
        if !self.feed.is_fresh() {
            return None;
        }
        let configuration = self.configuration()?;
        let directory = self.directory.borrow();
        let services = configuration.services.iter().filter_map(|service| {
            let scaling = service.scaling.as_ref()?;
            Some(scaled_service(&directory, &service.name, scaling))
        });
        Some(ScaledServices {
            services: services.collect(),
            age_ms: directory.view.age_ms(boot_ms()),
        })
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
        self.is_leader() && self.lease.holds_leadership_for(Index(fence), MAX_CALL_MS)
    }

    fn record_duty_call(&self, duty: &str, outcome: &str) {
        let labels = [duty, outcome];
        self.metrics.duty_calls.with_label_values(&labels).inc();
    }

    fn set_state(&self, of: &str, value: i64) {
        self.metrics.set_state(of, value);
    }
}

/// Returns a service with its bounds and prices, and its endpoints by failure domain and kind.
fn scaled_service(directory: &Directory, name: &ServiceName, scaling: &Scaling) -> Service {
    let endpoints = directory.registry.iter();
    let endpoints = endpoints.filter(|(_, entry)| entry.record.service == *name);
    let mut domains: BTreeMap<Box<str>, DomainEndpoints> = BTreeMap::new();
    let mut slots = Vec::new();
    for (endpoint, entry) in endpoints {
        let kind = match directory.spot_endpoints.contains(endpoint) {
            true => Kind::Spot,
            false => Kind::Plain,
        };
        let domain = entry.record.failure_domain.as_str();
        let domain = domains.entry(domain.into()).or_default();
        domain.add(kind, entry.record.stage == EndpointStage::Ready);
        slots.push(entry.record.slots);
    }
    let prices = scaling.prices.iter();
    Service {
        name: name.as_str().into(),
        terms: Terms {
            min: scaling.min,
            max: scaling.max,
            boot_ms: scaling.boot_ms,
            spot_price: scaling.spot_price,
            prices: prices
                .map(|(domain, &price)| (domain.as_str().into(), price))
                .collect(),
        },
        slots: Service::usual_slots(slots),
        domains,
    }
}
