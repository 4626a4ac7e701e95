//! What a node needs translated between the platform and its own types.

use std::net::SocketAddr;

use hyper::{HeaderMap, Method, StatusCode, Uri};
use wisteriapoint_batch::{Page, Submission};
use wisteriapoint_directory::{Configuration, EndpointRecord, Load};
use wisteriapoint_store::TransactionalStore;
use wisteriapoint_types::{EndpointName, WeightVersion};

use crate::Error;

/// Translation between one platform and the types of a node.
///
/// It decides nothing and keeps nothing.
pub trait Dialect: 'static {
    /// The client of the platform's store.
    type Ledger: TransactionalStore;

    /// Prefix of the rows that the operator and the trainers write.
    const OPERATOR_PREFIX: &'static str;
    /// Key of the configuration, among them.
    const CONFIGURATION_KEY: &'static str;
    /// Prefix of the rows that the endpoints write.
    const ENDPOINTS_PREFIX: &'static str;

    /// Makes the client of a store at an address.
    fn ledger(address: SocketAddr) -> Self::Ledger;

    /// Reads a row of the operator or of a trainer.
    ///
    /// # Errors
    ///
    /// Fails if the row can't be understood.
    fn operator_row(key: &str, value: &[u8]) -> Result<OperatorRow, Error>;

    /// The endpoint that a row is about.
    fn endpoint_name(key: &str) -> Option<EndpointName>;

    /// Reads the row of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the row names no endpoint to use.
    fn endpoint_row(value: &[u8]) -> Result<EndpointRecord, Error>;

    /// The row that tells the operator that a VM holds nothing more.
    fn retired_row(vm: &str) -> (Box<str>, Vec<u8>);

    /// What a caller asks for.
    fn call(method: &Method, uri: &Uri) -> Call;

    /// Whether the balancer asks if the node is ready.
    fn is_ready_question(method: &Method, path: &str) -> bool;

    /// What a caller says of its request.
    fn arrival(headers: &HeaderMap) -> Arrival;

    /// Reads a batch job.
    ///
    /// # Errors
    ///
    /// Fails if it is malformed; says where.
    fn submission(body: &[u8]) -> Result<Submission, Error>;

    /// Writes results of a batch job.
    fn page(page: &Page) -> Vec<u8>;

    /// Adds what an endpoint has to know of a request.
    fn address(headers: &mut HeaderMap, addressed: &Addressed<'_>);

    /// Reads the head of an endpoint's answer.
    fn reply(status: StatusCode, headers: &HeaderMap) -> Reply;

    /// Removes what only this node may say to a caller from an endpoint's headers.
    fn is_internal_header(name: &str) -> bool;

    /// Adds when a caller may come back to a refusal.
    fn retry_after(headers: &mut HeaderMap, after_ms: u64);

    /// The weight version in a line of an event, if the line tells one.
    fn event_version(line: &str) -> Option<WeightVersion>;

    /// Path and body of an order.
    fn order(order: &VersionOrder<'_>) -> (&'static str, Vec<u8>);

    /// Path of an engine's report.
    const REPORT_PATH: &'static str;

    /// Reads an engine's report.
    ///
    /// # Errors
    ///
    /// Fails if it is malformed.
    fn report(body: &[u8]) -> Result<EngineReport, Error>;
}

/// A row that the operator or a trainer wrote.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRow {
    /// The newest configuration.
    Configuration(Configuration),
    /// The newest version of a model's weights.
    NamedVersion {
        /// The model.
        model: Box<str>,
        /// Its version.
        version: WeightVersion,
    },
    /// A VM with a disk is to be emptied.
    Retirement {
        /// The VM.
        vm: Box<str>,
    },
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Whatever its route says.
    Request,
    /// Results of a batch job.
    ReadResults {
        /// The batch job.
        job: Box<str>,
        /// Position of the first result.
        after: u32,
    },
    /// The body of an item.
    ReadBody {
        /// The batch job.
        job: Box<str>,
        /// The item.
        item: Box<str>,
    },
    /// The end of a batch job.
    EndJob {
        /// The batch job.
        job: Box<str>,
    },
}

/// What a caller says of its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Id of this attempt of the caller.
    pub id: Option<Box<str>>,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// How long a read may wait for a result, in milliseconds.
    pub wait_ms: Option<u64>,
    /// The last event that the caller has of a stream.
    pub last_event: Option<u64>,
}

/// What an endpoint has to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct Addressed<'a> {
    /// The id under which it runs.
    pub id: &'a str,
    /// The endpoint that is meant.
    pub endpoint: &'a EndpointName,
    /// Time that is left, in milliseconds; `None` for requests without a deadline.
    pub left_ms: Option<u64>,
    /// The last event that is known of a stream.
    pub last_event: Option<u64>,
}

/// The head of an endpoint's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    /// Id of the request that it answers.
    pub id: Option<Box<str>>,
    /// The endpoint's signature.
    pub seal: Option<Box<str>>,
    /// Whether the endpoint says that it has not run the request.
    pub is_not_run: bool,
    /// Whether the answer is for a request that another endpoint should have got.
    pub is_misdirected: bool,
    /// Whether the body is encoded, which no endpoint's body is.
    pub is_encoded: bool,
    /// Its load.
    pub load: Option<Load>,
    /// How long the connection may be idle, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// Whether the connection ends with this answer.
    pub closes: bool,
    /// Version of the weights that generate.
    pub version: Option<WeightVersion>,
}

/// An order to load a version.
#[derive(Debug, Clone, Copy)]
pub struct VersionOrder<'a> {
    /// The model.
    pub model: &'a str,
    /// The version.
    pub version: WeightVersion,
    /// Whether requests that run go on under the new version; else they end first.
    pub keeps_running: bool,
    /// Who gives the order.
    pub holder: &'a str,
    /// Fencing token.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before.
    pub expected_orders: Option<u64>,
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Weight version of each model.
    pub models: Vec<(Box<str>, WeightVersion)>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Number of orders that it has accepted.
    pub orders: u64,
}
