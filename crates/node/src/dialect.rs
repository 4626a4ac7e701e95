//! Interface through which a node translates between the platform's formats and its own types.

use std::io;
use std::net::SocketAddr;

use hyper::{HeaderMap, Method, StatusCode, Uri};
use tokio::net::TcpStream;
use wisteriapoint_batch::{Page, Submission};
use wisteriapoint_directory::{Configuration, EndpointRecord, Load, StatedLimit};
use wisteriapoint_duties::DutyClient;
use wisteriapoint_store::TransactionalStore;
use wisteriapoint_types::{EndpointName, WeightVersion};
use wisteriapoint_workspace::Credential;

use crate::Error;

/// Translation between one platform and the types of a node.
///
/// Implementations only parse and encode: they make no decisions and hold no state.
pub trait Dialect: 'static {
    /// Client of the platform's store.
    type Store: TransactionalStore;
    /// Client of the platform's API.
    type DutyClient: DutyClient;

    /// Prefix of the rows that operators and trainers write.
    const OPERATOR_PREFIX: &'static str;
    /// Key of the configuration, under [`OPERATOR_PREFIX`](Self::OPERATOR_PREFIX).
    const CONFIGURATION_KEY: &'static str;
    /// Prefix of the rows that endpoints write about themselves.
    const ENDPOINTS_PREFIX: &'static str;

    /// Creates a client of the store at an address.
    fn open_store(address: SocketAddr) -> Self::Store;

    /// Creates a client of the platform's API at an address.
    fn open_duties(address: SocketAddr) -> Self::DutyClient;

    /// Opens a connection to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint does not accept the connection.
    fn connect(address: SocketAddr) -> impl Future<Output = io::Result<TcpStream>> {
        TcpStream::connect(address)
    }

    /// Parses a row of an operator or a trainer.
    ///
    /// # Errors
    ///
    /// Fails if the key is unknown or the value malformed.
    fn parse_operator_row(key: &str, value: &[u8]) -> Result<OperatorRow, Error>;

    /// Returns the endpoint that a row describes, by the row's key.
    fn endpoint_name(key: &str) -> Option<EndpointName>;

    /// Parses the row of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the row is malformed; such an endpoint is not used.
    fn parse_endpoint_row(value: &[u8]) -> Result<EndpointRecord, Error>;

    /// Returns `true` if the row of an endpoint says that the platform may reclaim it.
    fn is_spot_row(value: &[u8]) -> bool;

    /// Returns the row that reports to operators that a VM holds no more data.
    fn retired_row(vm: &str) -> (Box<str>, Vec<u8>);

    /// Returns the operation that a caller requests.
    fn classify_request(method: &Method, uri: &Uri) -> Operation;

    /// Returns `true` if a request is the balancer's readiness probe.
    fn is_readiness_probe(method: &Method, path: &str) -> bool;

    /// Parses the metadata in the headers of a caller's request.
    fn parse_inbound_metadata(headers: &HeaderMap) -> InboundMetadata;

    /// Parses the submission of a batch job, and checks that the bodies in it can be decoded.
    ///
    /// # Errors
    ///
    /// Fails if it is malformed; the error says where. Also fails if its items take more than
    /// `max_items_bytes` in memory.
    fn parse_submission(body: &[u8], max_items_bytes: usize) -> Result<Submission, Error>;

    /// Decodes a body from its text in a submission.
    ///
    /// # Errors
    ///
    /// Fails if it is malformed, as no body is in a submission that was parsed.
    fn decode_body(text: &[u8]) -> Result<Vec<u8>, Error>;

    /// Encodes a page of results of a batch job.
    fn encode_page(page: &Page) -> Vec<u8>;

    /// Adds the headers in which a request to an endpoint carries its metadata.
    fn set_outbound_headers(headers: &mut HeaderMap, outbound: &OutboundMetadata<'_>);

    /// Parses the head of an endpoint's response.
    fn parse_response_head(status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Returns `true` for a header of endpoints that must not be passed on to callers.
    fn is_internal_header(name: &str) -> bool;

    /// Returns `true` for a header by which a request states who sends it.
    fn is_identity_header(name: &str) -> bool;

    /// Adds the header that states after which time a refused caller may retry, in milliseconds.
    fn set_retry_after(headers: &mut HeaderMap, after_ms: u64);

    /// Returns the weight version in a line of a streamed event, if the line carries one.
    fn event_version(line: &str) -> Option<WeightVersion>;

    /// Returns path and body of an order to an engine.
    fn encode_order(order: &VersionOrder<'_>) -> (&'static str, Vec<u8>);

    /// Path at which an engine serves its report.
    const REPORT_PATH: &'static str;

    /// Parses an engine's report.
    ///
    /// # Errors
    ///
    /// Fails if it is malformed.
    fn parse_report(body: &[u8]) -> Result<EngineReport, Error>;
}

/// A row written by an operator or a trainer.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRow {
    /// The operators' configuration.
    Configuration(Configuration),
    /// The newest weight version that a trainer has published for a model.
    PublishedVersion {
        /// Name of the model.
        model: Box<str>,
        /// The published version.
        version: WeightVersion,
    },
    /// A VM with a disk is to be retired, so it must hold no more data.
    Retirement {
        /// Name of the VM.
        vm: Box<str>,
    },
}

/// An operation that a caller requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// A request that is handled by its route.
    Request,
    /// Reads results of a batch job.
    ReadResults {
        /// Id of the batch job.
        job: Box<str>,
        /// Position of the first result to return.
        after: u32,
    },
    /// Reads the body of an item.
    ReadBody {
        /// Id of the batch job.
        job: Box<str>,
        /// Id of the item.
        item: Box<str>,
    },
    /// Ends a batch job.
    EndJob {
        /// Id of the batch job.
        job: Box<str>,
    },
}

/// Metadata in the headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InboundMetadata {
    /// Id that the caller gave to this attempt.
    pub id: Option<Box<str>>,
    /// Time for which the caller waits for the response, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Time for which a read may wait for a result, in milliseconds.
    pub wait_ms: Option<u64>,
    /// Id of the last event of a stream that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the attempt at which the caller received the first event of that stream.
    pub first_attempt: Option<Box<str>>,
    /// Credential of the caller.
    pub credential: Credential,
}

/// Metadata that a node sends to an endpoint in the headers of a request.
#[derive(Debug, Clone, Copy)]
pub struct OutboundMetadata<'a> {
    /// Id of the attempt; empty for requests without one.
    pub id: &'a str,
    /// Endpoint that the request is meant for; another one at its address rejects the request.
    pub endpoint: &'a EndpointName,
    /// Time until the deadline, in milliseconds; `None` for requests without a deadline.
    pub remaining_ms: Option<u64>,
    /// Id of the last event of a stream that this node has received.
    pub last_event: Option<u64>,
    /// Name of the workspace that sent the request, if it has one.
    pub workspace: Option<&'a str>,
}

/// Parsed head of an endpoint's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the attempt to which the endpoint responds.
    pub id: Option<Box<str>>,
    /// The endpoint's signature on the response.
    pub signature: Option<Box<str>>,
    /// Whether the endpoint reports that it has not run the request.
    pub is_not_run: bool,
    /// Whether the endpoint rejected the request as meant for another endpoint.
    pub is_misdirected: bool,
    /// Whether the body has a content encoding, which bodies of endpoints never have.
    pub is_encoded: bool,
    /// Load that the endpoint reported.
    pub load: Option<Load>,
    /// Whether the endpoint stated that it is leaving.
    pub is_leaving: bool,
    /// Limit on the requests of all nodes that the endpoint stated.
    pub limit: StatedLimit,
    /// Time for which the connection may be idle, in milliseconds.
    pub keep_alive_ms: Option<u64>,
    /// Whether the endpoint closes the connection after this response.
    pub closes: bool,
    /// Weight version with which the endpoint generates the response.
    pub version: Option<WeightVersion>,
}

/// An order to an engine to load a weight version.
#[derive(Debug, Clone, Copy)]
pub struct VersionOrder<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Version to load.
    pub version: WeightVersion,
    /// Whether running requests continue with the new version; otherwise they complete first.
    pub keeps_running: bool,
    /// VM of the leader that sends the order.
    pub holder: &'a str,
    /// Fencing token of the leader.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before this one; `None` skips the check.
    pub expected_orders: Option<u64>,
}

/// An engine's report of its own state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Loaded weight version of each model.
    pub models: Vec<(Box<str>, WeightVersion)>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
}
