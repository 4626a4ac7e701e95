//! Prometheus metrics of a node.

use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use crate::Error;
use crate::error::Kind;

/// Upper bounds of the buckets of all histograms, in seconds: from one network hop to the longest
/// batch job.
const SECONDS_BUCKETS: &[f64] = &[
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 30.0,
];

/// The metrics of one node.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Callers' requests by route and outcome.
    pub requests: IntCounterVec,
    /// Time from a caller's request to the response by route, in seconds.
    pub request_seconds: HistogramVec,
    /// Requests sent to endpoints by service and outcome.
    pub sends: IntCounterVec,
    /// Time from the start of an item until output and score are complete by service, in seconds.
    pub item_seconds: HistogramVec,
    /// Items of batch jobs by outcome.
    pub items: IntCounterVec,
    /// Abandoned items of batch jobs by reason.
    pub abandoned_items: IntCounterVec,
    /// Decisions about requests suspected of crashing endpoints: `recorded`, `received`,
    /// `lost-answer`, `isolated`, `deferred`, `cleared`, `refused`, `stored`,
    /// `sent-again`, `evicted`, `untold` for a run without an answer of which no other node was told.
    pub suspects: IntCounterVec,
    /// Requests for permits at endpoints with a limit: `granted`, `denied`, and `unreachable` for a
    /// grantor that did not answer.
    pub limits: IntCounterVec,
    /// Streams that callers may take up again: `told` or `untold` when one begins; `own`, `holder`,
    /// `other`, `sole` or `unknown` by who knew what began one that is taken up.
    pub streams: IntCounterVec,
    /// Endpoints that stated that they are leaving, or of which other nodes told so.
    pub leaving_endpoints: IntCounter,
    /// Calls to the store by operation and result.
    pub store_calls: IntCounterVec,
    /// Orders to engines by HTTP status, or `none` for an order without a response.
    pub orders: IntCounterVec,
    /// Calls to the platform's API by duty and outcome.
    pub duty_calls: IntCounterVec,
    /// Requests without a valid key by reason; `old-knowledge` for those of a node that can't tell.
    pub unauthenticated: IntCounterVec,
    /// Refusals because of what is held for callers by reason: `account-full`, `no-progress`,
    /// `connections` for a connection closed in favour of another one.
    pub intake_refusals: IntCounterVec,
    /// Gauges of the node's state: `ready`, `keeper`, `configuration_version`, `endpoints`,
    /// `open_jobs`, `cut_off`.
    pub state: IntGaugeVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails only if two metrics have the same name.
    pub fn new() -> Result<Self, Error> {
        let register_all = || -> Result<Self, prometheus::Error> {
            let registry = Registry::new();
            let metrics = Self {
                requests: counter("requests_total", "Requests", &["route", "outcome"])?,
                request_seconds: histogram("request_seconds", "Time to the answer", &["route"])?,
                sends: counter("sends_total", "Sends to endpoints", &["service", "outcome"])?,
                item_seconds: histogram("item_seconds", "Time of an item", &["service"])?,
                items: counter("items_total", "Items of batch jobs", &["outcome"])?,
                abandoned_items: counter(
                    "abandoned_items_total",
                    "Abandoned items of batch jobs",
                    &["reason"],
                )?,
                suspects: counter(
                    "crash_suspects_total",
                    "Decisions about crash suspects",
                    &["decision"],
                )?,
                limits: counter(
                    "limit_permits_total",
                    "Permits at endpoints with a limit",
                    &["decision"],
                )?,
                streams: counter("streams_total", "Resumable streams", &["record"])?,
                leaving_endpoints: IntCounter::new(
                    "wisteriapoint_leaving_endpoints_total",
                    "Endpoints that stated that they are leaving",
                )?,
                store_calls: counter("store_calls_total", "Calls", &["call", "result"])?,
                orders: counter("orders_total", "Orders to engines", &["reply"])?,
                duty_calls: counter(
                    "duty_calls_total",
                    "Calls to the platform's API",
                    &["duty", "outcome"],
                )?,
                unauthenticated: counter(
                    "unauthenticated_requests_total",
                    "Requests without a valid key",
                    &["reason"],
                )?,
                intake_refusals: counter(
                    "intake_refusals_total",
                    "Refusals because of what is held for callers",
                    &["reason"],
                )?,
                state: IntGaugeVec::new(
                    Opts::new("wisteriapoint_state", "State of the node"),
                    &["of"],
                )?,
                registry,
            };
            let registry = &metrics.registry;
            registry.register(Box::new(metrics.requests.clone()))?;
            registry.register(Box::new(metrics.request_seconds.clone()))?;
            registry.register(Box::new(metrics.sends.clone()))?;
            registry.register(Box::new(metrics.item_seconds.clone()))?;
            registry.register(Box::new(metrics.items.clone()))?;
            registry.register(Box::new(metrics.abandoned_items.clone()))?;
            registry.register(Box::new(metrics.suspects.clone()))?;
            registry.register(Box::new(metrics.limits.clone()))?;
            registry.register(Box::new(metrics.streams.clone()))?;
            registry.register(Box::new(metrics.leaving_endpoints.clone()))?;
            registry.register(Box::new(metrics.store_calls.clone()))?;
            registry.register(Box::new(metrics.orders.clone()))?;
            registry.register(Box::new(metrics.duty_calls.clone()))?;
            registry.register(Box::new(metrics.unauthenticated.clone()))?;
            registry.register(Box::new(metrics.intake_refusals.clone()))?;
            registry.register(Box::new(metrics.state.clone()))?;
            Ok(metrics)
        };
        register_all().map_err(|error| Kind::Metrics(error).into())
    }

    /// Counts a caller's request and observes its time.
    pub fn record_request(&self, route: &str, outcome: &str, elapsed_ms: u64) {
        self.requests.with_label_values(&[route, outcome]).inc();
        let elapsed = Duration::from_millis(elapsed_ms);
        self.request_seconds
            .with_label_values(&[route])
            .observe(elapsed.as_secs_f64());
    }

    /// Sets the state gauge whose label is `of`.
    pub fn set_state(&self, of: &str, value: i64) {
        self.state.with_label_values(&[of]).set(value);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            crate::event!(warn, "metrics could not be encoded", error = error);
        }
        text
    }
}

fn counter(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(format!("wisteriapoint_{name}"), help), labels)
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(format!("wisteriapoint_{name}"), help);
    HistogramVec::new(options.buckets(SECONDS_BUCKETS.to_vec()), labels)
}
