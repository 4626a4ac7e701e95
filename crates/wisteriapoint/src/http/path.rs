//! The path of a request to a plain service.

use salvo::Request;
use wisteriapoint_gateway::Problem;

const SERVICES_PREFIX: &str = "/v1/services/";

/// Path and query below the service, byte by byte as the caller sent them.
///
/// # Errors
///
/// Refuses what the HTTP client would rewrite: the endpoint has to get the path whose
/// route was looked up.
pub(super) fn raw(request: &Request) -> Result<Box<str>, Problem> {
    let path = request.uri().path();
    let below_prefix = path.strip_prefix(SERVICES_PREFIX).ok_or_else(malformed)?;
    let rest = below_prefix.split_once('/').map_or("", |(_, rest)| rest);
    if rest.contains('\\') || rest.split('/').any(is_dot_segment) {
        return Err(malformed());
    }
    Ok(match request.uri().query() {
        Some(query) => format!("/{rest}?{query}").into(),
        None => format!("/{rest}").into(),
    })
}

/// The path below the service, decoded, for the look-up of its route.
pub(super) fn decoded(request: &Request) -> String {
    let rest = request.param::<String>("path").unwrap_or_default();
    format!("/{rest}")
}

fn is_dot_segment(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    matches!(decoded.as_str(), "." | "..")
}

fn malformed() -> Problem {
    Problem::not_run(400, "malformed-path", "the path is not in its plain form")
}
