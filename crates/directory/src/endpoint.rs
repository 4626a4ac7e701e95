//! One endpoint: what it says of itself, and what this process has seen of it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use wisteriapoint_types::{FailureDomain, ServiceName, WeightVersion};

use crate::Requirements;

/// First pause after a failure of an endpoint, in milliseconds: a few round trips.
const FIRST_PAUSE_MS: u64 = 200;
/// Longest pause, in milliseconds: a restarted endpoint is tried again within seconds.
const LONGEST_PAUSE_MS: u64 = 3_200;
/// Share of the newest time in the mean of an endpoint's times.
const UNIT_TIME_SMOOTHING: f64 = 0.2;
/// Share of the newest answer in the mean time of an endpoint's answers: requests differ by
/// more than events of texts do.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;
/// Share of an objective that an endpoint may need by what is known of it: the ways to and from it
/// and what other nodes sent it meanwhile come on top.
const USABLE_OBJECTIVE_SHARE: f64 = 0.9;
/// Share of another node's mean, which stands for several measurements.
const PEER_MEAN_WEIGHT: f64 = 0.5;
/// Age up to which a node goes by its own measurements of an endpoint, in milliseconds: beyond some
/// events of a text, what others measured says more.
const MEASUREMENT_MAX_AGE_MS: u64 = 2_000;
/// Age at which a reported load says nothing any more, in milliseconds.
const LOAD_MAX_AGE_MS: u64 = 300;

/// What an endpoint says of itself in the registry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub failure_domain: FailureDomain,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: EndpointStage,
    /// Weight version of each model that it has loaded.
    pub models: Vec<(Box<str>, WeightVersion)>,
    /// Start of this incarnation, Unix milliseconds; 0 if not told.
    pub born_unix_ms: u64,
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStage {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// Load that an endpoint reported with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// An endpoint as this process knows it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// What it says of itself.
    pub record: EndpointRecord,
    /// Requests of this process that it has now.
    pub in_flight: u32,
    /// Mean time for a unit of work, in milliseconds; 0 until one has been seen.
    pub unit_ms: f64,
    measured_at_ms: Option<u64>,
    service_ms: f64,
    load: Option<(u64, Load)>,
    failures: u32,
    paused_until_ms: u64,
    held_until_ms: u64,
}

impl Endpoint {
    /// An endpoint of which only the record is known.
    pub fn new(record: EndpointRecord) -> Self {
        Self {
            record,
            in_flight: 0,
            unit_ms: 0.0,
            measured_at_ms: None,
            service_ms: 0.0,
            load: None,
            failures: 0,
            paused_until_ms: 0,
            held_until_ms: 0,
        }
    }

    /// Keeps it from all requests until a time.
    pub fn with_hold(mut self, until_ms: u64) -> Self {
        self.held_until_ms = until_ms;
        self
    }

    /// The weight version of a model, if it is loaded.
    pub fn version_of(&self, model: &str) -> Option<WeightVersion> {
        let mut models = self.record.models.iter();
        models
            .find(|(name, _)| &**name == model)
            .map(|&(_, version)| version)
    }

    /// Takes the weight versions that it is known to have, which may be newer than its record's;
    /// gives whether any is.
    pub fn raise_versions(&mut self, models: &[(Box<str>, WeightVersion)]) -> bool {
        let mut is_raised = false;
        for (model, version) in models {
            let mut entries = self.record.models.iter_mut();
            if let Some((_, current)) = entries.find(|(name, _)| name == model)
                && *current < *version
            {
                *current = *version;
                is_raised = true;
            }
        }
        is_raised
    }

    /// Whether it could take a request, apart from pauses.
    pub fn satisfies(&self, now_ms: u64, requirements: &Requirements<'_>) -> bool {
        now_ms >= self.held_until_ms
            && self.record.service == *requirements.service
            && self.record.stage == EndpointStage::Ready
            && (!requirements.requires_free_slot || self.occupancy(now_ms) < self.record.slots)
            && requirements.model.is_none_or(|(model, oldest)| {
                self.version_of(model)
                    .is_some_and(|version| version >= oldest)
            })
    }

    /// Takes the load that came with an answer.
    pub fn record_load(&mut self, now_ms: u64, load: Load) {
        self.load = Some((now_ms, load));
    }

    /// Notes an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.paused_until_ms = 0;
    }

    /// Notes the time of a whole answer, and how many requests the endpoint had with it.
    pub fn record_response(&mut self, elapsed_ms: u64, occupancy: u32) {
        self.record_success();
        let rounds = (f64::from(occupancy) / self.slots()).max(1.0);
        let service_ms = elapsed_ms as f64 / rounds;
        self.service_ms = match self.service_ms {
            current if current > 0.0 => current + (service_ms - current) * SERVICE_TIME_SMOOTHING,
            _ => service_ms,
        };
    }

    /// Whether a request would start at once, or be answered well within an objective after its
    /// turn has come.
    pub fn can_meet_objective(&self, now_ms: u64, objective_ms: u64) -> bool {
        let rounds = f64::from(self.occupancy(now_ms) + 1) / self.slots();
        rounds <= 1.0 || self.service_ms * rounds <= objective_ms as f64 * USABLE_OBJECTIVE_SHARE
    }

    fn slots(&self) -> f64 {
        f64::from(self.record.slots.max(1))
    }

    /// Notes the time for a unit of work that this process has measured.
    pub fn record_unit_time(&mut self, now_ms: u64, unit_ms: f64) {
        self.record_success();
        self.measured_at_ms = Some(now_ms);
        self.update_mean(unit_ms, UNIT_TIME_SMOOTHING);
    }

    /// Adds the mean of another node's measurements.
    pub fn merge_peer_mean(&mut self, unit_ms: f64) {
        self.update_mean(unit_ms, PEER_MEAN_WEIGHT);
    }

    fn update_mean(&mut self, unit_ms: f64, weight: f64) {
        self.unit_ms = match self.unit_ms {
            current if current > 0.0 => current + (unit_ms - current) * weight,
            _ => unit_ms,
        };
    }

    /// Takes the mean of all nodes, unless this process has measured of late.
    pub fn apply_shared_mean(&mut self, now_ms: u64, unit_ms: f64) {
        let is_recent = |at_ms| now_ms < at_ms + MEASUREMENT_MAX_AGE_MS;
        if !self.measured_at_ms.is_some_and(is_recent) {
            self.unit_ms = unit_ms;
        }
    }

    /// The mean time for a unit of work, if this process measured one after a time.
    pub fn measured_after(&self, after_ms: u64) -> Option<f64> {
        let at_ms = self.measured_at_ms?;
        (at_ms > after_ms).then_some(self.unit_ms)
    }

    /// Notes that it failed to answer, and pauses it.
    pub fn record_failure(&mut self, now_ms: u64) {
        let pause_ms = (FIRST_PAUSE_MS << self.failures.min(8)).min(LONGEST_PAUSE_MS);
        self.failures += 1;
        self.paused_until_ms = now_ms + pause_ms;
    }

    /// Notes that it refused a request for want of room, and pauses it for a moment.
    pub fn record_overload(&mut self, now_ms: u64, pause_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(now_ms + pause_ms);
    }

    /// Whether it is not to be tried yet.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// When it may be tried again.
    pub fn paused_until_ms(&self) -> u64 {
        self.paused_until_ms
    }

    /// Whether the last answers failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Requests that are known to be there, own ones and those reported of late.
    pub fn occupancy(&self, now_ms: u64) -> u32 {
        match self.load {
            Some((at_ms, load)) if now_ms < at_ms + LOAD_MAX_AGE_MS => {
                self.in_flight.max(load.running + load.waiting)
            }
            _ => self.in_flight,
        }
    }
}
