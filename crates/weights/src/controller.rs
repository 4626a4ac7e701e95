//! The keeper of some engines' weight versions.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};

use crate::{Fence, Order};

const REPORT_GRACE_MS: u64 = 1_000;
const MAX_BACKOFF_SHIFT: u32 = 2;
const DEFAULT_ORDER_TTL_MS: u64 = 5_000;

/// Brings the engines that one daemon keeps to the published version.
///
/// Only what an engine reports counts. An order that ended, well or not, is followed by a
/// report that was asked for after its end, and only that report lets another order go.
#[derive(Debug)]
pub struct Controller {
    view: ViewNumber,
    counter: u32,
    order_ttl_ms: u64,
    target: Option<WeightVersion>,
    target_since_ms: u64,
    engines: BTreeMap<EndpointName, Engine>,
}

#[derive(Debug)]
struct Engine {
    reported: Option<WeightVersion>,
    report_requested_at_ms: u64,
    orders_from_ms: u64,
    failures: u32,
    order: OrderState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderState {
    /// No order is open.
    Idle,
    /// An order is on its way or in effect.
    Sent(Sent),
    /// The order has ended; its effect has to be read back.
    Ended { at_ms: u64, version: WeightVersion },
}

/// An order that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sent {
    fence: Fence,
    version: WeightVersion,
}

impl Controller {
    /// Makes a keeper without engines.
    pub fn new() -> Self {
        Self {
            view: ViewNumber(0),
            counter: 0,
            order_ttl_ms: DEFAULT_ORDER_TTL_MS,
            target: None,
            target_since_ms: 0,
            engines: BTreeMap::new(),
        }
    }

    /// Sets how long an order stays valid, in milliseconds.
    pub fn set_order_ttl(&mut self, order_ttl_ms: u64) {
        self.order_ttl_ms = order_ttl_ms;
    }

    /// Takes the view that orders are fenced with.
    pub fn set_view(&mut self, view: ViewNumber) {
        if view > self.view {
            self.view = view;
            self.counter = 0;
        }
    }

    /// Takes on an engine.
    ///
    /// An engine that does not check fencing numbers gets no order until those of its
    /// earlier keeper are no longer valid.
    pub fn add_engine(&mut self, now_ms: u64, endpoint: EndpointName, checks_fencing: bool) {
        let delay_ms = if checks_fencing { 0 } else { self.order_ttl_ms };
        self.engines.entry(endpoint).or_insert(Engine {
            reported: None,
            report_requested_at_ms: 0,
            orders_from_ms: now_ms + delay_ms,
            failures: 0,
            order: OrderState::Idle,
        });
    }

    /// Gives up all engines that `is_kept` does not name.
    pub fn retain(&mut self, is_owned: impl Fn(&EndpointName) -> bool) {
        self.engines.retain(|endpoint, _| is_owned(endpoint));
    }

    /// Sets the published version; an older one is ignored.
    pub fn set_target(&mut self, now_ms: u64, version: WeightVersion) {
        if self.target < Some(version) {
            self.target = Some(version);
            self.target_since_ms = now_ms;
        }
    }

    /// Time since the published version became known, in milliseconds.
    pub fn target_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.target_since_ms)
    }

    /// Whether all engines have reported the published version.
    pub fn is_converged(&self) -> bool {
        let mut engines = self.engines.values();
        engines.all(|engine| engine.reported >= self.target)
    }

    /// Takes the version that an engine reports, from a question asked at `asked_ms`.
    pub fn record_report(
        &mut self,
        endpoint: &EndpointName,
        requested_at_ms: u64,
        version: WeightVersion,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        if requested_at_ms < engine.report_requested_at_ms {
            return;
        }
        engine.reported = Some(version);
        engine.report_requested_at_ms = requested_at_ms;
        if engine.is_confirmed() {
            engine.order = OrderState::Idle;
            engine.failures = 0;
        }
    }

    /// Takes the end of an order, whatever its answer was.
    pub fn record_order_end(&mut self, now_ms: u64, endpoint: &EndpointName, fence: Fence) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        match engine.order {
            OrderState::Sent(Sent {
                fence: sent,
                version,
            }) if sent == fence => {
                engine.order = OrderState::Ended {
                    at_ms: now_ms,
                    version,
                };
            }
            _ => {}
        }
    }

    /// The orders to send now: to engines that `may_load`, with at most `room` of this
    /// keeper's engines loading at the same time.
    pub fn plan(
        &mut self,
        now_ms: u64,
        max_loading: usize,
        may_load: impl Fn(&EndpointName) -> bool,
    ) -> Vec<Order> {
        let Some(target) = self.target else {
            return Vec::new();
        };
        let engines = self.engines.values();
        let loading = engines.filter(|engine| engine.is_loading(now_ms));
        let max_orders = max_loading.saturating_sub(loading.count());
        let due = self
            .engines
            .iter_mut()
            .filter(|(endpoint, engine)| engine.is_due(now_ms, target) && may_load(endpoint));
        let mut orders = Vec::new();
        for (endpoint, engine) in due.take(max_orders) {
            self.counter += 1;
            let fence = Fence::new(self.view, self.counter);
            if matches!(engine.order, OrderState::Ended { .. }) {
                engine.failures += 1;
            }
            engine.order = OrderState::Sent(Sent {
                fence,
                version: target,
            });
            orders.push(Order {
                endpoint: endpoint.clone(),
                version: target,
                fence,
                valid_until_ms: now_ms + self.order_ttl_ms,
            });
        }
        orders
    }
}

impl Default for Controller {
    fn default() -> Self {
        Self::new()
    }
}

impl Engine {
    /// Whether an order may be in effect.
    fn is_loading(&self, now_ms: u64) -> bool {
        match self.order {
            OrderState::Idle => false,
            OrderState::Sent(_) => true,
            OrderState::Ended { at_ms, .. } => now_ms < self.retry_at_ms(at_ms),
        }
    }

    /// Whether the engine reports that the order that ended had its effect.
    fn is_confirmed(&self) -> bool {
        match self.order {
            OrderState::Ended { at_ms, version } => {
                self.report_requested_at_ms >= at_ms && self.reported >= Some(version)
            }
            _ => false,
        }
    }

    /// Whether the engine is known to be behind and no order to it is open.
    fn is_due(&self, now_ms: u64, target: WeightVersion) -> bool {
        let is_behind = self.reported.is_some_and(|version| version < target);
        is_behind
            && now_ms >= self.orders_from_ms
            && match self.order {
                OrderState::Idle => true,
                OrderState::Sent(_) => false,
                OrderState::Ended { at_ms, .. } => {
                    let retry_at_ms = self.retry_at_ms(at_ms);
                    now_ms >= retry_at_ms && self.report_requested_at_ms >= retry_at_ms
                }
            }
    }

    /// When the engine's report tells what became of an order that ended at `at_ms`.
    fn retry_at_ms(&self, at_ms: u64) -> u64 {
        at_ms + (REPORT_GRACE_MS << self.failures.min(MAX_BACKOFF_SHIFT))
    }
}
