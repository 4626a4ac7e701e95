//! Requests to plain services.

use std::time::Duration;

use bytes::Bytes;
use reqwest::header::{CONTENT_TYPE, HeaderMap};
use reqwest::{Method, Response, StatusCode};

use crate::client::{DEADLINE_HEADER, REQUEST_ID_HEADER};
use crate::exchange::{has_detectable_end, has_draining_header, read_body};
use crate::failure::Kind;
use crate::{Clients, Failure, Target};

const MAX_RESPONSE_BYTES: usize = 4 << 20;
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const END_NOT_DETECTABLE: &str = "its end can't be told from a broken connection";
const HOP_BY_HOP: [&str; 15] = [
    "accept-encoding",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-draining",
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
];

/// A request to a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path: Box<str>,
    /// End-to-end headers of the caller, which are forwarded to the endpoint.
    pub headers: HeaderMap,
    /// Body of the caller's request.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// A complete response of a plain service.
#[derive(Debug, Clone)]
pub struct PlainResponse {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// End-to-end headers, which are forwarded to the caller.
    pub headers: HeaderMap,
    /// Complete body of the response.
    pub body: Bytes,
}

impl PlainResponse {
    /// Returns the value of `Content-Type`, or an empty string if there is none.
    pub fn content_type(&self) -> &str {
        let value = self.headers.get(CONTENT_TYPE);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or_default()
    }
}

/// Returns the headers without those that apply to a single connection or to the gateway.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    for name in HOP_BY_HOP {
        passed.remove(name);
    }
    passed
}

impl Clients {
    /// Sends a request to an endpoint and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives; the failure's verdict says whether the endpoint may
    /// have run the request.
    pub async fn send_plain(
        &self,
        target: &Target,
        request: &PlainRequest,
        timeout: Duration,
    ) -> Result<PlainResponse, Failure> {
        let url = format!("http://{}{}", target.address, request.path);
        let outgoing = self
            .for_request(target, request.idempotent)
            .request(request.method.clone(), url)
            .headers(request.headers.clone())
            .body(request.body.clone());
        let response = self.exchange(target, outgoing, timeout).await?;
        match has_detectable_end(&request.method, &response) {
            true => read_response(response).await,
            false => Err(Failure::may_have_run(Kind::InvalidResponse(
                END_NOT_DETECTABLE.into(),
            ))),
        }
    }

    /// Returns `true` if a draining plain service accepts requests again.
    ///
    /// Sends a `HEAD` request for `/`, which runs no caller's request.
    pub async fn probe_accepts_work(&self, target: &Target) -> bool {
        let outgoing = self
            .single_use
            .head(format!("http://{}/", target.address))
            .timeout(PROBE_TIMEOUT);
        let response = outgoing.send().await;
        response.is_ok_and(|response| !has_draining_header(&response))
    }
}

async fn read_response(response: Response) -> Result<PlainResponse, Failure> {
    let status = response.status();
    let headers = end_to_end_headers(response.headers());
    let body = read_body(response, MAX_RESPONSE_BYTES).await?;
    Ok(PlainResponse {
        status,
        headers,
        body,
    })
}
