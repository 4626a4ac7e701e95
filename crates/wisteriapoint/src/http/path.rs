//! Path of a request to a plain service.

use salvo::Request;
use wisteriapoint_gateway::Problem;

const SERVICES_PREFIX: &str = "/v1/services/";

/// Returns path and query below the service, byte for byte as the caller sent them.
///
/// # Errors
///
/// Refuses a path that the HTTP client would rewrite, since the endpoint must receive the path
/// whose route was looked up.
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

/// Returns the decoded path below the service, used to look up its route.
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
