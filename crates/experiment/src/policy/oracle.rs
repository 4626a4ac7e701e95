//! An oracle: exact load and speed of all endpoints, one queue by deadline.

use std::collections::BTreeMap;

use wisteriapoint_route::CrashReport;

use super::scenario::Kind;
use super::variant::{Ask, End, Order, Place, Policy};

/// One instance that serves in the place of all daemons.
#[derive(Debug)]
pub struct Oracle {
    places: Vec<Place>,
    free: Vec<u32>,
    down_until_ms: Vec<u64>,
    queue: BTreeMap<(bool, u64, usize), Ask>,
}

const EJECTION_MS: u64 = 1_000;

impl Oracle {
    /// Makes the variant.
    pub fn new(places: &[Place]) -> Self {
        Self {
            places: places.to_vec(),
            free: places.iter().map(|place| place.slots).collect(),
            down_until_ms: vec![0; places.len()],
            queue: BTreeMap::new(),
        }
    }

    /// The fastest free endpoint that is in time; every endpoint is, if none could be.
    fn choose(&self, now_ms: u64, ask: &Ask) -> Option<usize> {
        let in_time = |index: &usize| {
            let service_ms = f64::from(ask.true_tokens) * self.places[*index].ms_per_token;
            now_ms as f64 + service_ms <= ask.deadline_ms as f64
        };
        (0..self.places.len())
            .filter(|&index| self.free[index] > 0 && self.down_until_ms[index] <= now_ms)
            .filter(in_time)
            .min_by(|&a, &b| {
                let speed = |index: usize| self.places[index].ms_per_token;
                speed(a).total_cmp(&speed(b))
            })
    }
}

impl Policy for Oracle {
    fn admit(&mut self, now_ms: u64, request: usize, ask: &Ask) -> Vec<Order> {
        let key = (ask.kind != Kind::Caller, ask.deadline_ms, request);
        self.queue.insert(key, ask.clone());
        self.wake(now_ms)
    }

    fn finish(&mut self, now_ms: u64, _: usize, endpoint: usize, end: End) -> Vec<Order> {
        self.free[endpoint] += 1;
        match end {
            End::Unreachable | End::Crashed => {
                self.down_until_ms[endpoint] = now_ms + EJECTION_MS;
            }
            End::Answered { .. } | End::Refused | End::Cancelled => {}
        }
        self.wake(now_ms)
    }

    fn wake(&mut self, now_ms: u64) -> Vec<Order> {
        let mut orders = Vec::new();
        let waiting: Vec<_> = self.queue.keys().copied().collect();
        for key in waiting {
            if self.free.iter().all(|&free| free == 0) {
                break;
            }
            let (_, _, request) = key;
            if let Some(endpoint) = self.choose(now_ms, &self.queue[&key]) {
                self.queue.remove(&key);
                self.free[endpoint] -= 1;
                orders.push(Order::Dispatch { request, endpoint });
            }
        }
        orders
    }

    fn withdraw(&mut self, request: usize) {
        self.queue.retain(|&(_, _, waiting), _| waiting != request);
    }

    fn report(&mut self, _: u64, _: u64, _: usize, _: u32, _: u32) {}

    fn set_leaving(&mut self, endpoint: usize) {
        self.down_until_ms[endpoint] = u64::MAX;
    }

    fn may_retry(&mut self) -> bool {
        true
    }

    fn export(&self) -> Vec<CrashReport> {
        Vec::new()
    }

    fn import(&mut self, _now_ms: u64, _strikes: &[CrashReport]) {}
}
