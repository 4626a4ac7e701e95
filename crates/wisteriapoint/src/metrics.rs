//! Counters and histograms.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// The metrics of one daemon.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service, class and outcome.
    pub requests: IntCounterVec,
    /// Time to the end of the answer by service and class, in seconds.
    pub request_seconds: HistogramVec,
    /// Attempts that failed at an endpoint, by service and verdict.
    pub failed_attempts: IntCounterVec,
    /// Calls to the platform by kind and result.
    pub platform_calls: IntCounterVec,
    /// Documents by result: `in-force` or `unreadable`.
    pub documents: IntCounterVec,
    /// Bytes of datagrams sent to other daemons.
    pub control_bytes: IntCounter,
    /// Datagrams received that break the protocol.
    pub malformed_datagrams: IntCounter,
    /// Number of the view in force.
    pub view_number: IntGauge,
    /// Members of the view in force.
    pub members: IntGauge,
    /// Claims kept for other daemons and this one.
    pub claims: IntGauge,
}

impl Metrics {
    /// Makes a registry with all metrics at zero.
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
                ),
                &["service", "class"],
            )?,
            failed_attempts: counter(
                "failed_attempts_total",
                "Attempts that failed at an endpoint",
                &["service", "verdict"],
            )?,
            platform_calls: counter(
                "platform_calls_total",
                "Calls to the platform",
                &["kind", "result"],
            )?,
            documents: counter("documents_total", "Documents received", &["result"])?,
            control_bytes: IntCounter::new(
                "wisteriapoint_digest_bytes_total",
                "Bytes of datagrams sent to other daemons",
            )?,
            malformed_datagrams: IntCounter::new(
                "wisteriapoint_malformed_datagrams_total",
                "Datagrams received that break the protocol",
            )?,
            view_number: IntGauge::new("wisteriapoint_view_number", "Number of the view")?,
            members: IntGauge::new("wisteriapoint_members", "Members of the view")?,
            claims: IntGauge::new("wisteriapoint_claims", "Claims kept")?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// The metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let registry = &self.registry;
        registry.register(Box::new(self.requests.clone()))?;
        registry.register(Box::new(self.request_seconds.clone()))?;
        registry.register(Box::new(self.failed_attempts.clone()))?;
        registry.register(Box::new(self.platform_calls.clone()))?;
        registry.register(Box::new(self.documents.clone()))?;
        registry.register(Box::new(self.control_bytes.clone()))?;
        registry.register(Box::new(self.malformed_datagrams.clone()))?;
        registry.register(Box::new(self.view_number.clone()))?;
        registry.register(Box::new(self.members.clone()))?;
        registry.register(Box::new(self.claims.clone()))
    }
}

fn counter(name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(format!("wisteriapoint_{name}"), help), labels)
}
