//! One endpoint: its registered record and the measurements of this process.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use wisteriapoint_types::{
    FailureDomain, ServiceName, SoftwareVersion, StreamOrigin, WeightVersion,
};

use crate::{Priority, RateLimit, Requirements, StatedLimit};

/// Pause after the first failure of an endpoint: a few round trips.
const FIRST_PAUSE_MS: u64 = 200;
/// Longest pause after failures, short enough that a restarted endpoint is tried within seconds.
const LONGEST_PAUSE_MS: u64 = 3_200;
/// Weight of the newest measurement in the moving average of the time per event.
const EVENT_TIME_SMOOTHING: f64 = 0.2;
/// Weight of the newest response in the moving average of service times; lower than
/// [`EVENT_TIME_SMOOTHING`], since requests vary more than the events of a generated text.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;
/// Share of the latency objective that the estimated time at an endpoint may use. The rest is for
/// the network and for requests that other nodes have sent to it since its last load report.
const USABLE_OBJECTIVE_SHARE: f64 = 0.9;
/// Weight of another node's mean, which stands for several measurements.
const PEER_MEAN_WEIGHT: f64 = 0.5;
/// Age up to which a node prefers its own measurement of an endpoint to the shared mean. After the
/// time of a few events of a text, the measurements of other nodes are more accurate.
const MEASUREMENT_MAX_AGE_MS: u64 = 2_000;
/// Time after which the record of an endpoint that was down is that of its present incarnation: a row
/// expires within three heartbeats, and a new one is known two seconds after the start.
pub const RECORD_LAG_MS: u64 = 6_000;
/// Age up to which the time between two events tells how fast an endpoint is now, in milliseconds: an
/// endpoint that shares its machine is slow for some hundred milliseconds at a time.
const GAP_MAX_AGE_MS: u64 = 300;
/// Age from which a reported load is ignored.
const LOAD_MAX_AGE_MS: u64 = 300;

/// Record with which an endpoint registers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Service to which the endpoint belongs.
    pub service: ServiceName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub stage: EndpointStage,
    /// Loaded models with their weight versions.
    pub models: Vec<(Box<str>, WeightVersion)>,
    /// Start of this incarnation in Unix milliseconds; 0 if the record does not contain it.
    pub born_unix_ms: u64,
    /// Version of its software; `None` if the record does not tell it.
    pub software: Option<SoftwareVersion>,
}

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStage {
    /// Accepts new requests.
    Ready,
    /// Completes its current requests and then stops.
    Draining,
}

/// Load that an endpoint reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}

/// State of an endpoint in this process.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Latest record, with the highest weight versions recorded in this incarnation.
    pub record: EndpointRecord,
    /// Revision of the store as of which the record holds, as far as it is known.
    pub(crate) revision: u64,
    /// Number of requests from this process that it has not completed.
    pub in_flight: u32,
    /// Mean time per event of a generated text, in milliseconds; 0 until the first measurement.
    pub ms_per_event: f64,
    measured_at_ms: Option<u64>,
    service_ms: f64,
    /// Time between two successive events of one output, and when the second arrived.
    last_gap: Option<(u64, f64)>,
    load: Option<(u64, Load)>,
    failures: u32,
    paused_until_ms: u64,
    held_until_ms: u64,
    /// Time until which the record may be that of an earlier incarnation.
    unconfirmed_until_ms: u64,
    limit: Option<RateLimit>,
    /// Time until which no permit is available, for each [`Priority`].
    denied_until_ms: [u64; 2],
}

impl Endpoint {
    /// Creates an endpoint without measurements.
    pub fn new(record: EndpointRecord) -> Self {
        Self {
            record,
            revision: 0,
            in_flight: 0,
            ms_per_event: 0.0,
            measured_at_ms: None,
            service_ms: 0.0,
            last_gap: None,
            load: None,
            failures: 0,
            paused_until_ms: 0,
            held_until_ms: 0,
            unconfirmed_until_ms: 0,
            limit: None,
            denied_until_ms: [0; 2],
        }
    }

    /// Excludes the endpoint from all requests until the given time.
    pub fn with_hold(mut self, until_ms: u64) -> Self {
        self.held_until_ms = until_ms;
        self
    }

    /// Returns the weight version of a model, or `None` if the model is not loaded.
    pub fn version_of(&self, model: &str) -> Option<WeightVersion> {
        let mut models = self.record.models.iter();
        models
            .find(|(name, _)| &**name == model)
            .map(|&(_, version)| version)
    }

    /// Raises the weight versions of loaded models to the given ones where these are newer.
    ///
    /// Returns `true` if any version changed.
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

    /// Returns `true` if the endpoint can accept a request with the given requirements.
    ///
    /// Pauses and the latency objective are not considered.
    pub fn satisfies(&self, now_ms: u64, requirements: &Requirements<'_>) -> bool {
        now_ms >= self.denied_until_ms(requirements.priority)
            && self.satisfies_without_limit(now_ms, requirements)
    }

    /// Same as [`satisfies`](Self::satisfies), whether a permit is available or not.
    pub fn satisfies_without_limit(&self, now_ms: u64, requirements: &Requirements<'_>) -> bool {
        now_ms >= self.held_until_ms
            && self.record.service == *requirements.service
            && self.record.stage == EndpointStage::Ready
            && self.may_go_on(now_ms, requirements.origin)
            && (!requirements.requires_free_slot || self.has_free_slot(now_ms))
            && self.has_model(requirements)
    }

    fn has_model(&self, requirements: &Requirements<'_>) -> bool {
        requirements.model.is_none_or(|(model, oldest)| {
            self.version_of(model)
                .is_some_and(|version| version >= oldest)
        })
    }

    /// Returns `true` if the endpoint may generate the rest of a stream with the given origin.
    fn may_go_on(&self, now_ms: u64, origin: &StreamOrigin) -> bool {
        let has_events = *origin != StreamOrigin::None;
        origin.admits(self.record.software.as_ref())
            && !(has_events && now_ms < self.unconfirmed_until_ms)
    }

    /// Returns `true` if the endpoint has a software version and may accept a request with the given
    /// requirements later, though it is full, paused or was down.
    pub fn may_serve_later(
        &self,
        requirements: &Requirements<'_>,
        software: &SoftwareVersion,
    ) -> bool {
        self.record.service == *requirements.service
            && self.record.stage == EndpointStage::Ready
            && self.record.software.as_ref() == Some(software)
            && self.has_model(requirements)
    }

    /// Records that the endpoint was down, and so may return with other software under its name.
    ///
    /// Until its record would have been replaced or removed, it begins streams but goes on with none.
    pub fn record_down(&mut self, now_ms: u64) {
        self.unconfirmed_until_ms = now_ms + RECORD_LAG_MS;
    }

    /// Records the load that a response reported.
    pub fn record_load(&mut self, now_ms: u64, load: Load) {
        self.load = Some((now_ms, load));
    }

    /// Returns the limit that the endpoint states for all nodes together.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Records what a response says about the limit; returns `true` if the limit has changed.
    pub fn record_limit(&mut self, stated: StatedLimit) -> bool {
        let limit = match stated {
            StatedLimit::Absent => None,
            StatedLimit::Limit(limit) => Some(limit),
            StatedLimit::Malformed => self.limit,
        };
        let is_changed = limit != self.limit;
        if is_changed {
            self.limit = limit;
            self.denied_until_ms = [0; 2];
        }
        is_changed
    }

    /// Records that no permit is available to requests of this priority until the given time.
    ///
    /// A time in the past allows requests again.
    pub fn record_denial(&mut self, until_ms: u64, priority: Priority) {
        self.denied_until_ms[priority as usize] = until_ms;
        // Batch work gets no permit before callers do.
        if priority == Priority::Caller {
            let batch = &mut self.denied_until_ms[Priority::Batch as usize];
            *batch = (*batch).max(until_ms);
        }
    }

    /// Returns the time until which no permit is available; it may be in the past.
    pub fn denied_until_ms(&self, priority: Priority) -> u64 {
        self.denied_until_ms[priority as usize]
    }

    /// Records a success, which resets the failure count and ends any pause.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.paused_until_ms = 0;
    }

    /// Records a success with the duration of the complete response and the number of requests at
    /// the endpoint when this one was sent, itself included.
    pub fn record_response(&mut self, elapsed_ms: u64, occupancy: u32) {
        self.record_success();
        let rounds = (f64::from(occupancy) / self.slots()).max(1.0);
        let service_ms = elapsed_ms as f64 / rounds;
        self.service_ms = match self.service_ms {
            current if current > 0.0 => current + (service_ms - current) * SERVICE_TIME_SMOOTHING,
            _ => service_ms,
        };
    }

    /// Returns `true` if a new request would start at once, or if its expected time,
    /// including that in the queue, is within the usable share of the objective.
    pub fn can_meet_objective(&self, now_ms: u64, objective_ms: u64) -> bool {
        let rounds = (f64::from(self.occupancy(now_ms)) + 1.0) / self.slots();
        rounds <= 1.0 || self.service_ms * rounds <= objective_ms as f64 * USABLE_OBJECTIVE_SHARE
    }

    /// Returns `true` if a new request would start at once.
    pub fn has_free_slot(&self, now_ms: u64) -> bool {
        self.occupancy(now_ms) < self.record.slots
    }

    fn slots(&self) -> f64 {
        f64::from(self.record.slots.max(1))
    }

    /// Records a success with the time per event that this process measured, in milliseconds.
    pub fn record_event_time(&mut self, now_ms: u64, ms_per_event: f64) {
        self.record_success();
        self.measured_at_ms = Some(now_ms);
        self.update_mean(ms_per_event, EVENT_TIME_SMOOTHING);
    }

    /// Records the time between two successive events of one output.
    pub fn record_event_gap(&mut self, now_ms: u64, gap_ms: f64) {
        self.last_gap = Some((now_ms, gap_ms));
    }

    /// Returns the time between two successive events a moment ago, if any output was generated then.
    pub fn recent_gap_ms(&self, now_ms: u64) -> Option<f64> {
        let (at_ms, gap_ms) = self.last_gap?;
        (now_ms <= at_ms + GAP_MAX_AGE_MS).then_some(gap_ms)
    }

    /// Merges the mean that another node measured into the mean of this endpoint.
    pub fn merge_peer_mean(&mut self, ms_per_event: f64) {
        self.update_mean(ms_per_event, PEER_MEAN_WEIGHT);
    }

    fn update_mean(&mut self, ms_per_event: f64, weight: f64) {
        self.ms_per_event = match self.ms_per_event {
            current if current > 0.0 => current + (ms_per_event - current) * weight,
            _ => ms_per_event,
        };
    }

    /// Sets the mean shared by all nodes, unless this process has a recent measurement.
    pub fn apply_shared_mean(&mut self, now_ms: u64, ms_per_event: f64) {
        let is_recent = |at_ms| now_ms < at_ms + MEASUREMENT_MAX_AGE_MS;
        if !self.measured_at_ms.is_some_and(is_recent) {
            self.ms_per_event = ms_per_event;
        }
    }

    /// Returns the mean time per event if this process measured it after the given time.
    pub fn measured_after(&self, after_ms: u64) -> Option<f64> {
        let at_ms = self.measured_at_ms?;
        (at_ms > after_ms).then_some(self.ms_per_event)
    }

    /// Records a failed request and pauses the endpoint, for longer after each consecutive failure.
    pub fn record_failure(&mut self, now_ms: u64) {
        let pause_ms = (FIRST_PAUSE_MS << self.failures.min(8)).min(LONGEST_PAUSE_MS);
        self.failures += 1;
        self.paused_until_ms = now_ms + pause_ms;
    }

    /// Records a refusal for lack of capacity and pauses the endpoint for at least the given
    /// time.
    pub fn record_overload(&mut self, now_ms: u64, pause_ms: u64) {
        self.paused_until_ms = self.paused_until_ms.max(now_ms + pause_ms);
    }

    /// Returns `true` if the endpoint is paused.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Returns the time at which the pause ends, which may be in the past.
    pub fn paused_until_ms(&self) -> u64 {
        self.paused_until_ms
    }

    /// Returns `true` if a request has failed since the last success.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the number of requests at the endpoint: the larger of this process's own and, if
    /// recent, the reported load.
    pub fn occupancy(&self, now_ms: u64) -> u32 {
        match self.load {
            Some((at_ms, load)) if now_ms < at_ms + LOAD_MAX_AGE_MS => self
                .in_flight
                .max(load.running.saturating_add(load.waiting)),
            _ => self.in_flight,
        }
    }
}
