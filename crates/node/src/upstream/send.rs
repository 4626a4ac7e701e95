//! Sending of one request to one endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use tokio::time::timeout;
use wisteriapoint_directory::StatedLimit;
use wisteriapoint_types::{EndpointName, Verdict};

use super::pool::{Path, RequestKey};
use super::{Pool, PooledConnection, ResponseBuffer};
use crate::dialect::{Dialect, OutboundMetadata, ResponseHead};
use crate::event;

/// Largest response body that is read into memory.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Largest body of a response to this node's own requests: reports and answers to orders.
const MAX_EXCHANGE_BYTES: usize = 1 << 20;
/// Largest body of a refusal that is read so that its connection can be reused.
const MAX_REFUSAL_BYTES: usize = 4_096;
/// Timeout for that body: it normally arrives with the head, and a longer wait costs more than
/// a new connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(5);

/// A request to an endpoint; it may be sent to several endpoints in turn.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, without an authority.
    pub uri: Uri,
    /// Headers to forward; the dialect adds its own to them.
    pub headers: HeaderMap,
    /// Complete body, shared between sends.
    pub body: Bytes,
}

/// A response whose head has been received and checked, and whose body has not been read.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers of the response.
    pub headers: HeaderMap,
    /// Values parsed from the status and the headers.
    pub head: ResponseHead,
    /// Body, not yet read.
    pub body: Incoming,
    /// Connection to return to the pool once the body has been read.
    pub connection: PooledConnection,
}

/// A send that got no valid response from its endpoint.
#[derive(Debug, Clone)]
pub struct SendFailure {
    /// States whether the request may have run.
    pub verdict: Verdict,
    /// Error text; callers may receive it.
    pub reason: Box<str>,
    /// `true` if the connection failed after the request was sent, as it does when the endpoint
    /// crashes.
    pub connection_lost: bool,
    /// `true` if nothing was received until the request was given up.
    pub was_silent: bool,
    /// `true` if no connection could be made.
    pub is_unreachable: bool,
    /// `true` if the endpoint refused the request, which is treated as a lack of capacity.
    pub was_overloaded: bool,
    /// `true` if the endpoint's response stated that it is leaving.
    pub is_leaving: bool,
    /// What the response said about the limit of the endpoint; `None` without a response.
    pub limit: Option<StatedLimit>,
}

impl SendFailure {
    fn new(verdict: Verdict, reason: impl ToString) -> Self {
        Self {
            verdict,
            reason: reason.to_string().into(),
            connection_lost: false,
            was_silent: false,
            is_unreachable: false,
            was_overloaded: false,
            is_leaving: false,
            limit: None,
        }
    }

    /// Returns a failure after which the request may have run.
    ///
    /// Used when this node ended the send or can't use the endpoint's response.
    pub fn ambiguous(reason: impl ToString) -> Self {
        Self::new(Verdict::MayHaveRun, reason)
    }

    /// Returns the failure of a request that this node has given up, as nothing was received in time.
    pub fn silent(reason: impl ToString) -> Self {
        Self {
            was_silent: true,
            ..Self::ambiguous(reason)
        }
    }

    /// Returns the failure of a request for which no connection could be made.
    fn unreachable(reason: impl ToString) -> Self {
        Self {
            is_unreachable: true,
            ..Self::new(Verdict::NotRun, reason)
        }
    }

    /// Returns the failure of a request that was sent and got no valid response head.
    fn no_response(error: hyper::Error) -> Self {
        match error.is_parse() {
            true => Self::ambiguous(error),
            false => Self::connection_lost(error),
        }
    }

    /// Returns the failure of a request whose connection was lost before the response was complete.
    pub fn connection_lost(reason: impl ToString) -> Self {
        Self {
            connection_lost: true,
            ..Self::new(Verdict::MayHaveRun, reason)
        }
    }
}

/// Sends a request and waits for the head of its response.
///
/// Fails on a response that reports the request as not run, and on a response to another request.
///
/// # Errors
///
/// Fails without a valid response; the verdict states whether the request may have run.
pub async fn send<D: Dialect>(
    pool: &Pool,
    address: SocketAddr,
    upstream_request: &UpstreamRequest,
    outbound: OutboundMetadata<'_>,
) -> Result<UpstreamResponse, SendFailure> {
    let key = RequestKey::new(outbound.id, &upstream_request.method);
    let mut connection = match pool.take_idle(outbound.endpoint, &key, |_| true) {
        Some(connection) => connection,
        None => connect::<D>(pool, address, outbound.endpoint).await?,
    };
    let request = build_request::<D>(upstream_request, outbound)?;
    let response = match connection
        .begin_request(&key)
        .try_send_request(request)
        .await
    {
        Ok(response) => response,
        Err(mut error) => match error.take_message() {
            // The pooled connection was closed before a byte of the request was sent.
            Some(request) => {
                pool.close_idle(outbound.endpoint);
                connection = connect::<D>(pool, address, outbound.endpoint).await?;
                let response = connection.begin_request(&key).send_request(request).await;
                response.map_err(SendFailure::no_response)?
            }
            None => return Err(SendFailure::no_response(error.into_error())),
        },
    };
    connection.end_head();
    let (parts, body) = response.into_parts();
    check_status(parts.status)?;
    let head = D::parse_response_head(parts.status, &parts.headers);
    check_id(&head, parts.status, outbound, &connection)?;
    if let Err(mut failure) = check_response(&head, parts.status) {
        failure.limit = Some(head.limit);
        failure.is_leaving = head.is_leaving && !head.is_misdirected;
        if failure.verdict == Verdict::NotRun {
            drain_refusal(head, body, connection).await;
        }
        return Err(failure);
    }
    Ok(UpstreamResponse {
        status: parts.status,
        headers: parts.headers,
        head,
        body,
        connection,
    })
}

/// Response to a request of this node itself.
#[derive(Debug)]
pub struct ExchangeResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
    /// Whether the endpoint stated that it is leaving.
    pub is_leaving: bool,
}

/// Sends a request of this node and returns the response, whatever its status.
///
/// `may_send` is called once the connection is open, which may be after a long pause of this VM.
///
/// # Errors
///
/// Same as [`send`], except that of the response only the status and the id are checked. Also fails if `may_send`
/// returns `false`; the request has not run then.
pub async fn exchange<D: Dialect>(
    pool: &Pool,
    address: SocketAddr,
    upstream_request: &UpstreamRequest,
    outbound: OutboundMetadata<'_>,
    may_send: impl Fn() -> bool,
) -> Result<ExchangeResponse, SendFailure> {
    let key = RequestKey::new(outbound.id, &upstream_request.method);
    // Endpoints tell senders apart by their addresses, so no other node may connect for these.
    let mut connection = match pool.take_idle(outbound.endpoint, &key, |path| path == Path::Direct)
    {
        Some(connection) => connection,
        None => {
            let connected = pool.connect_directly::<D>(outbound.endpoint, address);
            connected.await.map_err(SendFailure::unreachable)?
        }
    };
    if !may_send() {
        return Err(SendFailure::new(
            Verdict::NotRun,
            "not sent: no longer permitted",
        ));
    }
    let request = build_request::<D>(upstream_request, outbound)?;
    let response = connection.begin_request(&key).send_request(request).await;
    let response = response.map_err(SendFailure::no_response)?;
    connection.end_head();
    let status = response.status();
    check_status(status)?;
    let head = D::parse_response_head(status, response.headers());
    check_id(&head, status, outbound, &connection)?;
    let body = read_to_end(response.into_body(), connection.buffer(MAX_EXCHANGE_BYTES)).await?;
    connection.release(&head);
    Ok(ExchangeResponse {
        status,
        body,
        is_leaving: head.is_leaving && !head.is_misdirected,
    })
}

/// Reads a complete body.
async fn read_to_end(mut body: Incoming, mut buffer: ResponseBuffer) -> Result<Bytes, SendFailure> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(SendFailure::connection_lost)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !buffer.try_extend(&data) {
            return Err(SendFailure::ambiguous("body too large"));
        }
    }
    Ok(buffer.into_bytes())
}

/// Reads the body of a refusal so that its connection can be reused.
async fn drain_refusal(head: ResponseHead, body: Incoming, connection: PooledConnection) {
    let collected = Limited::new(body, MAX_REFUSAL_BYTES).collect();
    if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, collected).await {
        connection.release(&head);
    }
}

async fn connect<D: Dialect>(
    pool: &Pool,
    address: SocketAddr,
    endpoint: &EndpointName,
) -> Result<PooledConnection, SendFailure> {
    let connected = pool.connect::<D>(endpoint, address).await;
    connected.map_err(SendFailure::unreachable)
}

fn build_request<D: Dialect>(
    upstream_request: &UpstreamRequest,
    outbound: OutboundMetadata<'_>,
) -> Result<Request<Full<Bytes>>, SendFailure> {
    let mut request = Request::new(Full::new(upstream_request.body.clone()));
    *request.method_mut() = upstream_request.method.clone();
    *request.uri_mut() = upstream_request.uri.clone();
    *request.headers_mut() = upstream_request.headers.clone();
    D::set_outbound_headers(request.headers_mut(), &outbound);
    Ok(request)
}

fn check_id(
    head: &ResponseHead,
    status: StatusCode,
    outbound: OutboundMetadata<'_>,
    connection: &PooledConnection,
) -> Result<(), SendFailure> {
    let response_id = head.id.as_deref();
    if response_id.unwrap_or_default() == outbound.id {
        return Ok(());
    }
    event!(
        info,
        "response without the id of its request; connection closed",
        id = outbound.id,
        endpoint = outbound.endpoint,
        response_id = response_id.unwrap_or_default(),
        status = status.as_u16(),
        sent_requests = connection.sent_requests(),
    );
    let reason = match response_id {
        Some(_) => "answer to another request",
        None => "answer without the id of a request",
    };
    Err(SendFailure::new(Verdict::MayHaveRun, reason))
}

/// Checks that a response is a final answer of HTTP. Whatever else it states can't be relied on.
fn check_status(status: StatusCode) -> Result<(), SendFailure> {
    match status.as_u16() {
        200..=599 => Ok(()),
        number => Err(SendFailure::ambiguous(format_args!(
            "status {number} is no final answer"
        ))),
    }
}

fn check_response(head: &ResponseHead, status: StatusCode) -> Result<(), SendFailure> {
    match head {
        _ if head.is_misdirected => Err(SendFailure::new(
            Verdict::NotRun,
            "another endpoint has the address",
        )),
        _ if head.is_not_run => Err(SendFailure {
            was_overloaded: true,
            ..SendFailure::new(Verdict::NotRun, format_args!("refused with {status}"))
        }),
        _ if head.is_encoded => Err(SendFailure::new(Verdict::MayHaveRun, "encoded answer")),
        _ if status.is_success() && head.signature.is_none() => Err(SendFailure::new(
            Verdict::MayHaveRun,
            "success without the endpoint's seal",
        )),
        _ => Ok(()),
    }
}

impl UpstreamResponse {
    /// Reads the complete body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early or is too large; the request may have run.
    pub async fn read_body(self) -> Result<Bytes, SendFailure> {
        let Self {
            head,
            body,
            connection,
            ..
        } = self;
        let body = read_to_end(body, connection.buffer(MAX_RESPONSE_BYTES)).await?;
        connection.release(&head);
        Ok(body)
    }
}
