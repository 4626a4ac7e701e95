//! One request to an endpoint, up to the headers of its response.

use std::time::Duration;

use bytes::Bytes;
use reqwest::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use uuid::Uuid;

use crate::client::{DEADLINE_HEADER, REQUEST_ID_HEADER};
use crate::failure::Kind;
use crate::{Clients, Failure, Target};

const DRAINING_HEADER: &str = "x-draining";

impl Clients {
    /// Sends a request and returns its response as soon as the headers have arrived.
    pub(crate) async fn exchange(
        &self,
        target: &Target,
        outgoing: RequestBuilder,
        timeout: Duration,
    ) -> Result<Response, Failure> {
        let request_id = Uuid::new_v4().to_string();
        let outgoing = outgoing
            .header(REQUEST_ID_HEADER, &request_id)
            .header(DEADLINE_HEADER, timeout.as_millis().to_string())
            .timeout(timeout);
        let response = outgoing.send().await.map_err(Failure::from_reqwest)?;
        if !matches_request_id(target, &response, &request_id) {
            self.replace_pool();
            return Err(Failure::may_have_run(Kind::MismatchedResponse));
        }
        match response.status() {
            StatusCode::SERVICE_UNAVAILABLE if has_draining_header(&response) => {
                Err(draining_failure(target))
            }
            // Not a final answer of HTTP.
            status if !(200..600).contains(&status.as_u16()) => Err(invalid_response(status)),
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => {
                Err(invalid_response(response.status()))
            }
            _ => Ok(response),
        }
    }
}

fn matches_request_id(target: &Target, response: &Response, request_id: &str) -> bool {
    match response.headers().get(REQUEST_ID_HEADER) {
        Some(echoed) => echoed.as_bytes() == request_id.as_bytes(),
        None => !target.echoes_request_id,
    }
}

pub(crate) fn has_draining_header(response: &Response) -> bool {
    response.headers().contains_key(DRAINING_HEADER)
}

/// Returns the failure for a draining endpoint.
///
/// Only an echoed request id proves that the endpoint itself refused the request, and not a
/// proxy in between.
fn draining_failure(target: &Target) -> Failure {
    match target.echoes_request_id {
        true => Failure::not_run(Kind::Draining),
        false => Failure::may_have_run(Kind::Draining),
    }
}

fn invalid_response(status: StatusCode) -> Failure {
    Failure::may_have_run(Kind::InvalidResponse(status.to_string().into()))
}

/// Returns `true` if the end of the response can be distinguished from a broken connection.
pub(crate) fn has_detectable_end(method: &Method, response: &Response) -> bool {
    let headers = response.headers();
    match response.status() {
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => true,
        _ if method == Method::HEAD => true,
        _ => headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING),
    }
}

/// Reads a complete body of at most `bound_bytes`.
pub(crate) async fn read_body(
    mut response: Response,
    bound_bytes: usize,
) -> Result<Bytes, Failure> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(Failure::from_reqwest)? {
        body.extend_from_slice(&chunk);
        if body.len() > bound_bytes {
            return Err(Failure::may_have_run(Kind::TooLarge { bound_bytes }));
        }
    }
    Ok(body.into())
}
