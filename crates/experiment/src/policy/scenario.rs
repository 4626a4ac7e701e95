//! Scenario files, which describe load and faults for simulated endpoints.

use std::error::Error;
use std::path::Path;

use serde::Deserialize;

/// Endpoints, load and faults of a simulation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in reports and plots.
    pub name: Box<str>,
    /// Time during which requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// Time at the start whose requests the figures exclude, in milliseconds.
    #[serde(default)]
    pub warm_up_ms: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Approximate number of endpoints that a daemon of the current policy uses; all if absent.
    pub subset: Option<usize>,
    /// Groups of equal endpoints.
    pub endpoints: Vec<Group>,
    /// Timing and loss of load reports.
    #[serde(default)]
    pub reports: Reports,
    /// Request streams, which arrive independently.
    pub streams: Vec<Stream>,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Group of endpoints with equal slots and speed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Number of endpoints; they are assigned to the failure domains 0, 1 and 2 in turn.
    pub count: usize,
    /// Number of requests that each endpoint runs concurrently.
    pub slots: u32,
    /// Time for one token, in milliseconds.
    pub ms_per_token: f64,
}

/// Timing and loss of the load reports of endpoints.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// Interval between two reports of an endpoint, in milliseconds.
    pub interval_ms: u64,
    /// Age of a report when it arrives, in milliseconds.
    pub lag_ms: u64,
    /// Share of reports that are lost, from 0 to 1.
    pub gap_share: f64,
}

impl Default for Reports {
    fn default() -> Self {
        Self {
            interval_ms: 500,
            lag_ms: 0,
            gap_share: 0.0,
        }
    }
}

/// Origin of the requests of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// External callers.
    Caller,
    /// Rollouts of the trainer with this number.
    Rollout(u64),
}

/// Stream of requests with exponentially distributed times between arrivals.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Origin of the requests.
    pub kind: Kind,
    /// Offered load as a share of the capacity of all endpoints.
    pub load: f64,
    /// Time of the first arrival, in milliseconds.
    #[serde(default)]
    pub from_ms: u64,
    /// Time at which arrivals end, in milliseconds; the end of the scenario if absent.
    pub until_ms: Option<u64>,
    /// Minimum number of tokens in a response.
    pub least_tokens: u32,
    /// Maximum number of tokens in a response; the policy receives it as `max_tokens`.
    pub greatest_tokens: u32,
    /// Time from arrival to deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Number of distinct prompt prefixes; 0 if the prompts share none.
    #[serde(default)]
    pub prefixes: u64,
    /// Cost of a prefix that is not in the cache of the endpoint, in tokens.
    #[serde(default)]
    pub prefill_tokens: u32,
    /// Number of times that a caller sends a refused or failed request again.
    #[serde(default)]
    pub resends: u32,
}

/// Fault that the simulation injects.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// An endpoint crashes and recovers.
    Crash {
        /// Start, in milliseconds.
        at_ms: u64,
        /// Index of the endpoint.
        endpoint: usize,
        /// Time until it recovers, in milliseconds.
        down_ms: u64,
    },
    /// All endpoints of a failure domain crash and recover.
    Domain {
        /// Start, in milliseconds.
        at_ms: u64,
        /// Index of the failure domain.
        failure_domain: usize,
        /// Time until they recover, in milliseconds.
        down_ms: u64,
    },
    /// An endpoint refuses new requests and terminates after a grace period.
    Leave {
        /// Start, in milliseconds.
        at_ms: u64,
        /// Index of the endpoint.
        endpoint: usize,
        /// Time until it terminates, in milliseconds.
        grace_ms: u64,
    },
    /// The upper half of the daemons, by index, cannot reach a failure domain.
    Cut {
        /// Start, in milliseconds.
        at_ms: u64,
        /// Index of the failure domain.
        failure_domain: usize,
        /// Duration, in milliseconds.
        cut_ms: u64,
    },
    /// A caller sends a request that crashes each endpoint that runs it.
    CrashingRequest {
        /// Start, in milliseconds.
        at_ms: u64,
        /// Number of times that the caller sends it again.
        resends: u32,
    },
}

impl Scenario {
    /// Reads a scenario file, JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is not a valid scenario.
    pub fn read(path: &Path) -> Result<Self, Box<dyn Error>> {
        let file = std::fs::File::open(path)?;
        let scenario = serde_json::from_reader(json_comments::StripComments::new(file))?;
        Ok(scenario)
    }

    /// Returns the number of tokens that all endpoints together generate per second.
    pub fn tokens_per_second(&self) -> f64 {
        let of_group =
            |group: &Group| group.count as f64 * f64::from(group.slots) / group.ms_per_token;
        self.endpoints.iter().map(of_group).sum::<f64>() * 1_000.0
    }
}

impl Stream {
    /// Returns the mean cost of a request whose prefix is not cached, in tokens.
    pub fn mean_tokens(&self) -> f64 {
        f64::from(self.least_tokens + self.greatest_tokens) / 2.0 + f64::from(self.prefill_tokens)
    }
}

impl Fault {
    /// Returns the time at which the fault starts, in milliseconds.
    pub fn at_ms(&self) -> u64 {
        match *self {
            Self::Crash { at_ms, .. }
            | Self::Domain { at_ms, .. }
            | Self::Leave { at_ms, .. }
            | Self::Cut { at_ms, .. }
            | Self::CrashingRequest { at_ms, .. } => at_ms,
        }
    }
}
