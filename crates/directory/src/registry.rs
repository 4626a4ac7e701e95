//! The registered endpoints and the selection of one for a request.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use wisteriapoint_types::{EndpointName, FailureDomain, ServiceName, StreamOrigin, WeightVersion};

use crate::{Endpoint, EndpointRecord, EndpointStage, Priority, RateLimit};

/// Time after a store outage during which an endpoint without a row stays in the registry. Rows
/// that expired in the outage return about two seconds after it.
const ABSENCE_GRACE_MS: u64 = 2_200;

/// Time after the removal of a row during which the endpoint stays unused if the row returns with
/// the same incarnation. A stale row returns within about a second and expires within three
/// heartbeats.
const STALE_ROW_HOLD_MS: u64 = 6_000;

/// Number of instances that are remembered as leaving: more than leave while one of their rows may still
/// come back.
const MAX_LEAVING: usize = 256;

/// Cost factor for an endpoint in another failure domain. It only decides between those of nearly
/// equal cost: a hop between domains takes about a millisecond, an event of a text tens of them.
const REMOTE_DOMAIN_COST_FACTOR: f64 = 1.02;

/// Ratio of the time for an event a moment ago to the mean from which an endpoint counts as slow at the
/// moment; smaller differences are due to load.
const MIN_SLOWNESS: f64 = 1.5;
/// Largest ratio that counts.
const MAX_SLOWNESS: f64 = 4.0;

/// Cost factor of a caller's request for an endpoint with a limit: others are used first as long as
/// they have a free slot, since a request for a permit takes time.
const CALLER_LIMIT_COST_FACTOR: f64 = 2.0;
/// The same of batch work: others are used first, unless they are occupied to a quarter more.
const BATCH_LIMIT_COST_FACTOR: f64 = 1.25;

/// Conditions that an endpoint has to meet for a request.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// Service that the request is for.
    pub service: &'a ServiceName,
    /// Model and its oldest acceptable weight version; `None` for requests that do not generate.
    pub model: Option<(&'a str, WeightVersion)>,
    /// Whether the endpoint must have a free slot; if not, the request may wait in its queue.
    pub requires_free_slot: bool,
    /// Latency objective, in milliseconds. Endpoints whose queue is too long to meet it are not
    /// selected; `None` accepts a queue of any length.
    pub objective_ms: Option<u64>,
    /// Failure domain of the sender; preferred among endpoints of equal cost.
    pub sender_domain: &'a FailureDomain,
    /// Precedence at endpoints with a limit, and whether the request may join a queue.
    pub priority: Priority,
    /// What generated the beginning of the response, which the endpoint must be able to go on with.
    pub origin: &'a StreamOrigin,
}

/// The endpoints that this process may send requests to.
#[derive(Debug, Default)]
pub struct Registry {
    endpoints: BTreeMap<EndpointName, Endpoint>,
    /// Endpoints without a row, with the time at which their grace period ends.
    absent: BTreeMap<EndpointName, u64>,
    removed: BTreeMap<EndpointName, Removed>,
    /// Instances that stated that they are leaving, the latest ones, oldest first.
    leaving: VecDeque<(EndpointName, u64)>,
}

/// An endpoint whose row was removed while the store was available.
#[derive(Debug, Clone, Copy)]
struct Removed {
    at_ms: u64,
    born_unix_ms: u64,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an endpoint or updates its record, and returns `true` if anything changed.
    ///
    /// Within one incarnation a draining endpoint stays draining, also if only its responses said so,
    /// its weight versions never decrease, and records with different software versions make its
    /// version unknown.
    ///
    /// `revision` is that of the store as of which the record holds, or 0 if it is not known. Of two
    /// incarnations the one as of the later revision is newer: the clock of the endpoint's machine may have
    /// been set back between two starts. Only without that the later start decides. A record of the earlier
    /// incarnation is ignored.
    pub fn apply_record(
        &mut self,
        name: &EndpointName,
        mut record: EndpointRecord,
        revision: u64,
    ) -> bool {
        if self.is_leaving(name, record.born_unix_ms) {
            record.stage = EndpointStage::Draining;
        }
        let Some(current) = self.endpoints.get_mut(name) else {
            let mut endpoint = self.new_endpoint(name, record);
            endpoint.revision = revision;
            self.absent.remove(name);
            self.endpoints.insert(name.clone(), endpoint);
            return true;
        };
        let born_unix_ms = current.record.born_unix_ms;
        let known_revision = current.revision;
        match record.born_unix_ms {
            born if born != born_unix_ms => {
                let is_newer = match revision.cmp(&known_revision) {
                    Ordering::Greater => true,
                    Ordering::Less if revision > 0 => false,
                    Ordering::Less | Ordering::Equal => born > born_unix_ms,
                };
                if !is_newer {
                    return false;
                }
                *current = Endpoint::new(record);
            }
            _ if current.record == record => {
                current.revision = revision.max(known_revision);
                self.absent.remove(name);
                return false;
            }
            _ => {
                let previous = std::mem::replace(&mut current.record, record);
                // One process does not change its software: it is not known which of its rows is right.
                if current.record.software != previous.software {
                    current.record.software = None;
                }
                if previous.stage == EndpointStage::Draining {
                    current.record.stage = EndpointStage::Draining;
                }
                current.raise_versions(&previous.models);
            }
        }
        current.revision = revision.max(known_revision);
        self.absent.remove(name);
        true
    }

    /// Records that an instance stated that it is leaving, whatever its rows say; returns `true` if it
    /// was ready.
    pub fn record_leaving(&mut self, name: &EndpointName, born_unix_ms: u64) -> bool {
        if self.is_leaving(name, born_unix_ms) {
            return false;
        }
        self.leaving.push_back((name.clone(), born_unix_ms));
        if self.leaving.len() > MAX_LEAVING {
            self.leaving.pop_front();
        }
        match self.endpoints.get_mut(name) {
            Some(endpoint) if endpoint.record.born_unix_ms == born_unix_ms => {
                let stage = &mut endpoint.record.stage;
                std::mem::replace(stage, EndpointStage::Draining) == EndpointStage::Ready
            }
            _ => false,
        }
    }

    fn is_leaving(&self, name: &EndpointName, born_unix_ms: u64) -> bool {
        let mut leaving = self.leaving.iter();
        leaving.any(|(other, born)| other == name && *born == born_unix_ms)
    }

    /// Creates the state of an endpoint that is not registered.
    ///
    /// If a row of the same incarnation was removed recently, the new row may be stale, and the
    /// endpoint gets no requests until [`STALE_ROW_HOLD_MS`] after the removal.
    fn new_endpoint(&self, name: &EndpointName, record: EndpointRecord) -> Endpoint {
        match self.removed.get(name) {
            Some(removed) if removed.born_unix_ms == record.born_unix_ms => {
                Endpoint::new(record).with_hold(removed.at_ms + STALE_ROW_HOLD_MS)
            }
            _ => Endpoint::new(record),
        }
    }

    /// Handles the removal of an endpoint's row.
    ///
    /// `outage_end_ms` is the end of the last store outage: the current time during an outage,
    /// `None` if there was none. During an outage and the grace period after it, the endpoint
    /// stays registered until the grace period ends; otherwise it is removed at once.
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

    /// Records the removal of an endpoint while the store is available.
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

    /// Applies a complete read of the rows at a revision, 0 if it is not known: endpoints that it lacks are
    /// handled as removed rows.
    pub fn replace(
        &mut self,
        now_ms: u64,
        records: Vec<(EndpointName, EndpointRecord)>,
        outage_end_ms: Option<u64>,
        revision: u64,
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
            self.apply_record(&name, record, revision);
        }
    }

    /// Returns `true` if any registered endpoint has no row.
    pub fn has_absent_endpoints(&self) -> bool {
        !self.absent.is_empty()
    }

    /// Removes the endpoints whose grace period has ended, and returns their names.
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

    /// Extends all grace periods to start at the given end of a store outage.
    pub fn extend_grace_periods(&mut self, outage_end_ms: u64) {
        for until_ms in self.absent.values_mut() {
            *until_ms = (*until_ms).max(outage_end_ms.saturating_add(ABSENCE_GRACE_MS));
        }
    }

    fn remove(&mut self, name: &EndpointName) {
        self.endpoints.remove(name);
        self.absent.remove(name);
    }

    /// Returns the state of an endpoint.
    pub fn get(&self, name: &EndpointName) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    /// Returns the state of an endpoint, to record results of requests.
    pub fn get_mut(&mut self, name: &EndpointName) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(name)
    }

    /// Returns all endpoints in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointName, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Returns the endpoint that is expected to complete a new request first, other than the
    /// excluded ones.
    ///
    /// Batch work is placed only where it starts at once, so that callers do not queue behind it. A
    /// paused endpoint is selected only if no other is left and the request may wait: it may
    /// have recovered, and failing the request would be worse.
    pub fn choose(
        &self,
        now_ms: u64,
        requirements: Requirements<'_>,
        excluded: &[EndpointName],
    ) -> Option<&EndpointName> {
        let has_room = |endpoint: &Endpoint| match requirements.objective_ms {
            _ if requirements.priority == Priority::Batch => endpoint.has_free_slot(now_ms),
            Some(objective_ms) => endpoint.can_meet_objective(now_ms, objective_ms),
            None => true,
        };
        let candidates = || {
            self.endpoints.iter().filter(|(name, endpoint)| {
                endpoint.satisfies(now_ms, &requirements)
                    && has_room(endpoint)
                    && !excluded.contains(name)
            })
        };
        let mean_ms_per_event = self.mean_ms_per_event(requirements.service);
        let best = candidates()
            .filter(|(_, endpoint)| !endpoint.is_paused(now_ms))
            .map(|(name, endpoint)| {
                (
                    name,
                    cost(now_ms, endpoint, &requirements, mean_ms_per_event),
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

    /// Returns `true` if any endpoint other than the excluded ones satisfies the requirements, even
    /// if it is paused.
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

    /// Returns the time until an endpoint other than the excluded ones may have a permit, in
    /// milliseconds; `None` if one needs none or no other is suitable.
    pub fn permit_wait_ms(
        &self,
        now_ms: u64,
        requirements: Requirements<'_>,
        excluded: &[EndpointName],
    ) -> Option<u64> {
        let endpoints = self.endpoints.iter().filter(|(name, endpoint)| {
            endpoint.satisfies_without_limit(now_ms, &requirements) && !excluded.contains(name)
        });
        let waits = endpoints
            .map(|(_, endpoint)| endpoint.denied_until_ms(requirements.priority))
            .map(|until_ms| until_ms.saturating_sub(now_ms));
        waits.min().filter(|&wait_ms| wait_ms > 0)
    }

    /// Returns the endpoints of a service that state a limit.
    pub fn limited<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a EndpointName, RateLimit)> {
        let endpoints = self.endpoints.iter();
        let of_service = endpoints.filter(|(_, endpoint)| endpoint.record.service == *service);
        of_service.filter_map(|(name, endpoint)| Some((name, endpoint.limit()?)))
    }

    /// Returns the sum of the limits of a service's endpoints, in requests a second.
    pub fn total_limit_per_s(&self, service: &ServiceName) -> f64 {
        let limited = self.limited(service);
        limited.map(|(_, limit)| limit.per_s()).sum()
    }

    /// Returns the mean time per event over the endpoints of a service, in milliseconds; 1 if none
    /// has been measured.
    pub fn mean_ms_per_event(&self, service: &ServiceName) -> f64 {
        let measured = || {
            self.endpoints
                .values()
                .filter(|endpoint| {
                    endpoint.record.service == *service && endpoint.ms_per_event > 0.0
                })
                .map(|endpoint| endpoint.ms_per_event)
        };
        match measured().count() {
            0 => 1.0,
            count => measured().sum::<f64>() / count as f64,
        }
    }
}

/// Returns the cost of a new request at an endpoint: the mean time per event, multiplied by one
/// plus the occupied share of the slots and by the factors for another failure domain, for a limit and
/// for an endpoint that is slow at the moment.
fn cost(
    now_ms: u64,
    endpoint: &Endpoint,
    requirements: &Requirements<'_>,
    mean_ms_per_event: f64,
) -> f64 {
    let ms_per_event = match endpoint.ms_per_event {
        ms_per_event if ms_per_event > 0.0 => ms_per_event,
        _ => mean_ms_per_event,
    };
    let slots = f64::from(endpoint.record.slots.max(1));
    let occupancy = f64::from(endpoint.occupancy(now_ms));
    let domain_factor = match endpoint.record.failure_domain == *requirements.sender_domain {
        true => 1.0,
        false => REMOTE_DOMAIN_COST_FACTOR,
    };
    let limit_factor = match requirements.priority {
        _ if endpoint.limit().is_none() => 1.0,
        Priority::Caller => CALLER_LIMIT_COST_FACTOR,
        Priority::Batch => BATCH_LIMIT_COST_FACTOR,
    };
    let slowness = endpoint.recent_gap_ms(now_ms).unwrap_or(0.0) / mean_ms_per_event;
    let pace_factor = match slowness {
        slowness if slowness >= MIN_SLOWNESS => slowness.min(MAX_SLOWNESS),
        _ => 1.0,
    };
    ms_per_event * (1.0 + occupancy / slots) * domain_factor * limit_factor * pace_factor
}
