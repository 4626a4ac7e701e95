//! Requests to plain services.

use std::time::Duration;

use bytes::Bytes;
use reqwest::header::{CONTENT_TYPE, HeaderMap};
use reqwest::{Method, Response, StatusCode};
use uuid::Uuid;

use crate::client::REQUEST_ID;
use crate::failure::Kind;
use crate::{Clients, Failure, Target};

const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A request to a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// The method.
    pub method: Method,
    /// Path and query, with the leading slash.
    pub path: Box<str>,
    /// The caller's headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub idempotent: bool,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Value of `Content-Type`, empty if there is none.
    pub content_type: Box<str>,
    /// The body.
    pub body: Bytes,
}

impl Clients {
    /// Sends a request to an endpoint and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// The failure's verdict says whether the endpoint may have run the request.
    pub async fn send_plain(
        &self,
        target: &Target,
        request: &PlainRequest,
        limit: Duration,
    ) -> Result<PlainAnswer, Failure> {
        let request_id = Uuid::new_v4().to_string();
        let url = format!("http://{}{}", target.address, request.path);
        let outgoing = self
            .for_request(request.idempotent)
            .request(request.method.clone(), url)
            .headers(request.headers.clone())
            .header(REQUEST_ID, &request_id)
            .body(request.body.clone())
            .timeout(limit);
        let response = outgoing.send().await.map_err(Failure::of_send)?;
        check_identity(target, &response, &request_id)?;
        check_draining(&response)?;
        whole(response).await
    }
}

/// Refuses an answer that names another request.
pub(crate) fn check_identity(
    target: &Target,
    response: &Response,
    request_id: &str,
) -> Result<(), Failure> {
    let echoed = response.headers().get(REQUEST_ID);
    match echoed {
        Some(echoed) if echoed.as_bytes() == request_id.as_bytes() => Ok(()),
        None if !target.echoes_request_id => Ok(()),
        _ => Err(Failure::may_have_run(Kind::Crossed)),
    }
}

/// Recognises an endpoint that says it ran nothing because it is leaving.
pub(crate) fn check_draining(response: &Response) -> Result<(), Failure> {
    let draining = response.headers().contains_key("x-draining");
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE if draining => Err(Failure::not_run(Kind::Draining)),
        _ => Ok(()),
    }
}

async fn whole(mut response: Response) -> Result<PlainAnswer, Failure> {
    let status = response.status();
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .into();
    let mut body = Vec::new();
    while let Some(part) = response.chunk().await.map_err(Failure::of_send)? {
        body.extend_from_slice(&part);
        if body.len() > MAX_ANSWER_BYTES {
            let bound_bytes = MAX_ANSWER_BYTES;
            return Err(Failure::may_have_run(Kind::TooLarge { bound_bytes }));
        }
    }
    Ok(PlainAnswer {
        status,
        content_type,
        body: body.into(),
    })
}
