//! HTTP responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::mpsc;
use wisteriapoint_types::Verdict;

use super::body::{BodyError, BodyFailure};
use crate::dialect::Dialect;
use crate::forward::ForwardFailure;

/// Retry delay sent to a caller when the store was unavailable.
const STORE_RETRY_AFTER_MS: u64 = 300;

/// Retry delay sent to a caller whose body or answer has no room.
const ACCOUNT_FULL_RETRY_AFTER_MS: u64 = 1_000;

/// Retry delay sent to a caller that a stopping node refuses; another node takes the request.
const STOPPING_RETRY_AFTER_MS: u64 = 50;

/// HTTP response sent to a caller.
pub type CallerResponse = Response<Payload>;

/// Response body, complete or streamed.
#[derive(Debug)]
pub enum Payload {
    /// Complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// Chunks from a channel; an error aborts the connection.
    Chunks(mpsc::Receiver<Result<Bytes, StreamAborted>>),
}

/// Error of a streamed body that can't be completed.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("stream aborted before its end")]
pub struct StreamAborted;

impl Body for Payload {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            Self::Full(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Chunks(chunks) => chunks
                .poll_recv(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => SizeHint::with_exact(body.as_ref().map_or(0, Bytes::len) as u64),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Returns a response with a complete body of the given content type.
pub fn body_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> CallerResponse {
    let mut response = Response::new(Payload::Full(Some(body.into())));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns a plain-text response with one line.
pub fn text_response(status: StatusCode, line: &str) -> CallerResponse {
    body_response(status, "text/plain; charset=utf-8", format!("{line}\n"))
}

/// Returns a 503 response that states that the request has not run and when to retry.
pub fn not_run_response<D: Dialect>(line: &str, retry_after_ms: u64) -> CallerResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, line);
    D::set_retry_after(response.headers_mut(), retry_after_ms);
    response
}

/// Returns a "not run" response of a node that is stopping.
pub fn stopping_response<D: Dialect>() -> CallerResponse {
    not_run_response::<D>("stopping", STOPPING_RETRY_AFTER_MS)
}

/// Returns a "not run" response for a store that can't be reached.
pub fn store_unavailable<D: Dialect>(line: &str) -> CallerResponse {
    not_run_response::<D>(line, STORE_RETRY_AFTER_MS)
}

/// Returns a "not run" response of a node that holds too much for callers.
pub fn account_full_response<D: Dialect>() -> CallerResponse {
    let line = "too many bytes are held for callers";
    not_run_response::<D>(line, ACCOUNT_FULL_RETRY_AFTER_MS)
}

/// Returns the response to a request whose body was not received; it has not run.
pub fn body_error_response<D: Dialect>(error: BodyError) -> CallerResponse {
    let mut response = match error.failure {
        BodyFailure::BrokenOff => text_response(StatusCode::BAD_REQUEST, "the body broke off"),
        BodyFailure::TooLarge => text_response(StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
        BodyFailure::Refused => account_full_response::<D>(),
        BodyFailure::Stalled => {
            text_response(StatusCode::REQUEST_TIMEOUT, "the body made no progress")
        }
    };
    if error.is_unread {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Returns the response for a request that failed without an endpoint's response.
pub fn failure_response<D: Dialect>(failure: &ForwardFailure) -> CallerResponse {
    match failure {
        ForwardFailure {
            verdict: Verdict::NotRun,
            reason,
            retry_after_ms,
            ..
        } => not_run_response::<D>(reason, *retry_after_ms),
        ForwardFailure {
            is_timeout: true,
            reason,
            ..
        } => text_response(StatusCode::GATEWAY_TIMEOUT, reason),
        ForwardFailure { reason, .. } => text_response(StatusCode::BAD_GATEWAY, reason),
    }
}

/// Returns an endpoint's response without hop-by-hop and internal headers.
pub fn endpoint_response<D: Dialect>(
    status: StatusCode,
    headers: &HeaderMap,
    payload: Payload,
) -> CallerResponse {
    let mut response = Response::new(payload);
    *response.status_mut() = status;
    copy_headers(headers, response.headers_mut(), D::is_internal_header);
    response
}

/// Copies the end-to-end headers for which `is_excluded` returns `false`.
pub fn copy_headers(from: &HeaderMap, to: &mut HeaderMap, is_excluded: impl Fn(&str) -> bool) {
    let connection_headers: Vec<_> = from
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for (name, value) in from {
        let text = name.as_str();
        let is_connection_header = connection_headers.iter().any(|listed| listed == text);
        if !is_hop_by_hop(name) && !is_connection_header && !is_excluded(text) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Returns `true` if a header applies only to one connection or to the framing of a body on it.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    NAMES.contains(&name.as_str()) || name.as_str() == "expect"
}

/// Result of a handler that can't fail.
pub type InfallibleResult<T> = Result<T, Infallible>;
