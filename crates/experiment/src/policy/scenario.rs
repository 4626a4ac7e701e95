//! Scenario files: what happens to a fleet of fake endpoints.

use std::error::Error;
use std::path::Path;

use serde::Deserialize;

/// One scenario of load and faults.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name in the figures.
    pub name: Box<str>,
    /// Length of the arrivals, in milliseconds.
    pub duration_ms: u64,
    /// Time at the start whose requests don't count, in milliseconds.
    #[serde(default)]
    pub warm_up_ms: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Endpoints that a daemon of the present policy uses; all if it is absent.
    pub subset: Option<usize>,
    /// The endpoints.
    pub endpoints: Vec<Group>,
    /// How endpoints report their load.
    #[serde(default)]
    pub reports: Reports,
    /// The streams of requests.
    pub streams: Vec<Stream>,
    /// What fails.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Endpoints that are alike.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// How many; they take the failure domains 0, 1 and 2 in turn.
    pub count: usize,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Time for one token, in milliseconds.
    pub ms_per_token: f64,
}

/// How endpoints report their load.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// Time between two reports of an endpoint, in milliseconds.
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

/// Who waits for the answers of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Callers.
    Caller,
    /// The trainer with this number.
    Rollout(u64),
}

/// A stream of requests with random times between arrivals.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Who waits.
    pub kind: Kind,
    /// Offered load as a share of the capacity of all endpoints.
    pub load: f64,
    /// Start, in milliseconds.
    #[serde(default)]
    pub from_ms: u64,
    /// End, in milliseconds; the end of the scenario if it is absent.
    pub until_ms: Option<u64>,
    /// Least tokens of an answer.
    pub least_tokens: u32,
    /// Greatest tokens of an answer, which the policy is told.
    pub greatest_tokens: u32,
    /// Time from arrival to deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Number of different beginnings of prompts; 0 if they share none.
    #[serde(default)]
    pub prefixes: u64,
    /// Cost of a beginning that is not in an endpoint's cache, in tokens.
    #[serde(default)]
    pub prefill_tokens: u32,
    /// How often a caller sends a refused or failed request again.
    #[serde(default)]
    pub resends: u32,
}

/// Something that fails.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    /// An endpoint crashes and comes back.
    Crash {
        /// When, in milliseconds.
        at_ms: u64,
        /// Index of the endpoint.
        endpoint: usize,
        /// Time until it is back, in milliseconds.
        down_ms: u64,
    },
    /// All endpoints of a failure domain crash and come back.
    Domain {
        /// When, in milliseconds.
        at_ms: u64,
        /// The failure domain.
        failure_domain: usize,
        /// Time until they are back, in milliseconds.
        down_ms: u64,
    },
    /// An endpoint takes no new work and is gone a while later.
    Leave {
        /// When, in milliseconds.
        at_ms: u64,
        /// Index of the endpoint.
        endpoint: usize,
        /// Time until it is gone, in milliseconds.
        grace_ms: u64,
    },
    /// The upper half of the daemons can't reach a failure domain.
    Cut {
        /// When, in milliseconds.
        at_ms: u64,
        /// The failure domain.
        failure_domain: usize,
        /// How long, in milliseconds.
        cut_ms: u64,
    },
    /// A caller sends a request that crashes the endpoint which runs it.
    CrashingRequest {
        /// When, in milliseconds.
        at_ms: u64,
        /// How often the caller sends it again.
        resends: u32,
    },
}

impl Scenario {
    /// Reads a scenario file, JSON with comments.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or doesn't describe a scenario.
    pub fn read(path: &Path) -> Result<Self, Box<dyn Error>> {
        let file = std::fs::File::open(path)?;
        let scenario = serde_json::from_reader(json_comments::StripComments::new(file))?;
        Ok(scenario)
    }

    /// Tokens that all endpoints generate in a second.
    pub fn tokens_per_second(&self) -> f64 {
        let of_group =
            |group: &Group| group.count as f64 * f64::from(group.slots) / group.ms_per_token;
        self.endpoints.iter().map(of_group).sum::<f64>() * 1_000.0
    }
}

impl Stream {
    /// Mean cost of a request without help of a cache, in tokens.
    pub fn mean_tokens(&self) -> f64 {
        f64::from(self.least_tokens + self.greatest_tokens) / 2.0 + f64::from(self.prefill_tokens)
    }
}

impl Fault {
    /// When it happens, in milliseconds.
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
