//! Prometheus metrics of the daemon.
//!
//! Label values are names of services in force or constants of this program, never text that
//! a caller chooses.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// The metrics of one daemon.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests, by service, class and outcome.
    pub requests: IntCounterVec,
    /// Time from the start of a request to the end of its response, by service and class, in
    /// seconds.
    pub request_seconds: HistogramVec,
    /// Refused requests, by kind of problem and verdict.
    pub refusals: IntCounterVec,
    /// Attempts that failed at an endpoint, by service, verdict and kind of failure.
    pub failed_attempts: IntCounterVec,
    /// Calls to the platform, by kind and result.
    pub platform_calls: IntCounterVec,
    /// Service documents received, by result: `in-force` or `unreadable`.
    pub documents: IntCounterVec,
    /// Total size of the datagrams sent to other daemons, in bytes.
    pub digest_bytes: IntCounter,
    /// Received datagrams that can't be decoded.
    pub malformed_datagrams: IntCounter,
    /// Samples delivered without a score because the scorer did not answer.
    pub unscored_samples: IntCounter,
    /// Reads of records in the platform's store that can't be decoded; a record counts at each
    /// read.
    pub malformed_records: IntCounter,
    /// Number of the current membership view.
    pub view_number: IntGauge,
    /// Number of members of the current view.
    pub members: IntGauge,
    /// Number of claims that this daemon holds, for itself and for other daemons.
    pub claims: IntGauge,
    /// Number of claim partitions that are open in the current view.
    pub open_partitions: IntGauge,
    /// Transfers of the claims of one partition, by result.
    pub transfers: IntCounterVec,
    /// Attempts at samples of the steps that this daemon coordinates, by outcome.
    pub sample_attempts: IntCounterVec,
    /// Readiness: 1 if the daemon accepts requests, otherwise 0.
    pub ready: IntGauge,
    /// Number of requests in progress.
    pub in_flight: IntGauge,
    /// Number of endpoints, by service and state.
    pub endpoints: IntGaugeVec,
    /// Configuration revision in force, by service.
    pub revision: IntGaugeVec,
    /// Published weight version, by service.
    pub weight_version: IntGaugeVec,
}

const LATENCY_BUCKETS_S: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0,
];

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails only if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Self {
            requests: counter(
                "requests_total",
                "Requests",
                &["service", "class", "outcome"],
            )?,
            request_seconds: HistogramVec::new(
                HistogramOpts::new(
                    "wisteriapoint_request_seconds",
                    "Time to the end of the answer",
                )
                .buckets(LATENCY_BUCKETS_S.to_vec()),
                &["service", "class"],
            )?,
            refusals: counter("refusals_total", "Refusals", &["kind", "verdict"])?,
            failed_attempts: counter(
                "failed_attempts_total",
                "Attempts that failed at an endpoint",
                &["service", "verdict", "kind"],
            )?,
            platform_calls: counter(
                "platform_calls_total",
                "Calls to the platform",
                &["kind", "result"],
            )?,
            documents: counter("documents_total", "Documents received", &["result"])?,
            digest_bytes: IntCounter::new(
                "wisteriapoint_digest_bytes_total",
                "Bytes of datagrams sent to other daemons",
            )?,
            malformed_datagrams: IntCounter::new(
                "wisteriapoint_malformed_datagrams_total",
                "Datagrams received that break the protocol",
            )?,
            unscored_samples: IntCounter::new(
                "wisteriapoint_unscored_samples_total",
                "Samples that went out without a score",
            )?,
            malformed_records: IntCounter::new(
                "wisteriapoint_malformed_records_total",
                "Records in the platform's store that can't be read",
            )?,
            view_number: IntGauge::new("wisteriapoint_view_number", "Number of the view")?,
            members: IntGauge::new("wisteriapoint_members", "Members of the view")?,
            claims: IntGauge::new("wisteriapoint_claims", "Claims kept")?,
            open_partitions: IntGauge::new(
                "wisteriapoint_open_partitions",
                "Partitions of claims that are open",
            )?,
            transfers: counter(
                "transfers_total",
                "Transfers of a partition's claims",
                &["result"],
            )?,
            sample_attempts: counter("sample_attempts_total", "Attempts at samples", &["outcome"])?,
            ready: IntGauge::new("wisteriapoint_ready", "Whether the daemon takes requests")?,
            in_flight: IntGauge::new("wisteriapoint_in_flight", "Requests in progress")?,
            endpoints: gauge("endpoints", "Endpoints", &["service", "state"])?,
            revision: gauge("revision", "Revision in force", &["service"])?,
            weight_version: gauge("weight_version", "Published weight version", &["service"])?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// Records a finished request and its duration.
    pub fn record_request(&self, service: &str, class: &str, outcome: &str, elapsed: Duration) {
        let labels = [service, class, outcome];
        self.requests.with_label_values(&labels).inc();
        let seconds = self.request_seconds.with_label_values(&labels[..2]);
        seconds.observe(elapsed.as_secs_f64());
    }

    /// Returns the names of all metrics.
    pub fn names(&self) -> Vec<String> {
        let collectors = self.collectors();
        let descriptions = collectors.iter().flat_map(|collector| collector.desc());
        let names = descriptions.map(|description| description.fq_name.clone());
        names.collect()
    }

    /// Returns the metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let mut collectors = self.collectors().into_iter();
        collectors.try_for_each(|collector| self.registry.register(collector))
    }

    fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.requests.clone()),
            Box::new(self.request_seconds.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.failed_attempts.clone()),
            Box::new(self.platform_calls.clone()),
            Box::new(self.documents.clone()),
            Box::new(self.digest_bytes.clone()),
            Box::new(self.malformed_datagrams.clone()),
            Box::new(self.unscored_samples.clone()),
            Box::new(self.malformed_records.clone()),
            Box::new(self.view_number.clone()),
            Box::new(self.members.clone()),
            Box::new(self.claims.clone()),
            Box::new(self.open_partitions.clone()),
            Box::new(self.transfers.clone()),
            Box::new(self.sample_attempts.clone()),
            Box::new(self.ready.clone()),
            Box::new(self.in_flight.clone()),
            Box::new(self.endpoints.clone()),
            Box::new(self.revision.clone()),
            Box::new(self.weight_version.clone()),
        ]
    }
}

fn counter(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(format!("wisteriapoint_{name}"), help), labels)
}

fn gauge(name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec, prometheus::Error> {
    IntGaugeVec::new(Opts::new(format!("wisteriapoint_{name}"), help), labels)
}
