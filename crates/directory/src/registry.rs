//! All endpoints, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};

use wisteriapoint_types::{EndpointName, FailureDomain, ServiceName, WeightVersion};

use crate::{Endpoint, EndpointRecord, EndpointStage};

/// Time that an endpoint stays known after its row vanished around trouble of the store, in
/// milliseconds: rows that lapsed are back about two seconds after the store.
const ABSENCE_GRACE_MS: u64 = 2_200;

/// Time for which an endpoint whose row was removed and comes back is not used, in milliseconds: a
/// stale row lapses within three heartbeats, and comes within about a second.
const STALE_ROW_HOLD_MS: u64 = 6_000;

/// Factor of the cost of an endpoint in another failure domain: only among equals does the nearer
/// one win, since a hop between domains is a millisecond and a unit of work tens of them.
const REMOTE_DOMAIN_COST_FACTOR: f64 = 1.02;

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
    absent: BTreeMap<EndpointName, u64>,
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
        let Some(current) = self.endpoints.get_mut(name) else {
            let endpoint = self.new_endpoint(name, record);
            self.absent.remove(name);
            self.endpoints.insert(name.clone(), endpoint);
            return true;
        };
        let born_unix_ms = current.record.born_unix_ms;
        match record.born_unix_ms {
            born if born < born_unix_ms => return false,
            born if born > born_unix_ms => *current = Endpoint::new(record),
            _ if current.record == record => {
                self.absent.remove(name);
                return false;
            }
            _ => {
                let previous = std::mem::replace(&mut current.record, record);
                if previous.stage == EndpointStage::Draining {
                    current.record.stage = EndpointStage::Draining;
                }
                current.raise_versions(&previous.models);
            }
        }
        self.absent.remove(name);
        true
    }

    /// An endpoint that is new or comes back; a row of an incarnation that has left may be stale.
    fn new_endpoint(&self, name: &EndpointName, record: EndpointRecord) -> Endpoint {
        match self.removed.get(name) {
            Some(removed) if removed.born_unix_ms == record.born_unix_ms => {
                Endpoint::new(record).with_hold(removed.at_ms + STALE_ROW_HOLD_MS)
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
        outage_end_ms: Option<u64>,
    ) {
        if !self.endpoints.contains_key(name) {
            return;
        }
        match outage_end_ms {
            Some(end_ms) if now_ms < end_ms.saturating_add(ABSENCE_GRACE_MS) => {
                self.absent
                    .insert(name.clone(), end_ms.saturating_add(ABSENCE_GRACE_MS));
            }
            _ => {
                self.record_removal(now_ms, name);
                self.remove(name);
            }
        }
    }

    /// Remembers an endpoint that left while the store was well.
    fn record_removal(&mut self, now_ms: u64, name: &EndpointName) {
        self.removed
            .retain(|_, removed| now_ms < removed.at_ms + STALE_ROW_HOLD_MS);
        if let Some(current) = self.endpoints.get(name) {
            let removed = Removed {
                at_ms: now_ms,
                born_unix_ms: current.record.born_unix_ms,
            };
            self.removed.insert(name.clone(), removed);
        }
    }

    /// Takes all rows that exist; what is not among them has vanished.
    pub fn replace(
        &mut self,
        now_ms: u64,
        records: Vec<(EndpointName, EndpointRecord)>,
        outage_end_ms: Option<u64>,
    ) {
        let present: BTreeSet<_> = records.iter().map(|(name, _)| name).collect();
        let names = self.endpoints.keys();
        let absent: Vec<_> = names
            .filter(|name| !present.contains(name))
            .cloned()
            .collect();
        for name in absent {
            self.handle_row_removal(now_ms, &name, outage_end_ms);
        }
        for (name, record) in records {
            self.apply_record(&name, record);
        }
    }

    /// Whether an endpoint is known whose row is gone.
    pub fn has_absent_endpoints(&self) -> bool {
        !self.absent.is_empty()
    }

    /// Forgets the endpoints whose grace is over; gives their names.
    pub fn expire(&mut self, now_ms: u64) -> Vec<EndpointName> {
        let expired: Vec<_> = self
            .absent
            .iter()
            .filter(|&(_, &until_ms)| until_ms <= now_ms)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.remove(name);
        }
        expired
    }

    /// Moves the end of all graces: the store has only now answered again.
    pub fn extend_grace_periods(&mut self, outage_end_ms: u64) {
        for until_ms in self.absent.values_mut() {
            *until_ms = (*until_ms).max(outage_end_ms.saturating_add(ABSENCE_GRACE_MS));
        }
    }

    fn remove(&mut self, name: &EndpointName) {
        self.endpoints.remove(name);
        self.absent.remove(name);
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
        requirements: Requirements<'_>,
        excluded: &[EndpointName],
    ) -> Option<&EndpointName> {
        let meets_objective = |endpoint: &Endpoint| {
            let objective_ms = requirements.objective_ms;
            objective_ms
                .is_none_or(|objective_ms| endpoint.can_meet_objective(now_ms, objective_ms))
        };
        let candidates = || {
            self.endpoints.iter().filter(|(name, endpoint)| {
                endpoint.satisfies(now_ms, &requirements)
                    && meets_objective(endpoint)
                    && !excluded.contains(name)
            })
        };
        let mean_unit_ms = self.mean_unit_ms(requirements.service);
        let best = candidates()
            .filter(|(_, endpoint)| !endpoint.is_paused(now_ms))
            .map(|(name, endpoint)| {
                (
                    name,
                    cost(now_ms, endpoint, requirements.sender_domain, mean_unit_ms),
                )
            })
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(name, _)| name);
        match best {
            None if !requirements.requires_free_slot => candidates()
                .min_by_key(|(_, endpoint)| endpoint.paused_until_ms())
                .map(|(name, _)| name),
            best => best,
        }
    }

    /// Whether any endpoint that is not in a list takes requests like this one, be it later.
    pub fn has_eligible(
        &self,
        now_ms: u64,
        requirements: Requirements<'_>,
        excluded: &[EndpointName],
    ) -> bool {
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|(name, endpoint)| {
            endpoint.satisfies(now_ms, &requirements) && !excluded.contains(name)
        })
    }

    /// Mean time for a unit of work over the endpoints of a service; 1 if none is known.
    pub fn mean_unit_ms(&self, service: &ServiceName) -> f64 {
        let measured = || {
            self.endpoints
                .values()
                .filter(|endpoint| endpoint.record.service == *service && endpoint.unit_ms > 0.0)
                .map(|endpoint| endpoint.unit_ms)
        };
        match measured().count() {
            0 => 1.0,
            count => measured().sum::<f64>() / count as f64,
        }
    }
}

/// Expected time of a new request: work ahead of it by the time for a unit.
fn cost(now_ms: u64, endpoint: &Endpoint, sender_domain: &FailureDomain, mean_unit_ms: f64) -> f64 {
    let unit_ms = match endpoint.unit_ms {
        unit_ms if unit_ms > 0.0 => unit_ms,
        _ => mean_unit_ms,
    };
    let slots = f64::from(endpoint.record.slots.max(1));
    let occupancy = f64::from(endpoint.occupancy(now_ms));
    let domain_factor = match endpoint.record.failure_domain == *sender_domain {
        true => 1.0,
        false => REMOTE_DOMAIN_COST_FACTOR,
    };
    unit_ms * (1.0 + occupancy / slots) * domain_factor
}
