//! Where endpoints can be ordered, and which are added or given up first.

use std::collections::BTreeSet;

use crate::{Kind, Plan, Requirement, Terms};

/// What may be ordered at a time.
#[derive(Debug)]
pub(crate) struct Market<'a> {
    pub(crate) terms: &'a Terms,
    /// Endpoints that are there; they count against the largest number even if not ordered.
    pub(crate) ready: &'a Plan,
    /// Where none are to be had.
    pub(crate) unavailable: BTreeSet<(Box<str>, Kind)>,
    /// Whether plain endpoints are preferred, since spot endpoints have just been reclaimed.
    pub(crate) avoids_spot: bool,
}

impl Market<'_> {
    fn is_available(&self, domain: &str, kind: Kind) -> bool {
        let is_offered = kind == Kind::Plain || self.terms.offers_spot();
        is_offered && !self.unavailable.contains(&(domain.into(), kind))
    }

    fn has_room(&self, plan: &Plan, domain: &str) -> bool {
        let occupied = Kind::ALL
            .map(|kind| plan.count(domain, kind).max(self.ready.count(domain, kind)))
            .iter()
            .sum::<u32>();
        occupied < self.terms.max
    }

    fn can_add(&self, plan: &Plan, domain: &str, kind: Kind) -> bool {
        // An endpoint that is there already takes no further room.
        let is_there = plan.count(domain, kind) < self.ready.count(domain, kind);
        let has_room =
            is_there && plan.in_domain(domain) < self.terms.max || self.has_room(plan, domain);
        self.is_available(domain, kind) && has_room
    }

    /// Returns the plan with the endpoints that a requirement lacks, as far as there are any.
    pub(crate) fn grow(&self, start: &Plan, required: Requirement) -> Plan {
        let mut plan = self.with_minima(start);
        let least = plan.clone();
        while let Some((domain, kind)) = self.next_addition(&plan, required) {
            let count = plan.count(&domain, kind);
            plan.set(&domain, kind, count + 1);
        }
        self.trim_spot(plan, &least, required)
    }

    fn with_minima(&self, start: &Plan) -> Plan {
        let mut plan = start.clone();
        for domain in start.domains() {
            while plan.in_domain(domain) < self.terms.min {
                let mut kinds = Kind::ALL.into_iter();
                let Some(kind) = kinds.find(|&kind| self.can_add(&plan, domain, kind)) else {
                    break;
                };
                plan.set(domain, kind, plan.count(domain, kind) + 1);
            }
        }
        plan
    }

    /// Returns where the next endpoint is added: plain ones in the cheapest failure domain until they
    /// cover their share, then spot ones where the fewest are.
    fn next_addition(&self, plan: &Plan, required: Requirement) -> Option<(Box<str>, Kind)> {
        if plan.satisfies(required) {
            return None;
        }
        let needs_plain = plan.of_kind(Kind::Plain) < required.plain;
        let needs_total = plan.total() < required.total;
        let plain = self.cheapest(plan, Kind::Plain);
        let spot = self.least_spot(plan);
        let useful_spot = spot
            .clone()
            .filter(|domain| needs_total || self.improves_spread(plan, domain));
        let plain = plain.map(|domain| (domain, Kind::Plain));
        let useful_spot = useful_spot.map(|domain| (domain, Kind::Spot));
        match plain {
            Some(plain) if needs_plain || self.avoids_spot => Some(plain),
            plain => useful_spot.or(plain),
        }
    }

    fn cheapest(&self, plan: &Plan, kind: Kind) -> Option<Box<str>> {
        let domains = plan.domains();
        let open = domains.filter(|domain| self.can_add(plan, domain, kind));
        let price = |domain: &str| self.terms.price(domain, kind);
        open.min_by(|a, b| price(a).total_cmp(&price(b))).cloned()
    }

    fn least_spot(&self, plan: &Plan) -> Option<Box<str>> {
        let domains = plan.domains();
        let open = domains.filter(|domain| self.can_add(plan, domain, Kind::Spot));
        let price = |domain: &str| self.terms.price(domain, Kind::Spot);
        let count = |domain: &str| plan.count(domain, Kind::Spot);
        let order = |a: &str, b: &str| {
            let by_price = price(a).total_cmp(&price(b));
            count(a).cmp(&count(b)).then(by_price)
        };
        open.min_by(|a, b| order(a, b)).cloned()
    }

    /// Returns `true` if a spot endpoint in a failure domain raises what survives the loss of any, now or
    /// with the next one in another failure domain.
    fn improves_spread(&self, plan: &Plan, domain: &str) -> bool {
        let mut others = plan.domains().filter(|other| ***other != *domain);
        plan.count(domain, Kind::Spot) < plan.most_spot()
            || others.any(|other| self.can_add(plan, other, Kind::Spot))
    }

    /// Removes added spot endpoints that turn out not to be needed, as others were added after them.
    fn trim_spot(&self, mut plan: Plan, least: &Plan, required: Requirement) -> Plan {
        if !plan.satisfies(required) {
            return plan;
        }
        let domains: Vec<_> = plan.domains().cloned().collect();
        for domain in domains {
            loop {
                let count = plan.count(&domain, Kind::Spot);
                let mut smaller = plan.clone();
                smaller.set(&domain, Kind::Spot, count.saturating_sub(1));
                if count <= least.count(&domain, Kind::Spot) || !smaller.satisfies(required) {
                    break;
                }
                plan = smaller;
            }
        }
        plan
    }

    /// Returns the failure domain and kind of which up to `limit` endpoints can be given up, the most
    /// expensive ones first, and their number; `None` if the requirement needs all.
    pub(crate) fn surplus(
        &self,
        plan: &Plan,
        required: Requirement,
        limit: u32,
        may_shrink: impl Fn(&str, Kind) -> bool,
    ) -> Option<(Box<str>, Kind, u32)> {
        let mut keys: Vec<_> = plan.keys().collect();
        keys.sort_by(|&(a, a_kind), &(b, b_kind)| {
            let price = self.terms.price(a, a_kind);
            self.terms.price(b, b_kind).total_cmp(&price)
        });
        let mut surplus = keys.into_iter().filter_map(|(domain, kind)| {
            let count = plan.count(domain, kind);
            let mut smaller = plan.clone();
            let can_give = |given: &u32| {
                smaller.set(domain, kind, count - given);
                smaller.satisfies(required) && smaller.in_domain(domain) >= self.terms.min
            };
            let given = (1..=limit.min(count)).take_while(can_give).last()?;
            may_shrink(domain, kind).then(|| (domain.clone(), kind, given))
        });
        surplus.next()
    }

    /// Returns the plan for a requirement that takes no account of present endpoints.
    pub(crate) fn ideal(&self, domains_of: &Plan, required: Requirement) -> Plan {
        let empty = domains_of.combine(domains_of, |_, _| 0);
        let none = Plan::default();
        let market = Market {
            terms: self.terms,
            ready: &none,
            unavailable: self.unavailable.clone(),
            avoids_spot: self.avoids_spot,
        };
        market.grow(&empty, required)
    }

    /// Returns a plan raised to the numbers of another one, as far as there is room.
    pub(crate) fn with_added(&self, plan: &Plan, other: &Plan) -> Plan {
        let mut raised = plan.clone();
        for (domain, kind) in other.keys() {
            let is_less = |raised: &Plan| raised.count(domain, kind) < other.count(domain, kind);
            while is_less(&raised) && self.can_add(&raised, domain, kind) {
                raised.set(domain, kind, raised.count(domain, kind) + 1);
            }
        }
        raised
    }

    /// Returns the plan without all surplus endpoints.
    pub(crate) fn shrink(&self, plan: &Plan, required: Requirement) -> Plan {
        let mut plan = plan.clone();
        while let Some((domain, kind, given)) = self.surplus(&plan, required, u32::MAX, |_, _| true)
        {
            let count = plan.count(&domain, kind);
            plan.set(&domain, kind, count - given);
        }
        plan
    }
}
