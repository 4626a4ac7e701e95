//! Orders of the endpoints of one service.

use std::collections::BTreeMap;

use crate::history::{DOWN_WINDOW_MS, History, UP_WINDOW_MS};
use crate::market::Market;
use crate::{Demand, Kind, Order, Plan, Requirement, Service};

/// Time after a refusal for which nothing is ordered there, in milliseconds: about half the time for
/// which none are to be had after the spot endpoints of a failure domain were reclaimed. It doubles with
/// each further refusal.
const REFUSAL_PAUSE_MS: u64 = 5_000;
/// Longest time for which nothing is ordered after a refusal, in milliseconds.
const MAX_REFUSAL_PAUSE_MS: u64 = 20_000;
/// Time for which no spot endpoints are to be had in a failure domain where they were reclaimed, in
/// milliseconds.
const RECLAIM_PAUSE_MS: u64 = 9_000;
/// Time beyond a boot after which an order that has no effect is not counted on, in milliseconds: a call
/// without an answer may be carried out seconds later.
const EFFECT_SLACK_MS: u64 = 5_000;
/// Time after which an order without an answer is repeated, in milliseconds.
const REPEAT_MS: u64 = 2_000;
/// Time for which the other orders of a decision follow the first one, in milliseconds: a holder sends a
/// few a second, and decides again before each.
const FOLLOW_UP_MS: u64 = 3_000;
/// Time between two orders of fewer endpoints, in milliseconds: nodes report once in 1.5 s whether work
/// waits since the first.
const DOWN_INTERVAL_MS: u64 = 3_000;
/// Divisor of the number of endpoints that may be given up at a time.
const DOWN_DIVISOR: u32 = 8;
/// Part of the price below which other endpoints are ordered in place of present ones; the exchange
/// itself costs both for a while.
const EXCHANGE_PRICE: f64 = 0.85;

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is being carried out.
    Accepted,
    /// None are to be had there now.
    Refused,
    /// No answer arrived, and it may be carried out later.
    Unanswered,
    /// It was not carried out for another reason.
    Failed,
}

/// Why endpoints are ordered, or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Demand has not been observed for long enough.
    Observing,
    /// Work waits longer than a boot takes.
    WorkWaits,
    /// The endpoints don't cover the recent peak.
    Short,
    /// An order got no answer.
    Unanswered,
    /// There are more endpoints than the demand has needed for a while.
    Surplus,
    /// Other endpoints cost less.
    Price,
    /// The number of endpoints is kept.
    Steady,
}

impl Reason {
    /// Returns the name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Observing => "observing",
            Self::WorkWaits => "work-waits",
            Self::Short => "short",
            Self::Unanswered => "unanswered",
            Self::Surplus => "surplus",
            Self::Price => "price",
            Self::Steady => "steady",
        }
    }
}

/// What to order, and the inputs of the decision.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// Orders, the most urgent one first.
    pub orders: Vec<Order>,
    /// Why they are made, or none is.
    pub reason: Reason,
    /// Peak of the demand in requests on which the decision is based.
    pub peak: u32,
    /// Numbers that are wanted.
    pub wanted: Plan,
    /// Numbers that are ordered.
    pub ordered: Plan,
    /// Numbers of endpoints that accept requests.
    pub ready: Plan,
}

/// State of the orders of one service.
#[derive(Debug, Default)]
pub struct Scaler {
    history: History,
    slots: Option<u32>,
    ordered: BTreeMap<(Box<str>, Kind), Ordered>,
    unavailable_until_ms: BTreeMap<(Box<str>, Kind), u64>,
    refusal_pause_ms: BTreeMap<(Box<str>, Kind), u64>,
    reclaimed_until_ms: BTreeMap<Box<str>, u64>,
    increase: Option<Increase>,
    last_up_ms: Option<u64>,
    last_down_ms: Option<u64>,
}

/// The last order of a kind in a failure domain.
#[derive(Debug, Clone, Copy)]
struct Ordered {
    count: u32,
    at_ms: u64,
    is_answered: bool,
    /// Last time at which as many endpoints were there.
    fulfilled_ms: u64,
}

/// A plan that is being ordered, one order at a time.
#[derive(Debug, Clone)]
struct Increase {
    plan: Plan,
    reason: Reason,
    /// Time of the decision or of its latest order.
    at_ms: u64,
}

impl Scaler {
    /// Creates the state of a service for which nothing has been ordered.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the demand and the present endpoints; called several times a second.
    pub fn observe(&mut self, now_ms: u64, service: &Service, demand: Demand) {
        self.slots = service.slots.or(self.slots);
        self.history.observe(now_ms, demand, service.ready_slots());
        for (domain, endpoints) in &service.domains {
            let key = (domain.clone(), Kind::Spot);
            let is_given_up = self
                .ordered
                .get(&key)
                .is_some_and(|ordered| ordered.count == 0);
            if endpoints.spot.ready == 0 && endpoints.spot.draining > 0 && !is_given_up {
                self.ordered.remove(&key);
                let until_ms = now_ms + RECLAIM_PAUSE_MS;
                self.reclaimed_until_ms.insert(domain.clone(), until_ms);
                self.unavailable_until_ms.insert(key, until_ms);
            }
        }
        let boot_ms = service.terms.boot_ms;
        self.ordered.retain(|(domain, kind), ordered| {
            let ready = service.domains.get(domain);
            if ready.map_or(0, |domain| domain.of(*kind).ready) == ordered.count {
                ordered.fulfilled_ms = now_ms;
            }
            let effective_ms = ordered.fulfilled_ms.max(ordered.at_ms + boot_ms);
            now_ms < effective_ms + EFFECT_SLACK_MS
        });
        self.unavailable_until_ms
            .retain(|_, &mut until_ms| now_ms < until_ms);
        self.reclaimed_until_ms
            .retain(|_, &mut until_ms| now_ms < until_ms);
    }

    /// Returns the numbers that are ordered; where this holder has ordered none, those that are there.
    fn ordered(&self, ready: &Plan) -> Plan {
        let mut plan = ready.clone();
        for ((domain, kind), ordered) in &self.ordered {
            plan.set(domain, *kind, ordered.count);
        }
        plan
    }

    /// Decides what to order, after [`observe`](Self::observe) at the same time.
    pub fn decide(&mut self, now_ms: u64, service: &Service) -> Decision {
        let ready = Plan::ready(service);
        let ordered = self.ordered(&ready);
        let terms = &service.terms;
        let market = Market {
            terms,
            ready: &ready,
            unavailable: self.unavailable_until_ms.keys().cloned().collect(),
            avoids_spot: !self.reclaimed_until_ms.is_empty(),
        };
        let outlasts_boot = self.history.outlasts_boot(now_ms, terms.boot_ms);
        let up_peak = match outlasts_boot {
            true => self.history.peak(now_ms, UP_WINDOW_MS),
            false => self.history.recurring_peak(now_ms),
        };
        let mut decision = Decision {
            orders: Vec::new(),
            reason: Reason::Steady,
            peak: up_peak,
            wanted: ordered.clone(),
            ordered,
            ready: ready.clone(),
        };
        let ordered = &decision.ordered;
        let is_below_min = ordered
            .domains()
            .any(|domain| ordered.in_domain(domain) < terms.min);
        let needed = Requirement::least(up_peak, self.slots);
        if self.history.age_ms(now_ms) < UP_WINDOW_MS {
            decision.reason = Reason::Observing;
        } else if is_below_min || !ordered.satisfies(needed) {
            let full = Requirement::full(up_peak, self.slots);
            let reason = match outlasts_boot {
                true => Reason::WorkWaits,
                false => Reason::Short,
            };
            let plan = market.grow(ordered, full);
            self.increase(now_ms, plan, reason, &mut decision);
        } else if let Some((plan, reason)) = self.increase_in_progress(now_ms, &market, ordered) {
            self.increase(now_ms, plan, reason, &mut decision);
        } else if let Some(order) = self.repeated(now_ms, &ready) {
            decision.orders = vec![order];
            decision.reason = Reason::Unanswered;
        } else if self.may_shrink(now_ms) {
            decision.peak = self.history.peak(now_ms, DOWN_WINDOW_MS);
            self.economize(now_ms, &market, &mut decision);
        }
        decision
    }

    /// Orders a larger plan, and remembers it until all of it is ordered.
    fn increase(&mut self, now_ms: u64, plan: Plan, reason: Reason, decision: &mut Decision) {
        decision.orders = increases(&decision.ordered, &plan);
        if reason == Reason::Price {
            // Without all of its parts an exchange has no use, so a doubtful one comes first.
            decision.orders.sort_by_key(|order| {
                let key = (order.failure_domain.clone(), order.kind);
                !self.refusal_pause_ms.contains_key(&key)
            });
        }
        decision.reason = reason;
        decision.wanted = plan.clone();
        self.increase = Some(Increase {
            plan,
            reason,
            at_ms: now_ms,
        });
    }

    /// Returns the plan that is being ordered if some of it has not been ordered yet.
    fn increase_in_progress(
        &self,
        now_ms: u64,
        market: &Market<'_>,
        ordered: &Plan,
    ) -> Option<(Plan, Reason)> {
        let increase = self.increase.as_ref();
        let increase = increase.filter(|increase| now_ms < increase.at_ms + FOLLOW_UP_MS)?;
        let plan = market.with_added(ordered, &increase.plan);
        (plan != *ordered).then_some((plan, increase.reason))
    }

    /// Returns an order of more endpoints that got no answer and has had no effect.
    fn repeated(&self, now_ms: u64, ready: &Plan) -> Option<Order> {
        let mut orders = self.ordered.iter();
        let ((domain, kind), ordered) = orders.find(|((domain, kind), ordered)| {
            let is_due = now_ms >= ordered.at_ms + REPEAT_MS;
            !ordered.is_answered && is_due && ready.count(domain, *kind) < ordered.count
        })?;
        Some(Order {
            failure_domain: domain.clone(),
            kind: *kind,
            count: ordered.count,
            before: ready.count(domain, *kind),
        })
    }

    /// Returns `true` if demand has been observed for long enough, no work waits, and the last orders have
    /// shown their effect.
    fn may_shrink(&self, now_ms: u64) -> bool {
        let has_passed = |last_ms: Option<u64>, pause_ms| {
            last_ms.is_none_or(|last_ms: u64| now_ms >= last_ms + pause_ms)
        };
        self.history.age_ms(now_ms) >= DOWN_WINDOW_MS
            && !self.history.may_have_backlog()
            && has_passed(self.last_up_ms, DOWN_WINDOW_MS)
            && has_passed(self.last_down_ms, DOWN_INTERVAL_MS)
    }

    /// Gives up some endpoints of one failure domain; without a surplus, orders cheaper ones, which makes
    /// a surplus of the others.
    fn economize(&mut self, now_ms: u64, market: &Market<'_>, decision: &mut Decision) {
        let required = Requirement::full(decision.peak, self.slots);
        let (ordered, ready) = (&decision.ordered, &decision.ready);
        // Only endpoints that are there and stay count as left.
        let left = ordered.combine(ready, u32::min);
        let limit = (left.total() / DOWN_DIVISOR).max(1);
        let is_settled = |domain: &str, kind| {
            let key = (domain.into(), kind);
            ordered.count(domain, kind) == ready.count(domain, kind)
                && !market.unavailable.contains(&key)
        };
        if let Some((domain, kind, given)) = market.surplus(&left, required, limit, is_settled) {
            let before = ordered.count(&domain, kind);
            decision.wanted = market.shrink(&left, required);
            decision.orders = vec![Order {
                failure_domain: domain,
                kind,
                count: before - given,
                before,
            }];
            decision.reason = Reason::Surplus;
            return;
        }
        let present = market.shrink(ordered, required);
        let exchanged = market.with_added(ordered, &market.ideal(ordered, required));
        let exchanged = market.shrink(&exchanged, required);
        if exchanged.price(market.terms) < EXCHANGE_PRICE * present.price(market.terms) {
            let plan = ordered.combine(&exchanged, u32::max);
            self.increase(now_ms, plan, Reason::Price, decision);
            decision.wanted = exchanged;
        }
    }

    /// Records what became of an order.
    pub fn record(&mut self, now_ms: u64, order: &Order, outcome: Outcome) {
        let key = (order.failure_domain.clone(), order.kind);
        match outcome {
            Outcome::Accepted | Outcome::Unanswered => {
                let ordered = Ordered {
                    count: order.count,
                    at_ms: now_ms,
                    is_answered: outcome == Outcome::Accepted,
                    fulfilled_ms: now_ms,
                };
                self.refusal_pause_ms.remove(&key);
                self.ordered.insert(key, ordered);
                match order.count < order.before {
                    true => self.last_down_ms = Some(now_ms),
                    false => self.last_up_ms = Some(now_ms),
                }
            }
            Outcome::Refused => {
                let pause_ms = self.refusal_pause_ms.entry(key.clone());
                let pause_ms = pause_ms
                    .and_modify(|pause_ms| *pause_ms = (*pause_ms * 2).min(MAX_REFUSAL_PAUSE_MS))
                    .or_insert(REFUSAL_PAUSE_MS);
                self.unavailable_until_ms.insert(key, now_ms + *pause_ms);
                self.increase
                    .take_if(|increase| increase.reason == Reason::Price);
            }
            Outcome::Failed => {}
        }
    }
}

/// Returns the orders that lead from one plan to a larger one, the largest first.
fn increases(from: &Plan, to: &Plan) -> Vec<Order> {
    let mut orders: Vec<_> = to
        .keys()
        .map(|(domain, kind)| Order {
            failure_domain: domain.clone(),
            kind,
            count: to.count(domain, kind),
            before: from.count(domain, kind),
        })
        .filter(|order| order.count > order.before)
        .collect();
    orders.sort_by_key(|order| std::cmp::Reverse(order.count - order.before));
    orders
}
