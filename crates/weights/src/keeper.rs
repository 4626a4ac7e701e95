//! The keeper of some engines' weight versions.

use std::collections::BTreeMap;

use wisteriapoint_types::{EndpointName, ViewNumber, WeightVersion};

use crate::{Fence, Order};

const ORDER_TIMEOUT_MS: u64 = 5_000;

/// Brings the engines that one daemon keeps to the published version.
#[derive(Debug, Default)]
pub struct Keeper {
    view: ViewNumber,
    counter: u32,
    target: Option<WeightVersion>,
    engines: BTreeMap<EndpointName, Engine>,
}

#[derive(Debug, Default)]
struct Engine {
    reported: Option<WeightVersion>,
    ordered_at_ms: Option<u64>,
}

impl Keeper {
    /// Makes a keeper without engines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the view that orders are fenced with.
    pub fn set_view(&mut self, _now_ms: u64, view: ViewNumber) {
        if view > self.view {
            self.view = view;
            self.counter = 0;
        }
    }

    /// Takes on an engine.
    pub fn keep(&mut self, endpoint: EndpointName) {
        self.engines.entry(endpoint).or_default();
    }

    /// Gives up all engines that `is_kept` does not name.
    pub fn retain(&mut self, is_kept: impl Fn(&EndpointName) -> bool) {
        self.engines.retain(|endpoint, _| is_kept(endpoint));
    }

    /// Sets the published version; an older one is ignored.
    pub fn set_target(&mut self, version: WeightVersion) {
        self.target = self.target.max(Some(version));
    }

    /// Takes the version that an engine reports.
    pub fn report(&mut self, endpoint: &EndpointName, version: WeightVersion) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.reported = Some(version);
            engine.ordered_at_ms = None;
        }
    }

    /// The orders to send now, with at most `limit` engines loading at the same time.
    pub fn plan(&mut self, now_ms: u64, limit: usize) -> Vec<Order> {
        let Some(target) = self.target else {
            return Vec::new();
        };
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.is_loading(now_ms));
        let mut room = limit.saturating_sub(loading.count());
        let mut orders = Vec::new();
        for (endpoint, engine) in &mut self.engines {
            if room == 0 || engine.reported >= Some(target) || engine.is_loading(now_ms) {
                continue;
            }
            room -= 1;
            engine.ordered_at_ms = Some(now_ms);
            self.counter += 1;
            orders.push(Order {
                endpoint: endpoint.clone(),
                version: target,
                fence: Fence::new(self.view, self.counter),
            });
        }
        orders
    }
}

impl Engine {
    fn is_loading(&self, now_ms: u64) -> bool {
        self.ordered_at_ms
            .is_some_and(|at_ms| now_ms < at_ms + ORDER_TIMEOUT_MS)
    }
}
