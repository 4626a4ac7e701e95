//! The inputs and the results of a decision.

use std::collections::BTreeMap;

/// Price of an endpoint in a failure domain for which none is stated.
const DEFAULT_PRICE: f64 = 1.0;

/// Whether the platform may reclaim an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Stays until it is ordered away.
    Plain,
    /// May be reclaimed at any time, together with all others of its failure domain.
    Spot,
}

/// Bounds and prices of the orders of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Terms {
    /// Least number of endpoints of both kinds in each failure domain.
    pub min: u32,
    /// Largest number of endpoints of both kinds in each failure domain.
    pub max: u32,
    /// Time from an order until the endpoint serves, in milliseconds.
    pub boot_ms: u64,
    /// Price of a spot endpoint as a part of the plain price; `None` if there are none.
    pub spot_price: Option<f64>,
    /// Price of a plain endpoint for a second, by failure domain.
    pub prices: BTreeMap<Box<str>, f64>,
}

/// Endpoints of one kind in one failure domain that have rows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Present {
    /// Endpoints that accept requests.
    pub ready: u32,
    /// Endpoints that complete their requests and leave.
    pub draining: u32,
}

/// Endpoints of a service in one failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DomainEndpoints {
    /// Plain endpoints.
    pub plain: Present,
    /// Spot endpoints.
    pub spot: Present,
}

/// A service whose number of endpoints is decided.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Box<str>,
    /// Bounds and prices.
    pub terms: Terms,
    /// Requests that an endpoint runs at the same time, as most do; `None` if no endpoint is known.
    pub slots: Option<u32>,
    /// Present endpoints by failure domain.
    pub domains: BTreeMap<Box<str>, DomainEndpoints>,
}

/// Requests of a service at all nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Requests at endpoints, which run there or wait in their queues.
    pub running: u32,
    /// Requests that wait at the nodes.
    pub waiting: u32,
    /// Whether the requests of a node are not known; no endpoint is given up then.
    pub is_partial: bool,
}

/// An order of a total number of endpoints of one kind in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Failure domain of the endpoints.
    pub failure_domain: Box<str>,
    /// Kind of the endpoints.
    pub kind: Kind,
    /// Wanted number, including those that are there.
    pub count: u32,
    /// Number that was ordered or there before.
    pub before: u32,
}

impl Kind {
    /// Both kinds.
    pub const ALL: [Self; 2] = [Self::Plain, Self::Spot];

    /// Returns the name of the kind in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Plain => "plain",
            Self::Spot => "spot",
        }
    }
}

impl Terms {
    /// Returns the price of an endpoint for a second; spot endpoints that aren't offered cost as
    /// much as plain ones.
    pub fn price(&self, failure_domain: &str, kind: Kind) -> f64 {
        let plain = self.prices.get(failure_domain);
        let plain = plain.copied().unwrap_or(DEFAULT_PRICE);
        match kind {
            Kind::Plain => plain,
            Kind::Spot => plain * self.spot_price.unwrap_or(1.0),
        }
    }

    /// Returns `true` if spot endpoints are offered and cost less than plain ones.
    pub fn offers_spot(&self) -> bool {
        self.spot_price.is_some_and(|price| price < 1.0)
    }
}

impl DomainEndpoints {
    /// Returns the endpoints of a kind.
    pub fn of(&self, kind: Kind) -> Present {
        match kind {
            Kind::Plain => self.plain,
            Kind::Spot => self.spot,
        }
    }

    /// Counts an endpoint that has a row.
    pub fn add(&mut self, kind: Kind, is_ready: bool) {
        let present = match kind {
            Kind::Plain => &mut self.plain,
            Kind::Spot => &mut self.spot,
        };
        match is_ready {
            true => present.ready += 1,
            false => present.draining += 1,
        }
    }
}

impl Service {
    /// Returns the median of the slots that endpoints state: one that states very many must not make all
    /// others look superfluous.
    pub fn usual_slots(mut stated: Vec<u32>) -> Option<u32> {
        stated.sort_unstable();
        stated.get(stated.len().saturating_sub(1) / 2).copied()
    }

    /// Returns the requests that the endpoints that accept requests run at the same time.
    pub fn ready_slots(&self) -> u32 {
        let domains = self.domains.values();
        let ready: u32 = domains
            .map(|domain| domain.plain.ready + domain.spot.ready)
            .sum();
        ready.saturating_mul(self.slots.unwrap_or(0))
    }
}

impl Demand {
    /// Returns the requests that run or wait.
    pub fn requests(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
