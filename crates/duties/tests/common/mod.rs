//! A node that holds the duties, and a platform that carries out its orders.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use wisteriapoint_batch::Owner;
use wisteriapoint_duties::{
    Coordination, CoordinationRequest, CoordinationResponse, Duty, DutyCall, DutyClient,
    DutyOutcome, DutySettings, Environment, ScaledServices, ServiceDemand,
};
use wisteriapoint_scaling::{DomainEndpoints, Kind, Service, Terms};
use wisteriapoint_store::{
    Change, CommitOutcome, Error, Freshness, Index, LeaseId, Row, Transaction, TransactionalStore,
};

pub(crate) const SERVICE: &str = "advice";
pub(crate) const SLOTS: u32 = 4;
pub(crate) const BOOT_MS: u64 = 4_000;
/// Time for which the platform does not answer a call before the client gives up.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// A call that reached the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Order {
    pub(crate) at_ms: u64,
    pub(crate) fence: u64,
    pub(crate) failure_domain: Box<str>,
    pub(crate) count: u32,
    pub(crate) outcome: DutyOutcome,
}

/// The platform, which all holders share; all of its endpoints are plain.
#[derive(Debug)]
pub(crate) struct Platform {
    began: Instant,
    /// Numbers by failure domain: before the last order, after it, and the time from which it counts.
    groups: RefCell<BTreeMap<Box<str>, (u32, u32, u64)>>,
    pub(crate) orders: RefCell<Vec<Order>>,
    /// How the platform treats orders in a failure domain; others are accepted.
    pub(crate) outcomes: RefCell<BTreeMap<Box<str>, DutyOutcome>>,
    pub(crate) requests: Cell<u32>,
}

impl Platform {
    pub(crate) fn new(endpoints: u32) -> Rc<Self> {
        let domains = ["a", "b", "c"].map(|domain| (domain.into(), (endpoints, endpoints, 0)));
        Rc::new(Self {
            began: Instant::now(),
            groups: RefCell::new(domains.into()),
            orders: RefCell::default(),
            outcomes: RefCell::default(),
            requests: Cell::new(0),
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub(crate) fn set_outcome(&self, outcome: DutyOutcome) {
        for domain in ["a", "b", "c"] {
            self.outcomes.borrow_mut().insert(domain.into(), outcome);
        }
    }

    pub(crate) fn ready(&self) -> BTreeMap<Box<str>, u32> {
        let groups = self.groups.borrow();
        let ready = groups.iter().map(|(domain, &(before, after, from_ms))| {
            let count = if self.now_ms() < from_ms {
                before
            } else {
                after
            };
            (domain.clone(), count)
        });
        ready.collect()
    }

    pub(crate) fn ready_slots(&self) -> u32 {
        self.ready().values().sum::<u32>() * SLOTS
    }
}

#[derive(Debug)]
pub(crate) struct Client(Rc<Platform>);

impl DutyClient for Client {
    async fn call(
        &self,
        _: &str,
        fence: u64,
        call: DutyCall<'_>,
        may_send: impl Fn() -> bool,
    ) -> DutyOutcome {
        if !may_send() {
            return DutyOutcome::Failed;
        }
        let DutyCall::Scale {
            service,
            failure_domain,
            count,
            is_spot,
        } = call
        else {
            panic!("a report of use");
        };
        assert_eq!((service, is_spot), (SERVICE, false));
        let outcome = self.0.outcomes.borrow().get(failure_domain).copied();
        let outcome = outcome.unwrap_or(DutyOutcome::Accepted);
        self.0.orders.borrow_mut().push(Order {
            at_ms: self.0.now_ms(),
            fence,
            failure_domain: failure_domain.into(),
            count,
            outcome,
        });
        match outcome {
            DutyOutcome::Accepted => {
                let before = self.0.ready()[failure_domain];
                let from_ms = self.0.now_ms() + BOOT_MS;
                let mut groups = self.0.groups.borrow_mut();
                groups.insert(failure_domain.into(), (before, count, from_ms));
            }
            DutyOutcome::Unanswered => sleep(CALL_TIMEOUT).await,
            DutyOutcome::Refused | DutyOutcome::Failed => {}
        }
        outcome
    }
}

/// A node that holds the duties as long as it may act.
pub(crate) struct Node {
    platform: Rc<Platform>,
    client: Client,
    coordination: Coordination,
    owner: Owner,
    settings: DutySettings,
    pub(crate) may_act: Cell<bool>,
    pub(crate) knows_endpoints: Cell<bool>,
    pub(crate) view_age_ms: Cell<u64>,
    pub(crate) members: Cell<usize>,
    /// Holder of the duties, if it is another node.
    pub(crate) other_holder: RefCell<Option<Owner>>,
    /// Time that a read of the configuration takes, in milliseconds.
    pub(crate) read_ms: Cell<u64>,
    /// Number of reads of the configuration.
    pub(crate) reads: Cell<u32>,
    /// Answer of the other holder; without one, it does not answer.
    pub(crate) answer: Cell<Option<CoordinationResponse>>,
    pub(crate) gauges: RefCell<BTreeMap<Box<str>, i64>>,
}

impl Node {
    pub(crate) fn new(platform: &Rc<Platform>, vm: &str, duties: &[Duty]) -> Rc<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        let settings = DutySettings {
            address,
            duties: duties.to_vec(),
            calls_per_s: 50.0,
            report_window_s: 0.0,
            report_due_s: 0.0,
        };
        Rc::new(Self {
            platform: platform.clone(),
            client: Client(platform.clone()),
            coordination: Coordination::new(Some(&settings)),
            owner: Owner {
                vm: vm.into(),
                run: 1,
                address,
            },
            settings,
            may_act: Cell::new(true),
            knows_endpoints: Cell::new(true),
            view_age_ms: Cell::new(0),
            members: Cell::new(1),
            other_holder: RefCell::default(),
            read_ms: Cell::new(0),
            reads: Cell::new(0),
            answer: Cell::new(None),
            gauges: RefCell::default(),
        })
    }

    /// Reports the demand of another node to this one, until the caller drops the task.
    pub(crate) async fn report(self: Rc<Self>) {
        loop {
            let slots = self.platform.ready_slots();
            let requests = self.platform.requests.get();
            let running = requests.min(slots);
            let demand = ServiceDemand {
                service: SERVICE.into(),
                running,
                waiting: requests - running,
            };
            let request = CoordinationRequest {
                vm: "vm-9".into(),
                run: 1,
                usage: Vec::new(),
                demand: vec![demand],
            };
            self.coordination.handle(&*self, request);
            sleep(REPORT_INTERVAL).await;
        }
    }
}

impl Environment for Node {
    type Store = NoStore;
    type Client = Client;

    fn coordination(&self) -> &Coordination {
        &self.coordination
    }

    fn owner(&self) -> &Owner {
        &self.owner
    }

    fn holder(&self) -> Option<Owner> {
        let other = self.other_holder.borrow().clone();
        Some(other.unwrap_or_else(|| self.owner.clone()))
    }

    fn boot_ms(&self) -> u64 {
        self.platform.now_ms()
    }

    fn unix_ms(&self) -> u64 {
        self.platform.now_ms()
    }

    fn configuration_version(&self) -> Option<u64> {
        Some(1)
    }

    async fn read_configuration(&self) -> Result<(), Error> {
        let called_ms = self.boot_ms();
        self.reads.set(self.reads.get() + 1);
        sleep(Duration::from_millis(self.read_ms.get())).await;
        self.coordination.knowledge.confirm(called_ms);
        Ok(())
    }

    async fn ask(&self, _: SocketAddr, _: CoordinationRequest) -> Option<CoordinationResponse> {
        match self.answer.get() {
            Some(answer) => Some(answer),
            None => std::future::pending().await,
        }
    }

    fn demand(&self) -> Vec<ServiceDemand> {
        Vec::new()
    }

    fn member_count(&self) -> usize {
        self.members.get()
    }

    fn scaled_services(&self) -> Option<ScaledServices> {
        let mut domains: BTreeMap<Box<str>, DomainEndpoints> = BTreeMap::new();
        for (domain, count) in self.platform.ready() {
            let endpoints = domains.entry(domain).or_default();
            (0..count).for_each(|_| endpoints.add(Kind::Plain, true));
        }
        let service = Service {
            name: SERVICE.into(),
            terms: Terms {
                min: 1,
                max: 20,
                boot_ms: BOOT_MS,
                spot_price: None,
                prices: domains.keys().map(|domain| (domain.clone(), 1.0)).collect(),
            },
            slots: Some(SLOTS),
            domains,
        };
        self.knows_endpoints.get().then(|| ScaledServices {
            services: vec![service],
            age_ms: self.view_age_ms.get(),
        })
    }

    fn store(&self) -> &NoStore {
        &NoStore
    }

    fn record_store_call<T>(&self, _: &str, _: &Result<T, Error>) {}

    fn duty_settings(&self) -> Option<&DutySettings> {
        Some(&self.settings)
    }

    fn duty_client(&self) -> Option<&Client> {
        Some(&self.client)
    }

    fn may_act(&self, _: u64) -> bool {
        self.may_act.get()
    }

    fn record_duty_call(&self, duty: &str, _: &str) {
        assert_eq!(duty, "scaling");
    }

    fn set_state(&self, of: &str, value: i64) {
        self.gauges.borrow_mut().insert(of.into(), value);
    }
}

/// A store that answers nothing, as orders need none.
#[derive(Debug, Clone)]
pub(crate) struct NoStore;

fn no_store<T>() -> Result<T, Error> {
    Err(Error::Refused("no store".into()))
}

impl TransactionalStore for NoStore {
    async fn row(&self, _: &str, _: Freshness) -> Result<(Option<Row>, Index), Error> {
        no_store()
    }

    async fn range(&self, _: &str, _: Freshness) -> Result<(Vec<Row>, Index), Error> {
        no_store()
    }

    async fn watch(&self, _: &str, _: Index, _: Duration) -> Result<(Vec<Change>, Index), Error> {
        no_store()
    }

    async fn commit(&self, _: &Transaction) -> Result<CommitOutcome, Error> {
        no_store()
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, Error> {
        no_store()
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<(), Error> {
        no_store()
    }

    async fn end_lease(&self, _: LeaseId) -> Result<(), Error> {
        no_store()
    }
}
