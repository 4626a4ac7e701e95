//! Numbers of endpoints by failure domain and kind, and what they have to cover.

use std::collections::BTreeMap;
use std::fmt;

use crate::{Kind, Service, Terms};

/// Part of the peak that plain endpoints cover alone.
const PLAIN_SHARE: f64 = 0.5;
/// Slots for each request of the peak below which more are ordered.
const LEAST_HEADROOM: f64 = 1.1;
/// Slots for each request of the peak up to which more are ordered, and below which none are given up.
const FULL_HEADROOM: f64 = 1.25;
/// The same for the plain share and the spread, which otherwise a change of the peak by one request
/// would violate.
const MARGIN: f64 = 1.1;

/// Numbers of endpoints by failure domain and kind.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    counts: BTreeMap<Box<str>, [u32; 2]>,
}

impl fmt::Display for Plan {
    /// Writes each failure domain with its plain and its spot endpoints, such as `a:3+1 b:2+0`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (domain, [plain, spot])) in self.counts.iter().enumerate() {
            let separator = if index > 0 { " " } else { "" };
            write!(f, "{separator}{domain}:{plain}+{spot}")?;
        }
        Ok(())
    }
}

/// Least numbers of endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requirement {
    /// Plain endpoints.
    pub plain: u32,
    /// Endpoints of both kinds.
    pub total: u32,
    /// Endpoints that are left if the spot endpoints of any failure domain are reclaimed.
    pub surviving: u32,
}

impl Requirement {
    /// Returns what a peak of requests needs; if less is there, more is ordered.
    pub fn least(peak: u32, slots: Option<u32>) -> Self {
        Self::new(peak, slots, LEAST_HEADROOM, 1.0)
    }

    /// Returns what is ordered for a peak of requests, and not given up.
    pub fn full(peak: u32, slots: Option<u32>) -> Self {
        Self::new(peak, slots, FULL_HEADROOM, MARGIN)
    }

    /// One plain endpoint stays without demand, so that the next request doesn't wait for a boot. The
    /// same is required if no endpoint is known whose slots could be counted.
    fn new(peak: u32, slots: Option<u32>, headroom: f64, margin: f64) -> Self {
        let endpoints = |share: f64| match slots {
            Some(slots) => (f64::from(peak) * share / f64::from(slots.max(1))).ceil() as u32,
            None => 1,
        };
        Self {
            plain: endpoints(PLAIN_SHARE * margin).max(1),
            total: endpoints(headroom).max(1),
            surviving: endpoints(margin),
        }
    }
}

impl Plan {
    /// Creates a plan without endpoints in the failure domains of a service: those with a price, or if
    /// none has one, those with endpoints.
    pub fn empty(service: &Service) -> Self {
        let priced = service.terms.prices.keys();
        let present = service.domains.keys();
        let present = present.filter(|_| service.terms.prices.is_empty());
        Self {
            counts: priced
                .chain(present)
                .map(|domain| (domain.clone(), [0, 0]))
                .collect(),
        }
    }

    /// Returns the endpoints of a service that accept requests, in the failure domains where more can be
    /// ordered.
    pub fn ready(service: &Service) -> Self {
        let mut plan = Self::empty(service);
        for (domain, counts) in &mut plan.counts {
            let endpoints = service.domains.get(domain).copied().unwrap_or_default();
            *counts = Kind::ALL.map(|kind| endpoints.of(kind).ready);
        }
        plan
    }

    /// Returns the number of endpoints of a kind in a failure domain.
    pub fn count(&self, failure_domain: &str, kind: Kind) -> u32 {
        let counts = self.counts.get(failure_domain);
        counts.map_or(0, |counts| counts[kind as usize])
    }

    /// Sets the number of endpoints of a kind in a failure domain.
    pub fn set(&mut self, failure_domain: &str, kind: Kind, count: u32) {
        let counts = self.counts.entry(failure_domain.into()).or_default();
        counts[kind as usize] = count;
    }

    /// Returns the failure domains.
    pub fn domains(&self) -> impl Iterator<Item = &Box<str>> {
        self.counts.keys()
    }

    /// Returns the failure domains with both kinds.
    pub fn keys(&self) -> impl Iterator<Item = (&Box<str>, Kind)> {
        self.domains()
            .flat_map(|domain| Kind::ALL.map(|kind| (domain, kind)))
    }

    /// Returns the number of endpoints of both kinds in a failure domain.
    pub fn in_domain(&self, failure_domain: &str) -> u32 {
        let counts = self.counts.get(failure_domain);
        counts.map_or(0, |counts| counts.iter().sum())
    }

    /// Returns the number of endpoints of a kind in all failure domains.
    pub fn of_kind(&self, kind: Kind) -> u32 {
        self.counts
            .values()
            .map(|counts| counts[kind as usize])
            .sum()
    }

    /// Returns the number of all endpoints.
    pub fn total(&self) -> u32 {
        self.counts.values().flatten().sum()
    }

    /// Returns the largest number of spot endpoints in a failure domain.
    pub fn most_spot(&self) -> u32 {
        let spot = self
            .counts
            .values()
            .map(|counts| counts[Kind::Spot as usize]);
        spot.max().unwrap_or(0)
    }

    /// Returns the endpoints that are left if the failure domain with the most spot endpoints loses them.
    pub fn surviving(&self) -> u32 {
        self.total() - self.most_spot()
    }

    /// Returns `true` if the endpoints cover a requirement.
    pub fn satisfies(&self, required: Requirement) -> bool {
        self.of_kind(Kind::Plain) >= required.plain
            && self.total() >= required.total
            && self.surviving() >= required.surviving
    }

    /// Returns the price of all endpoints for a second.
    pub fn price(&self, terms: &Terms) -> f64 {
        self.keys()
            .map(|(domain, kind)| f64::from(self.count(domain, kind)) * terms.price(domain, kind))
            .sum()
    }

    /// Returns for each entry the result of a function of both plans' numbers.
    pub(crate) fn combine(&self, other: &Self, function: impl Fn(u32, u32) -> u32) -> Self {
        let mut combined = self.clone();
        for (domain, kind) in self.keys().chain(other.keys()) {
            let count = function(self.count(domain, kind), other.count(domain, kind));
            combined.set(domain, kind, count);
        }
        combined
    }
}
