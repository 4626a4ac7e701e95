//! A platform that carries out orders, and a load on its endpoints.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::collections::BTreeMap;

use wisteriapoint_scaling::{
    Decision, Demand, DomainEndpoints, Kind, Order, Outcome, Present, Scaler, Service, Terms,
};

pub(crate) const TICK_MS: u64 = 250;
pub(crate) const SLOTS: u32 = 4;
const DRAIN_MS: u64 = 2_000;

/// Endpoints of one kind in one failure domain.
#[derive(Debug, Default)]
struct Group {
    ready: u32,
    booting_until_ms: Vec<u64>,
    draining: u32,
    draining_until_ms: u64,
    none_until_ms: u64,
}

/// A platform with one service and the holder that orders its endpoints.
#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) terms: Terms,
    pub(crate) scaler: Scaler,
    pub(crate) now_ms: u64,
    pub(crate) orders: Vec<(u64, Order, Outcome)>,
    /// Orders for which the platform gives no answer, and whether it carries them out.
    pub(crate) unanswered: Option<bool>,
    /// Whether the holder does not hear from a node.
    pub(crate) is_partial: bool,
    groups: BTreeMap<(Box<str>, Kind), Group>,
}

pub(crate) fn terms(min: u32, max: u32, prices: &[(&str, f64)]) -> Terms {
    let prices = prices.iter().map(|&(domain, price)| (domain.into(), price));
    Terms {
        min,
        max,
        boot_ms: 4_000,
        spot_price: Some(0.22),
        prices: prices.collect(),
    }
}

pub(crate) fn same_price(min: u32, max: u32) -> Terms {
    terms(min, max, &[("a", 1.0), ("b", 1.0), ("c", 1.0)])
}

impl Platform {
    /// Creates a platform with as many plain endpoints in each failure domain.
    pub(crate) fn new(terms: Terms, plain: u32) -> Self {
        let domains: Vec<_> = terms.prices.keys().cloned().collect();
        let groups = domains.into_iter().flat_map(|domain| {
            Kind::ALL.map(|kind| {
                let ready = match kind {
                    Kind::Plain => plain,
                    Kind::Spot => 0,
                };
                let group = Group {
                    ready,
                    ..Group::default()
                };
                ((domain.clone(), kind), group)
            })
        });
        Self {
            groups: groups.collect(),
            terms,
            scaler: Scaler::new(),
            now_ms: 0,
            orders: Vec::new(),
            unanswered: None,
            is_partial: false,
        }
    }

    pub(crate) fn service(&self) -> Service {
        let mut domains: BTreeMap<Box<str>, DomainEndpoints> = BTreeMap::new();
        for ((domain, kind), group) in &self.groups {
            let present = Present {
                ready: group.ready,
                draining: group.draining,
            };
            let entry = domains.entry(domain.clone()).or_default();
            match kind {
                Kind::Plain => entry.plain = present,
                Kind::Spot => entry.spot = present,
            }
        }
        let is_known = self.ready() > 0;
        Service {
            name: "advice".into(),
            terms: self.terms.clone(),
            slots: is_known.then_some(SLOTS),
            domains,
        }
    }

    pub(crate) fn ready(&self) -> u32 {
        self.groups.values().map(|group| group.ready).sum()
    }

    pub(crate) fn ready_of(&self, kind: Kind) -> u32 {
        let groups = self.groups.iter().filter(|((_, other), _)| *other == kind);
        groups.map(|(_, group)| group.ready).sum()
    }

    pub(crate) fn ready_in(&self, domain: &str, kind: Kind) -> u32 {
        self.groups[&(domain.into(), kind)].ready
    }

    /// Lets the platform have no endpoints of a kind in a failure domain for a time.
    pub(crate) fn refuse(&mut self, domain: &str, kind: Kind, for_ms: u64) {
        let group = self.groups.get_mut(&(domain.into(), kind)).unwrap();
        group.none_until_ms = self.now_ms + for_ms;
    }

    /// Reclaims the spot endpoints of a failure domain, where none are to be had for a time.
    pub(crate) fn reclaim(&mut self, domain: &str, for_ms: u64) {
        self.refuse(domain, Kind::Spot, for_ms);
        let until_ms = self.now_ms + DRAIN_MS;
        let group = self.groups.get_mut(&(domain.into(), Kind::Spot)).unwrap();
        group.draining = std::mem::take(&mut group.ready);
        group.draining_until_ms = until_ms;
        group.booting_until_ms.clear();
    }

    /// Replaces the holder by a new one.
    pub(crate) fn replace_holder(&mut self) {
        self.scaler = Scaler::new();
    }

    /// Lets time pass, with a number of requests by time.
    pub(crate) fn run(&mut self, for_ms: u64, requests: impl Fn(u64) -> u32) -> Vec<Decision> {
        let until_ms = self.now_ms + for_ms;
        let mut decisions = Vec::new();
        while self.now_ms < until_ms {
            self.advance();
            let service = self.service();
            let running = requests(self.now_ms).min(service.ready_slots());
            let waiting = requests(self.now_ms) - running;
            let demand = Demand {
                running,
                waiting,
                is_partial: self.is_partial,
            };
            self.scaler.observe(self.now_ms, &service, demand);
            let decision = self.scaler.decide(self.now_ms, &service);
            if let Some(order) = decision.orders.first() {
                self.check_bounds(order);
                let outcome = self.order(order);
                self.scaler.record(self.now_ms, order, outcome);
                self.orders.push((self.now_ms, order.clone(), outcome));
            }
            decisions.push(decision);
            self.now_ms += TICK_MS;
        }
        decisions
    }

    fn advance(&mut self) {
        for group in self.groups.values_mut() {
            let before = group.booting_until_ms.len();
            group
                .booting_until_ms
                .retain(|&until_ms| self.now_ms < until_ms);
            group.ready += (before - group.booting_until_ms.len()) as u32;
            if self.now_ms >= group.draining_until_ms {
                group.draining = 0;
            }
        }
    }

    /// Returns the endpoints that are ready or booting.
    pub(crate) fn wanted(&self, domain: &str, kind: Kind) -> u32 {
        let group = &self.groups[&(domain.into(), kind)];
        group.ready + group.booting_until_ms.len() as u32
    }

    fn check_bounds(&self, order: &Order) {
        let domain = &order.failure_domain;
        let others = Kind::ALL.into_iter().filter(|kind| *kind != order.kind);
        let sum = order.count + others.map(|kind| self.wanted(domain, kind)).sum::<u32>();
        let Terms { min, max, .. } = self.terms;
        assert!(sum <= max, "{order:?} makes {sum} of {max}");
        assert!(
            sum >= min || order.count > order.before,
            "{order:?} leaves {sum} of at least {min}"
        );
    }

    fn order(&mut self, order: &Order) -> Outcome {
        let group = self
            .groups
            .get_mut(&(order.failure_domain.clone(), order.kind))
            .unwrap();
        if self.now_ms < group.none_until_ms && order.count > order.before {
            return Outcome::Refused;
        }
        if self.unanswered == Some(false) {
            return Outcome::Unanswered;
        }
        let ready_at_ms = self.now_ms + self.terms.boot_ms;
        while group.ready + (group.booting_until_ms.len() as u32) < order.count {
            group.booting_until_ms.push(ready_at_ms);
        }
        while group.ready + (group.booting_until_ms.len() as u32) > order.count {
            if group.booting_until_ms.pop().is_none() {
                group.ready -= 1;
            }
        }
        match self.unanswered {
            Some(_) => Outcome::Unanswered,
            None => Outcome::Accepted,
        }
    }
}
