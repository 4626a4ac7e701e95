//! All endpoints, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};

use wisteriapoint_types::{EndpointName, FailureDomain, ServiceName, WeightVersion};

use crate::{Endpoint, EndpointRecord, EndpointStage};

/// Time that an endpoint stays known after its row vanished around trouble of the store, in
/// milliseconds: rows that lapsed are back about two seconds after the store.
const RETURN_GRACE_MS: u64 = 2_200;

/// Time for which an endpoint whose row was removed and comes back is not used, in milliseconds: a
/// stale row lapses within three heartbeats, and comes within about a second.
const HOLD_BACK_MS: u64 = 6_000;

/// Factor of the cost of an endpoint in another failure domain: only among equals does the nearer
/// one win, since a hop between domains is a millisecond and a unit of work tens of them.
const FAR_FACTOR: f64 = 1.02;

/// What a request needs of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Model and oldest weight version, for requests that generate.
    pub model: Option<(&'a str, WeightVersion)>,
    /// Whether the endpoint must have a free slot; else it may let the request wait.
    pub requires_free_slot: bool,
    /// The time within which an answer is of full use, where a queue that is longer should
    /// not be joined.
    pub objective_ms: Option<u64>,
    /// Where the sender runs; wins among equals.
    pub sender_domain: &'a FailureDomain,
}

/// The endpoints that this process knows.
#[derive(Debug, Default)]
pub struct Registry {
    endpoints: BTreeMap<EndpointName, Endpoint>,
    vanished: BTreeMap<EndpointName, u64>,
    removed: BTreeMap<EndpointName, Removed>,
}

/// An endpoint that has left.
#[derive(Debug, Clone, Copy)]
struct Removed {
    at_ms: u64,
    born_unix_ms: u64,
}

impl Registry {
    /// Knows no endpoint.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes what an endpoint says of itself now.
    ///
    /// Within one incarnation an endpoint that drains goes on draining, and its weight versions
    /// never go back. The record of an earlier incarnation is ignored. Gives whether anything
    /// changed.
    pub fn apply_record(&mut self, name: &EndpointName, record: EndpointRecord) -> bool {
        let Some(known) = self.endpoints.get_mut(name) else {
            let endpoint = self.returned(name, record);
            self.vanished.remove(name);
            self.endpoints.insert(name.clone(), endpoint);
            return true;
        };
        let born_unix_ms = known.record.born_unix_ms;
        match record.born_unix_ms {
            born if born < born_unix_ms => return false,
            born if born > born_unix_ms => *known = Endpoint::new(record),
            _ if known.record == record => {
                self.vanished.remove(name);
                return false;
            }
            _ => {
                let before = std::mem::replace(&mut known.record, record);
                if before.stage == EndpointStage::Draining {
                    known.record.stage = EndpointStage::Draining;
                }
                known.raise_versions(&before.models);
            }
        }
        self.vanished.remove(name);
        true
    }

    /// An endpoint that is new or comes back; a row of an incarnation that has left may be stale.
    fn returned(&self, name: &EndpointName, record: EndpointRecord) -> Endpoint {
        match self.removed.get(name) {
            Some(removed) if removed.born_unix_ms == record.born_unix_ms => {
                Endpoint::new(record).with_hold(removed.at_ms + HOLD_BACK_MS)
            }
            _ => Endpoint::new(record),
        }
    }

    /// Notes that an endpoint's row is gone.
    ///
    /// While the store is in trouble, or was within the grace, it stays known until the grace is over.
    pub fn handle_row_removal(
        &mut self,
        now_ms: u64,
        name: &EndpointName,
        trouble_end_ms: Option<u64>,
    ) {
        if !self.endpoints.contains_key(name) {
            return;
        }
        match trouble_end_ms {
            Some(end_ms) if now_ms < end_ms.saturating_add(RETURN_GRACE_MS) => {
                self.vanished
                    .insert(name.clone(), end_ms.saturating_add(RETURN_GRACE_MS));
            }
            _ => {
                self.hold_back(now_ms, name);
                self.remove(name);
            }
        }
    }

    /// Remembers an endpoint that left while the store was well.
    fn hold_back(&mut self, now_ms: u64, name: &EndpointName) {
        self.removed
            .retain(|_, removed| now_ms < removed.at_ms + HOLD_BACK_MS);
        if let Some(known) = self.endpoints.get(name) {
            let removed = Removed {
                at_ms: now_ms,
                born_unix_ms: known.record.born_unix_ms,
            };
            self.removed.insert(name.clone(), removed);
        }
    }

    /// Takes all rows that exist; what is not among them has vanished.
    pub fn replace(
        &mut self,
        now_ms: u64,
        records: Vec<(EndpointName, EndpointRecord)>,
        trouble_end_ms: Option<u64>,
    ) {
        let present: BTreeSet<_> = records.iter().map(|(name, _)| name).collect();
        let known = self.endpoints.keys();
        let gone: Vec<_> = known
            .filter(|name| !present.contains(name))
            .cloned()
            .collect();
        for name in gone {
            self.handle_row_removal(now_ms, &name, trouble_end_ms);
        }
        for (name, record) in records {
            self.apply_record(&name, record);
        }
    }

    /// Whether an endpoint is known whose row is gone.
    pub fn has_absent_endpoints(&self) -> bool {
        !self.vanished.is_empty()
    }

    /// Forgets the endpoints whose grace is over; gives their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EndpointName> {
        let over: Vec<_> = self
            .vanished
            .iter()
            .filter(|&(_, &until_ms)| until_ms <= now_ms)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &over {
            self.remove(name);
        }
        over
    }

    /// Moves the end of all graces: the store has only now answered again.
    pub fn extend_grace_periods(&mut self, trouble_end_ms: u64) {
        for until_ms in self.vanished.values_mut() {
            *until_ms = (*until_ms).max(trouble_end_ms.saturating_add(RETURN_GRACE_MS));
        }
    }

    fn remove(&mut self, name: &EndpointName) {
        self.endpoints.remove(name);
        self.vanished.remove(name);
    }

    /// One endpoint.
    pub fn get(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// One endpoint, to note what was seen of it.
    pub fn get_mut(&mut self, name: &EndpointName) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(name)
    }

    /// All endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointName, &Endpoint)> {
        self.endpoints.iter()
    }

    /// The endpoint that would finish a new request first, apart from some.
    ///
    /// Paused endpoints are taken only by requests that may wait, and only if
    /// no other is left: an endpoint that may have recovered is better than none.
    pub fn choose(
        &self,
        now_ms: u64,
        need: Requirements<'_>,
        excluded: &[EndpointName],
    ) -> Option<&EndpointName> {
        let is_in_time = |endpoint: &Endpoint| {
            let objective_ms = need.objective_ms;
            objective_ms
                .is_none_or(|objective_ms| endpoint.can_meet_objective(now_ms, objective_ms))
        };
        let candidates = || {
            self.endpoints.iter().filter(|(name, endpoint)| {
                endpoint.satisfies(now_ms, &need)
                    && is_in_time(endpoint)
                    && !excluded.contains(name)
            })
        };
        let mean_unit_ms = self.mean_unit_ms(need.service);
        let best = candidates()
            .filter(|(_, endpoint)| !endpoint.is_paused(now_ms))
            .map(|(name, endpoint)| {
                (
                    name,
                    cost(now_ms, endpoint, need.sender_domain, mean_unit_ms),
                )
            })
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(name, _)| name);
        match best {
            None if !need.requires_free_slot => candidates()
                .min_by_key(|(_, endpoint)| endpoint.paused_until_ms())
                .map(|(name, _)| name),
            best => best,
        }
    }

    /// Whether any endpoint that is not in a list takes requests like this one, be it later.
    pub fn has_eligible(
        &self,
        now_ms: u64,
        need: Requirements<'_>,
        excluded: &[EndpointName],
    ) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints
            .any(|(name, endpoint)| endpoint.satisfies(now_ms, &need) && !excluded.contains(name))
    }

    /// Mean time for a unit of work over the endpoints of a service; 1 if none is known.
    pub fn mean_unit_ms(&self, service: &ServiceName) -> f64 {
        let known = || {
            self.endpoints
                .values()
                .filter(|endpoint| endpoint.record.service == *service && endpoint.unit_ms > 0.0)
                .map(|endpoint| endpoint.unit_ms)
        };
        match known().count() {
            0 => 1.0,
            count => known().sum::<f64>() / count as f64,
        }
    }
}

/// Expected time of a new request: work ahead of it by the time for a unit.
fn cost(now_ms: u64, endpoint: &Endpoint, near: &FailureDomain, mean_unit_ms: f64) -> f64 {
    let unit_ms = match endpoint.unit_ms {
        unit_ms if unit_ms > 0.0 => unit_ms,
        _ => mean_unit_ms,
    };
    let slots = f64::from(endpoint.record.slots.max(1));
    let occupancy = f64::from(endpoint.occupancy(now_ms));
    let distance = match endpoint.record.failure_domain == *near {
        true => 1.0,
        false => FAR_FACTOR,
    };
    unit_ms * (1.0 + occupancy / slots) * distance
}
