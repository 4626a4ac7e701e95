//! Responses, and reading of request bodies.

use salvo::http::{HeaderValue, ParseError, StatusCode};
use salvo::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use wisteriapoint_gateway::Problem;
use wisteriapoint_gateway::problem::VERDICT_HEADER;
use wisteriapoint_types::Verdict;

/// Writes a JSON response.
pub fn json<T: Serialize>(response: &mut Response, body: &T) {
    match serde_json::to_vec(body) {
        Ok(bytes) => {
            set_header(response, "content-type", "application/json");
            response.body(bytes);
        }
        Err(error) => problem(
            response,
            &Problem::may_have_run(500, "internal", error.to_string()),
        ),
    }
}

/// Metric labels of a refusal, kept in the extensions of its response.
#[derive(Debug, Clone)]
pub struct RefusalLabels {
    /// Kind of problem.
    pub kind: Box<str>,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

/// Writes problem details with the verdict and, if the problem has one, the time after which to
/// retry.
pub fn problem(response: &mut Response, problem: &Problem) {
    response.status_code(status_code(problem.status));
    set_header(response, VERDICT_HEADER, problem.verdict.as_str());
    if let Some(seconds) = problem.retry_after_s() {
        set_header(response, "retry-after", &seconds.to_string());
    }
    response.extensions.insert(RefusalLabels {
        kind: problem.kind.clone(),
        verdict: problem.verdict,
    });
    let body = serde_json::to_vec(problem).unwrap_or_default();
    set_header(response, "content-type", "application/problem+json");
    response.body(body);
}

/// Reads a JSON body of at most `max_bytes`.
///
/// # Errors
///
/// Returns the problem to respond with.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    max_bytes: usize,
) -> Result<T, Problem> {
    let body = read_body(request, max_bytes).await?;
    serde_json::from_slice(&body)
        .map_err(|error| Problem::not_run(400, "malformed-body", error.to_string()))
}

/// Reads a body of at most `max_bytes`.
///
/// # Errors
///
/// Returns the problem to respond with.
pub async fn read_body(request: &mut Request, max_bytes: usize) -> Result<bytes::Bytes, Problem> {
    match request.payload_with_max_size(max_bytes).await {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => Err(Problem::not_run(
            413,
            "body-too-large",
            format!("the body has more than {max_bytes} bytes"),
        )),
        Err(error) => Err(Problem::not_run(
            400,
            "body-cut-short",
            format!("the body did not come whole: {error}"),
        )),
    }
}

/// Returns the status code with this number, or 500 if the number is invalid.
pub fn status_code(number: u16) -> StatusCode {
    StatusCode::from_u16(number).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Sets a header, or leaves it out if the value is not valid in a header.
pub fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
