//! `/v1/services/{service}/…`: requests to plain services.

use std::sync::Arc;
use std::time::Duration;

use salvo::{Request, Response, handler};
use tokio::time::{Instant, sleep};
use wisteriapoint_claim::{RecordedResponse, Settled};
use wisteriapoint_gateway::plain::end_to_end_headers;
use wisteriapoint_gateway::problem::VERDICT_HEADER;
use wisteriapoint_gateway::{Attempts, PlainRequest, PlainResponse, Problem, Router};
use wisteriapoint_route::Demand;
use wisteriapoint_settings::ServiceDocument;
use wisteriapoint_types::{Digest, RequestKey, ServiceName, Verdict};

use super::{bounds, path, request_timeout, respond};
use crate::daemon::Shared;
use crate::daemon::attempt::{count_failed, end_failed};
use crate::daemon::claims::{self, ClaimOutcome};
use crate::daemon::generate::unknown_service;

/// Request header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header of a response that was recorded by an earlier attempt.
pub const REPLAYED_HEADER: &str = "wisteriapoint-replayed";

const BUSY_RETRY_AFTER_MS: u64 = 1_000;

/// Handles requests to plain services.
#[derive(Debug, Clone)]
pub struct Plain {
    shared: Arc<Shared>,
}

/// Response to return to the caller.
enum ForwardedResponse {
    /// Received from an endpoint in this attempt.
    Fresh(PlainResponse),
    /// Recorded by an earlier attempt.
    Replayed(RecordedResponse),
}

#[handler]
impl Plain {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let service = ServiceName::new(request.param::<String>("service").unwrap_or_default());
        let started = Instant::now();
        let result = self.forward(&service, request).await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(problem) => problem.verdict.as_str(),
        };
        self.count_request(&service, outcome, started);
        match result {
            Ok(ForwardedResponse::Fresh(forwarded)) => write_fresh(response, forwarded),
            Ok(ForwardedResponse::Replayed(recorded)) => write_replayed(response, recorded),
            Err(problem) => respond::problem(response, &problem),
        }
    }
}

impl Plain {
    fn count_request(&self, service: &ServiceName, outcome: &str, started: Instant) {
        let metrics = &self.shared.metrics;
        let in_force = self.shared.snapshot.load().services.contains_key(service);
        let label = if in_force {
            service.as_str()
        } else {
            "unknown"
        };
        metrics
            .requests
            .with_label_values(&[label, "caller", outcome])
            .inc();
        metrics
            .request_seconds
            .with_label_values(&[label, "caller"])
            .observe(started.elapsed().as_secs_f64());
    }

    async fn forward(
        &self,
        service: &ServiceName,
        request: &mut Request,
    ) -> Result<ForwardedResponse, Problem> {
        let document = {
            let snapshot = self.shared.snapshot.load();
            let service_in_force = snapshot.services.get(service);
            service_in_force
                .map(|found| Arc::clone(&found.document))
                .ok_or_else(|| unknown_service(service))?
        };
        bounds::check_plain(&document)?;
        let router = self.shared.routers.load().get(service).cloned();
        let router = router.ok_or_else(|| unknown_service(service))?;
        let key = request_key(request)?;
        let outgoing = outgoing_request(&document, request).await?;
        let route = document.route(&path::decoded(request));
        let deadline_ms = route.and_then(|route| route.deadline_ms);
        let timeout = request_timeout(request, deadline_ms.unwrap_or(document.deadline_ms));
        match key {
            Some(key) if !outgoing.idempotent => {
                let key = key.with_service(service);
                self.clone()
                    .forward_claimed(document, router, key, outgoing, timeout)
                    .await
            }
            _ => {
                let response = self.dispatch(service, &router, &outgoing, timeout).await;
                response.map(ForwardedResponse::Fresh)
            }
        }
    }

    /// Claims the key and dispatches the request in a separate task, so that the claim is settled or
    /// released even if the caller disconnects.
    async fn forward_claimed(
        self,
        document: Arc<ServiceDocument>,
        router: Router,
        key: RequestKey,
        outgoing: PlainRequest,
        timeout: Duration,
    ) -> Result<ForwardedResponse, Problem> {
        let runtime = self.shared.traffic.clone();
        let in_flight = self.shared.track_in_flight();
        let forwarding = runtime.spawn(async move {
            let _in_flight = in_flight;
            self.claim_and_dispatch(&document, &router, key, &outgoing, timeout)
                .await
        });
        forwarding.await.unwrap_or_else(|_| Err(answer_lost()))
    }

    async fn claim_and_dispatch(
        &self,
        document: &ServiceDocument,
        router: &Router,
        key: RequestKey,
        outgoing: &PlainRequest,
        timeout: Duration,
    ) -> Result<ForwardedResponse, Problem> {
        let deadline = Instant::now() + timeout;
        let horizon_ms = document.retry_horizon_s * 1_000;
        let claimed = claims::claim(&self.shared, key, digest(outgoing), horizon_ms, timeout).await;
        let claim = match claimed {
            ClaimOutcome::Granted(claim) => claim,
            ClaimOutcome::Settled(Settled::Ran(recorded)) => {
                return Ok(ForwardedResponse::Replayed(recorded));
            }
            ClaimOutcome::Settled(Settled::MayHaveRun) | ClaimOutcome::Lost => {
                return Err(answer_lost());
            }
            ClaimOutcome::Expired => return Err(key_expired()),
            ClaimOutcome::Future => return Err(key_in_future()),
            ClaimOutcome::Mismatch => return Err(key_mismatch()),
            ClaimOutcome::Busy => return Err(key_busy()),
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let result = self
            .dispatch(&document.service, router, outgoing, remaining)
            .await;
        match &result {
            Ok(response) => claim.settle(recorded_outcome(response)).await,
            Err(problem) if problem.verdict.allows_retry(false) => claim.release().await,
            Err(_) => claim.settle(Settled::MayHaveRun).await,
        }
        result.map(ForwardedResponse::Fresh)
    }

    async fn dispatch(
        &self,
        service: &ServiceName,
        router: &Router,
        outgoing: &PlainRequest,
        timeout: Duration,
    ) -> Result<PlainResponse, Problem> {
        let deadline = Instant::now() + timeout;
        let mut demand = Demand {
            digest: Some(digest(outgoing)),
            ..Demand::caller(router.deadline_ms(timeout))
        };
        let mut attempts = Attempts::new(outgoing.idempotent);
        loop {
            let permit = router.acquire(demand.clone()).await;
            let permit = permit.map_err(|refusal| attempts.problem(refusal))?;
            demand.avoided_endpoints.push(permit.endpoint_key());
            demand.avoided_domain = Some(permit.target().failure_domain.clone());
            let remaining = deadline.saturating_duration_since(Instant::now());
            let clients = &self.shared.clients;
            let failure = match clients
                .send_plain(permit.target(), outgoing, remaining)
                .await
            {
                Ok(response) => {
                    permit.completed(1);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            end_failed(permit, &failure);
            count_failed(&self.shared, service, &failure);
            let allowed = attempts.record_failure(&failure);
            if !allowed || !(failure.is_refusal() || router.try_take_retry()) {
                return Err(attempts.problem(&failure));
            }
            sleep(attempts.retry_delay()).await;
        }
    }
}

fn digest(outgoing: &PlainRequest) -> Digest {
    let method = outgoing.method.as_str().as_bytes();
    Digest::new(&[method, outgoing.path.as_bytes(), &outgoing.body])
}

/// Returns the caller's idempotency key, if the request has one.
fn request_key(request: &Request) -> Result<Option<RequestKey>, Problem> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() => Ok(Some(RequestKey::new(text))),
        _ => Err(malformed_key()),
    }
}

async fn outgoing_request(
    document: &ServiceDocument,
    request: &mut Request,
) -> Result<PlainRequest, Problem> {
    let path = path::raw(request)?;
    let method = request.method().clone();
    let idempotent = match document.route(&path::decoded(request)) {
        Some(route) => route.idempotent,
        None => method.is_idempotent(),
    };
    let body = respond::read_body(request, document.limits.body_bytes as usize).await?;
    Ok(PlainRequest {
        method,
        path,
        headers: end_to_end_headers(request.headers()),
        body,
        idempotent,
    })
}

/// Returns the outcome to report to the holders of the claim.
fn recorded_outcome(response: &PlainResponse) -> Settled {
    Settled::Ran(RecordedResponse {
        status: response.status.as_u16(),
        content_type: response.content_type().into(),
        body: response.body.to_vec(),
    })
}

fn write_fresh(response: &mut Response, forwarded: PlainResponse) {
    response.status_code(forwarded.status);
    response.headers_mut().extend(forwarded.headers);
    response.body(forwarded.body);
}

fn write_replayed(response: &mut Response, recorded: RecordedResponse) {
    response.status_code(respond::status_code(recorded.status));
    respond::set_header(response, REPLAYED_HEADER, "true");
    respond::set_header(response, VERDICT_HEADER, Verdict::Ran.as_str());
    if !recorded.content_type.is_empty() {
        respond::set_header(response, "content-type", &recorded.content_type);
    }
    response.body(recorded.body);
}

fn answer_lost() -> Problem {
    Problem::may_have_run(
        409,
        "answer-lost",
        "the request was sent; its answer is lost",
    )
}

fn malformed_key() -> Problem {
    Problem::not_run(400, "malformed-key", "the key is empty or no ASCII text")
}

fn key_mismatch() -> Problem {
    Problem::not_run(422, "key-mismatch", "the key belongs to another request")
}

fn key_expired() -> Problem {
    Problem::may_have_run(
        410,
        "key-expired",
        "the key is older than the retry horizon",
    )
}

fn key_in_future() -> Problem {
    Problem::not_run(
        400,
        "key-in-future",
        "the key's time of issue lies in the future",
    )
}

fn key_busy() -> Problem {
    Problem::may_have_run(
        409,
        "key-busy",
        "another attempt with this key may be in progress",
    )
    .with_retry_after_ms(BUSY_RETRY_AFTER_MS)
}
