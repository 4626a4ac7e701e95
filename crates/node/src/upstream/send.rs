//! One request to one endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use tokio::time::timeout;
use wisteriapoint_types::{EndpointName, Verdict};

use super::{Pool, PooledConnection};
use crate::dialect::{Dialect, OutboundMetadata, ResponseHead};

/// Largest answer that is held in memory as a whole, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Largest body of a refusal that is read for the sake of its connection, in bytes.
const MAX_REFUSAL_BYTES: usize = 4_096;
/// Time for it: it comes with the head, or the connection is not worth it.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(5);

/// A request that may be sent to several endpoints, one after the other.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers of the caller that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The head of an answer to this very request, and its body to come.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// What they say.
    pub reply: ResponseHead,
    /// The body.
    pub body: Incoming,
    /// The connection, to be given back after the body.
    pub connection: PooledConnection,
}

/// Why a send gave no answer of the endpoint that was meant.
#[derive(Debug, Clone)]
pub struct SendFailure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What happened.
    pub reason: Box<str>,
    /// Whether the endpoint broke off, as it does when it crashes.
    pub connection_lost: bool,
    /// Whether the endpoint said that it has no room.
    pub was_overloaded: bool,
}

impl SendFailure {
    fn new(verdict: Verdict, reason: impl ToString) -> Self {
        Self {
            verdict,
            reason: reason.to_string().into(),
            connection_lost: false,
            was_overloaded: false,
        }
    }

    /// A send that this node ended, or that no answer of the endpoint's can be made of.
    pub fn ambiguous(reason: impl ToString) -> Self {
        Self::new(Verdict::MayHaveRun, reason)
    }

    fn connection_lost(reason: impl ToString) -> Self {
        Self {
            connection_lost: true,
            ..Self::new(Verdict::MayHaveRun, reason)
        }
    }
}

/// Sends a request and waits for the head of its answer.
///
/// Answers that say "not run" and answers to other requests are failures.
///
/// # Errors
///
/// The failure says whether the request may have run.
pub async fn send<D: Dialect>(
    pool: &Pool,
    address: SocketAddr,
    upstream_request: &UpstreamRequest,
    addressed: OutboundMetadata<'_>,
) -> Result<UpstreamResponse, SendFailure> {
    let mut connection = match pool.take_idle(addressed.endpoint) {
        Some(connection) => connection,
        None => connect(pool, address, addressed.endpoint).await?,
    };
    let request = build_request::<D>(upstream_request, addressed)?;
    let response = match connection.sender().try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => match error.take_message() {
            // The kept connection had ended before a byte of the request left.
            Some(request) => {
                pool.close_idle(addressed.endpoint);
                connection = connect(pool, address, addressed.endpoint).await?;
                let response = connection.sender().send_request(request).await;
                response.map_err(SendFailure::connection_lost)?
            }
            None => return Err(SendFailure::connection_lost(error.into_error())),
        },
    };
    let (head, body) = response.into_parts();
    let reply = D::parse_response_head(head.status, &head.headers);
    if let Err(failure) = check_response(&reply, head.status, addressed.id) {
        if failure.verdict == Verdict::NotRun {
            drain_refusal(reply, body, connection).await;
        }
        return Err(failure);
    }
    Ok(UpstreamResponse {
        status: head.status,
        headers: head.headers,
        reply,
        body,
        connection,
    })
}

/// Asks an endpoint about itself and reads the whole answer, whatever its status.
///
/// `may_send` is asked once the connection stands, which may be after a long pause of this VM.
///
/// # Errors
///
/// As [`send`], apart from what only answers to callers' requests carry.
pub async fn exchange<D: Dialect>(
    pool: &Pool,
    address: SocketAddr,
    upstream_request: &UpstreamRequest,
    addressed: OutboundMetadata<'_>,
    may_send: impl Fn() -> bool,
) -> Result<(StatusCode, Bytes), SendFailure> {
    let mut connection = match pool.take_idle(addressed.endpoint) {
        Some(connection) => connection,
        None => connect(pool, address, addressed.endpoint).await?,
    };
    if !may_send() {
        return Err(SendFailure::new(Verdict::NotRun, "no longer allowed"));
    }
    let request = build_request::<D>(upstream_request, addressed)?;
    let response = connection.sender().send_request(request).await;
    let response = response.map_err(SendFailure::connection_lost)?;
    let status = response.status();
    let reply = D::parse_response_head(status, response.headers());
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body.map_err(SendFailure::connection_lost)?;
    if !reply.closes {
        connection.return_to_pool(reply.keep_alive_ms);
    }
    Ok((status, body.to_bytes()))
}

/// Reads the rest of a refusal, so that its connection can be used again.
async fn drain_refusal(reply: ResponseHead, body: Incoming, connection: PooledConnection) {
    let collected = Limited::new(body, MAX_REFUSAL_BYTES).collect();
    if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, collected).await
        && !reply.closes
    {
        connection.return_to_pool(reply.keep_alive_ms);
    }
}

async fn connect(
    pool: &Pool,
    address: SocketAddr,
    endpoint: &EndpointName,
) -> Result<PooledConnection, SendFailure> {
    let connected = pool.connect(endpoint, address).await;
    connected.map_err(|error| SendFailure::new(Verdict::NotRun, error))
}

fn build_request<D: Dialect>(
    upstream_request: &UpstreamRequest,
    addressed: OutboundMetadata<'_>,
) -> Result<Request<Full<Bytes>>, SendFailure> {
    let mut request = Request::new(Full::new(upstream_request.body.clone()));
    *request.method_mut() = upstream_request.method.clone();
    *request.uri_mut() = upstream_request.uri.clone();
    *request.headers_mut() = upstream_request.headers.clone();
    D::set_outbound_headers(request.headers_mut(), &addressed);
    Ok(request)
}

fn check_response(reply: &ResponseHead, status: StatusCode, id: &str) -> Result<(), SendFailure> {
    let is_same_id = reply.id.as_deref() == Some(id);
    match reply {
        _ if reply.id.is_some() && !is_same_id => Err(SendFailure::new(
            Verdict::MayHaveRun,
            "answer to another request",
        )),
        _ if reply.is_misdirected => Err(SendFailure::new(
            Verdict::NotRun,
            "another endpoint has the address",
        )),
        _ if reply.is_not_run => Err(SendFailure {
            was_overloaded: true,
            ..SendFailure::new(Verdict::NotRun, format_args!("refused with {status}"))
        }),
        _ if !is_same_id => Err(SendFailure::new(
            Verdict::MayHaveRun,
            "answer without the id of a request",
        )),
        _ if reply.is_encoded => Err(SendFailure::new(Verdict::MayHaveRun, "encoded answer")),
        _ if status.is_success() && reply.signature.is_none() => Err(SendFailure::new(
            Verdict::MayHaveRun,
            "success without the endpoint's seal",
        )),
        _ => Ok(()),
    }
}

impl UpstreamResponse {
    /// Reads the whole body and gives the connection back.
    ///
    /// # Errors
    ///
    /// Fails if the body ends early or is too large; the request has run.
    pub async fn read_body(self) -> Result<Bytes, SendFailure> {
        let Self {
            reply,
            body,
            connection,
            ..
        } = self;
        let limited = Limited::new(body, MAX_RESPONSE_BYTES);
        let collected = limited.collect().await;
        let body = collected.map_err(SendFailure::connection_lost)?;
        if !reply.closes {
            connection.return_to_pool(reply.keep_alive_ms);
        }
        Ok(body.to_bytes())
    }
}
