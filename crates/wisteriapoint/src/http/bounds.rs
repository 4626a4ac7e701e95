//! Limits on connections and on the content of requests.

use std::time::Duration;

use salvo::catcher::Catcher;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::http::HeaderMap;
use salvo::http::StatusCode;
use salvo::{FlowCtrl, Request, Response, Router, Server, Service, handler};
use wisteriapoint_gateway::Problem;
use wisteriapoint_settings::{ServiceDocument, ServiceKind, is_name};
use wisteriapoint_types::ServiceName;

use super::plain::KEY_HEADER;
use super::{DEADLINE_HEADER, respond};
use crate::daemon::Shared;
use crate::daemon::generate::unknown_service;

/// Longest deadline that a caller may request, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// Maximum number of tokens in one completion.
pub const MAX_COMPLETION_TOKENS: u32 = 131_072;

/// Maximum size of the head of a request, in bytes; a head that arrives in one piece may be up
/// to twice as large.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

const MAX_CONNECTIONS: usize = 8_192;
const MAX_ADMIN_CONNECTIONS: usize = 256;
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Limits on the connections of one listener.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of open connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// Maximum time to receive the head of a request.
    pub head_timeout: Duration,
    /// Maximum pause while the body of a request is received.
    pub body_timeout: Duration,
    /// Maximum time that a response waits for a client that does not read.
    pub write_timeout: Duration,
}

impl Bounds {
    /// Returns the limits of the listener for callers and trainers.
    ///
    /// Idle connections have no time limit, since a response may take until its deadline.
    pub fn service() -> Self {
        Self {
            max_connections: MAX_CONNECTIONS,
            head_timeout: HEAD_TIMEOUT,
            body_timeout: BODY_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
        }
    }

    /// Returns the limits of the listener for operators.
    pub fn admin() -> Self {
        Self {
            max_connections: MAX_ADMIN_CONNECTIONS,
            ..Self::service()
        }
    }

    /// Creates a server that enforces the limits.
    pub fn build_server(&self, acceptor: TcpAcceptor) -> Server<TcpAcceptor> {
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(self.head_timeout)
            .with_request_body_timeout(self.body_timeout)
            .with_write_stall_timeout(self.write_timeout);
        let mut server = Server::new(acceptor)
            .max_connections(self.max_connections)
            .fuse_config(fuse);
        server.http1_mut().max_buf_size(MAX_HEAD_BYTES);
        server
    }
}

/// Creates a service that answers requests without a handler with problem details, so that
/// every refusal carries a verdict.
pub fn with_problem_catcher(router: Router) -> Service {
    Service::new(router).catcher(Catcher::default().hoop(ProblemCatcher))
}

/// Answers requests that no handler accepts with problem details.
#[derive(Debug)]
struct ProblemCatcher;

#[handler]
impl ProblemCatcher {
    async fn handle(&self, response: &mut Response, flow: &mut FlowCtrl) {
        let status = response.status_code.unwrap_or(StatusCode::NOT_FOUND);
        let (kind, detail) = match status {
            StatusCode::NOT_FOUND => ("unknown-path", "nothing is served at this path"),
            StatusCode::METHOD_NOT_ALLOWED => ("unknown-method", "the path has other methods"),
            _ => ("refused", "the request is refused"),
        };
        respond::problem(response, &Problem::not_run(status.as_u16(), kind, detail));
        flow.skip_rest();
    }
}

/// Refuses requests with malformed headers before they reach their handler.
#[derive(Debug)]
pub struct CheckHeaders;

#[handler]
impl CheckHeaders {
    async fn handle(&self, request: &mut Request, response: &mut Response, flow: &mut FlowCtrl) {
        if let Err(problem) = check_headers(request.headers()) {
            respond::problem(response, &problem);
            flow.skip_rest();
        }
    }
}

fn check_headers(headers: &HeaderMap) -> Result<(), Problem> {
    check_single_header(headers, DEADLINE_HEADER, is_valid_deadline, || {
        let detail = format!(
            "`{DEADLINE_HEADER}` is malformed; send a whole number from 1 to {MAX_DEADLINE_MS}, once"
        );
        Problem::not_run(400, "malformed-deadline", detail)
    })?;
    check_single_header(headers, KEY_HEADER, is_valid_key, || {
        let detail = format!(
            "`{KEY_HEADER}` is malformed; send 1 to {MAX_KEY_BYTES} visible ASCII characters, once"
        );
        Problem::not_run(400, "malformed-key", detail)
    })
}

fn check_single_header(
    headers: &HeaderMap,
    name: &str,
    is_valid: fn(&[u8]) -> bool,
    problem: impl FnOnce() -> Problem,
) -> Result<(), Problem> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(()),
        (Some(value), None) if is_valid(value.as_bytes()) => Ok(()),
        _ => Err(problem()),
    }
}

fn is_valid_deadline(value: &[u8]) -> bool {
    let text = std::str::from_utf8(value).unwrap_or_default();
    let deadline_ms = text.parse::<u64>();
    value.iter().all(u8::is_ascii_digit)
        && deadline_ms.is_ok_and(|ms| (1..=MAX_DEADLINE_MS).contains(&ms))
}

fn is_valid_key(value: &[u8]) -> bool {
    (1..=MAX_KEY_BYTES).contains(&value.len()) && value.iter().all(u8::is_ascii_graphic)
}

/// Checks that requests may be forwarded unchanged to a service.
///
/// Engines accept control orders on the address that serves completions, and callers must not
/// be able to send them.
///
/// # Errors
///
/// Returns the problem to respond with.
pub fn check_plain(document: &ServiceDocument) -> Result<(), Problem> {
    match document.kind {
        ServiceKind::Plain => Ok(()),
        ServiceKind::Model => {
            let detail = format!("`{}` is a model; send completions", document.service);
            Err(Problem::not_run(400, "no-plain-service", detail))
        }
    }
}

/// Checks a name from a path, since it may become part of a key in the platform's store.
///
/// # Errors
///
/// Returns the problem to respond with.
pub fn check_name(name: &str) -> Result<(), Problem> {
    match is_name(name) {
        true => Ok(()),
        false => {
            let detail = "a name is 1 to 63 lower-case letters, digits and hyphens";
            Err(Problem::not_run(400, "malformed-name", detail))
        }
    }
}

/// Checks that weight versions may be published for a service.
///
/// The name becomes part of a key in the platform's store, so it must be the name of a model in
/// force.
///
/// # Errors
///
/// Returns the problem to respond with.
pub fn check_publish(shared: &Shared, service: &ServiceName) -> Result<(), Problem> {
    let snapshot = shared.snapshot.load();
    let found = snapshot.services.get(service);
    match found.map(|found| found.document.kind) {
        Some(ServiceKind::Model) => Ok(()),
        Some(ServiceKind::Plain) => Err(not_a_model(service)),
        None => Err(unknown_service(service)),
    }
}

fn not_a_model(service: &ServiceName) -> Problem {
    Problem::not_run(400, "no-model", format!("`{service}` is a plain service"))
}

/// Checks the parameters of a completion request against the service document.
///
/// # Errors
///
/// Returns the problem to respond with.
pub fn check_completion(
    document: &ServiceDocument,
    prompt: &str,
    max_tokens: u32,
) -> Result<(), Problem> {
    let max_bytes = document.limits.body_bytes;
    match max_tokens {
        _ if document.kind != ServiceKind::Model => Err(not_a_model(&document.service)),
        _ if prompt.is_empty() => {
            let detail = "`prompt` is empty; send at least one character";
            Err(Problem::not_run(400, "malformed-prompt", detail))
        }
        _ if prompt.len() as u64 > max_bytes => {
            let detail = format!("`prompt` has more than {max_bytes} bytes");
            Err(Problem::not_run(413, "prompt-too-long", detail))
        }
        1..=MAX_COMPLETION_TOKENS => Ok(()),
        _ => {
            let detail = format!("`max_tokens` has to be from 1 to {MAX_COMPLETION_TOKENS}");
            Err(Problem::not_run(400, "malformed-max-tokens", detail))
        }
    }
}
