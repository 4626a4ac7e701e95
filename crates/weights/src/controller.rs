//! Controller that brings engines to the published weight version.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};

use crate::{Fence, Order};

/// Time that an engine has, after an order ended, to report the new version.
const REPORT_GRACE_MS: u64 = 1_000;
/// Bound on the doublings of [`REPORT_GRACE_MS`] after failed orders.
const MAX_BACKOFF_SHIFT: u32 = 2;
const DEFAULT_ORDER_TTL_MS: u64 = 5_000;

/// Brings the engines that one daemon is responsible for to the published version.
///
/// Only the version that an engine reports counts. After an order has ended, successfully or
/// not, no other order is sent to the engine until a report arrives that was requested after
/// the end.
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
    /// An order was sent and has not ended.
    Sent(Sent),
    /// The order has ended, and no report has confirmed its effect yet.
    Ended { at_ms: u64, version: WeightVersion },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sent {
    fence: Fence,
    version: WeightVersion,
}

impl Controller {
    /// Creates a controller without engines.
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

    /// Sets the view from which fencing tokens are derived; an older one is ignored.
    pub fn set_view(&mut self, view: ViewNumber) {
        if view > self.view {
            self.view = view;
            self.counter = 0;
        }
    }

    /// Adds an engine; has no effect if it is already present.
    ///
    /// An engine that does not check fencing tokens gets no order until the orders of its
    /// previous controller have expired.
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

    /// Removes all engines for which `is_owned` returns `false`.
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

    /// Returns the time since the published version was set, in milliseconds.
    pub fn target_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.target_since_ms)
    }

    /// Returns `true` if all engines have reported the published version or a newer one.
    pub fn is_converged(&self) -> bool {
        let mut engines = self.engines.values();
        engines.all(|engine| engine.reported >= self.target)
    }

    /// Records the version that an engine reported in response to a request sent at
    /// `requested_at_ms`.
    ///
    /// A report that was requested before the last recorded one is ignored.
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

    /// Records that an order has ended, successfully or not.
    ///
    /// Only the open order counts; other fencing tokens are ignored.
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

    /// Returns the orders to send now.
    ///
    /// They go to engines for which `may_load` returns `true`. At most `max_loading` engines of
    /// this controller load at the same time.
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
    /// Returns `true` if an order may still be in effect.
    fn is_loading(&self, now_ms: u64) -> bool {
        match self.order {
            OrderState::Idle => false,
            OrderState::Sent(_) => true,
            OrderState::Ended { at_ms, .. } => now_ms < self.retry_at_ms(at_ms),
        }
    }

    /// Returns `true` if a report requested after the order ended shows its version.
    fn is_confirmed(&self) -> bool {
        match self.order {
            OrderState::Ended { at_ms, version } => {
                self.report_requested_at_ms >= at_ms && self.reported >= Some(version)
            }
            _ => false,
        }
    }

    /// Returns `true` if the engine has reported an older version and may get an order.
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

    /// Returns the time from which a report decides whether an order that ended at `at_ms`
    /// has failed.
    fn retry_at_ms(&self, at_ms: u64) -> u64 {
        at_ms + (REPORT_GRACE_MS << self.failures.min(MAX_BACKOFF_SHIFT))
    }
}
