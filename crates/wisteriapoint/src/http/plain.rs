//! `/v1/services/{service}/…`: requests to plain services.

use std::sync::Arc;
use std::time::Duration;

use salvo::{Request, Response, handler};
use tokio::time::{Instant, sleep};
use wisteriapoint_claim::{RecordedResponse, Settled};
use wisteriapoint_gateway::plain::end_to_end;
use wisteriapoint_gateway::problem::VERDICT_HEADER;
use wisteriapoint_gateway::{Attempts, PlainAnswer, PlainRequest, Problem, Router};
use wisteriapoint_route::Demand;
use wisteriapoint_settings::ServiceDocument;
use wisteriapoint_types::{Digest, RequestKey, ServiceName, Verdict};

use super::{bounds, limit, path, respond};
use crate::daemon::Shared;
use crate::daemon::attempt::{count_failed, end_failed};
use crate::daemon::claims::{self, Claimed};
use crate::daemon::generate::unknown_service;

/// Header that carries the caller's key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header of an answer that was recorded when the request ran.
pub const REPLAYED_HEADER: &str = "wisteriapoint-replayed";

const BUSY_RETRY_AFTER_MS: u64 = 1_000;

/// Handles requests to plain services.
#[derive(Debug, Clone)]
pub struct Plain {
    shared: Arc<Shared>,
}

/// An answer for the caller.
enum Answer {
    /// The endpoint has just given it.
    Fresh(PlainAnswer),
    /// It was recorded at an earlier attempt.
    Replayed(RecordedResponse),
}

#[handler]
impl Plain {
    /// Makes the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let service = ServiceName::new(request.param::<String>("service").unwrap_or_default());
        let begun = Instant::now();
        let result = self.pass(&service, request).await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(problem) => problem.verdict.as_str(),
        };
        self.count(&service, outcome, begun);
        match result {
            Ok(Answer::Fresh(answer)) => write_fresh(response, answer),
            Ok(Answer::Replayed(recorded)) => write_replayed(response, recorded),
            Err(problem) => respond::problem(response, &problem),
        }
    }
}

impl Plain {
    fn count(&self, service: &ServiceName, outcome: &str, begun: Instant) {
        let metrics = &self.shared.metrics;
        let known = self.shared.snapshot.load().services.contains_key(service);
        let label = if known { service.as_str() } else { "unknown" };
        metrics
            .requests
            .with_label_values(&[label, "caller", outcome])
            .inc();
        metrics
            .request_seconds
            .with_label_values(&[label, "caller"])
            .observe(begun.elapsed().as_secs_f64());
    }

    async fn pass(&self, service: &ServiceName, request: &mut Request) -> Result<Answer, Problem> {
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
        let key = key(request)?;
        let outgoing = outgoing(&document, request).await?;
        let route = document.route(&path::decoded(request));
        let deadline_ms = route.and_then(|route| route.deadline_ms);
        let limit = limit(request, deadline_ms.unwrap_or(document.deadline_ms));
        match key {
            Some(key) if !outgoing.idempotent => {
                let key = key.with_service(service);
                self.clone()
                    .pass_claimed(document, router, key, outgoing, limit)
                    .await
            }
            _ => {
                let answer = self.dispatch(service, &router, &outgoing, limit).await;
                answer.map(Answer::Fresh)
            }
        }
    }

    /// Runs in a task of its own, so that a caller who goes away leaves no claim open.
    async fn pass_claimed(
        self,
        document: Arc<ServiceDocument>,
        router: Router,
        key: RequestKey,
        outgoing: PlainRequest,
        limit: Duration,
    ) -> Result<Answer, Problem> {
        let runtime = self.shared.traffic.clone();
        let in_flight = self.shared.begin();
        let passing = runtime.spawn(async move {
            let _in_flight = in_flight;
            self.claim_and_dispatch(&document, &router, key, &outgoing, limit)
                .await
        });
        passing.await.unwrap_or_else(|_| Err(lost()))
    }

    async fn claim_and_dispatch(
        &self,
        document: &ServiceDocument,
        router: &Router,
        key: RequestKey,
        outgoing: &PlainRequest,
        limit: Duration,
    ) -> Result<Answer, Problem> {
        let deadline = Instant::now() + limit;
        let horizon_ms = document.retry_horizon_s * 1_000;
        let claimed = claims::claim(&self.shared, key, digest(outgoing), horizon_ms, limit).await;
        let claim = match claimed {
            Claimed::Won(claim) => claim,
            Claimed::Settled(Settled::Ran(recorded)) => return Ok(Answer::Replayed(recorded)),
            Claimed::Settled(Settled::MayHaveRun) | Claimed::Lost => return Err(lost()),
            Claimed::Expired => return Err(expired()),
            Claimed::Future => return Err(future()),
            Claimed::Mismatch => return Err(mismatch()),
            Claimed::Busy => return Err(busy()),
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let result = self
            .dispatch(&document.service, router, outgoing, left)
            .await;
        match &result {
            Ok(answer) => claim.settle(settled(answer)).await,
            Err(problem) if problem.verdict.allows_retry(false) => claim.release().await,
            Err(_) => claim.settle(Settled::MayHaveRun).await,
        }
        result.map(Answer::Fresh)
    }

    async fn dispatch(
        &self,
        service: &ServiceName,
        router: &Router,
        outgoing: &PlainRequest,
        limit: Duration,
    ) -> Result<PlainAnswer, Problem> {
        let deadline = Instant::now() + limit;
        let mut demand = Demand {
            digest: Some(digest(outgoing)),
            ..Demand::caller(router.deadline_ms(limit))
        };
        let mut attempts = Attempts::new(outgoing.idempotent);
        loop {
            let permit = router.acquire(demand.clone()).await;
            let permit = permit.map_err(|refusal| attempts.problem(refusal))?;
            demand.tried.push(permit.key());
            demand.avoid = Some(permit.target().failure_domain.clone());
            let left = deadline.saturating_duration_since(Instant::now());
            let clients = &self.shared.clients;
            let failure = match clients.send_plain(permit.target(), outgoing, left).await {
                Ok(answer) => {
                    permit.answered(1);
                    return Ok(answer);
                }
                Err(failure) => failure,
            };
            end_failed(permit, &failure);
            count_failed(&self.shared, service, &failure);
            let allowed = attempts.note(&failure);
            if !allowed || !(failure.is_refusal() || router.may_retry()) {
                return Err(attempts.problem(&failure));
            }
            sleep(attempts.pause()).await;
        }
    }
}

fn digest(outgoing: &PlainRequest) -> Digest {
    let method = outgoing.method.as_str().as_bytes();
    Digest::new(&[method, outgoing.path.as_bytes(), &outgoing.body])
}

/// The caller's key, if there is one.
fn key(request: &Request) -> Result<Option<RequestKey>, Problem> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() => Ok(Some(RequestKey::new(text))),
        _ => Err(malformed_key()),
    }
}

async fn outgoing(
    document: &ServiceDocument,
    request: &mut Request,
) -> Result<PlainRequest, Problem> {
    let path = path::sent(request)?;
    let method = request.method().clone();
    let idempotent = match document.route(&path::decoded(request)) {
        Some(route) => route.idempotent,
        None => method.is_idempotent(),
    };
    let body = respond::read_body(request, document.limits.body_bytes as usize).await?;
    Ok(PlainRequest {
        method,
        path,
        headers: end_to_end(request.headers()),
        body,
        idempotent,
    })
}

/// What the holders are told of an answer.
fn settled(answer: &PlainAnswer) -> Settled {
    Settled::Ran(RecordedResponse {
        status: answer.status.as_u16(),
        content_type: answer.content_type().into(),
        body: answer.body.to_vec(),
    })
}

fn write_fresh(response: &mut Response, answer: PlainAnswer) {
    response.status_code(answer.status);
    response.headers_mut().extend(answer.headers);
    response.body(answer.body);
}

fn write_replayed(response: &mut Response, recorded: RecordedResponse) {
    response.status_code(respond::status(recorded.status));
    respond::set_header(response, REPLAYED_HEADER, "true");
    respond::set_header(response, VERDICT_HEADER, Verdict::Ran.as_str());
    if !recorded.content_type.is_empty() {
        respond::set_header(response, "content-type", &recorded.content_type);
    }
    response.body(recorded.body);
}

fn lost() -> Problem {
    Problem::may_have_run(
        409,
        "answer-lost",
        "the request was sent; its answer is lost",
    )
}

fn malformed_key() -> Problem {
    Problem::not_run(400, "malformed-key", "the key is empty or no ASCII text")
}

fn mismatch() -> Problem {
    Problem::not_run(422, "key-mismatch", "the key belongs to another request")
}

fn expired() -> Problem {
    Problem::may_have_run(
        410,
        "key-expired",
        "the key is older than the retry horizon",
    )
}

fn future() -> Problem {
    Problem::not_run(
        400,
        "key-in-future",
        "the key's time of issue lies in the future",
    )
}

fn busy() -> Problem {
    Problem::may_have_run(
        409,
        "key-busy",
        "another attempt with this key may be in progress",
    )
    .with_retry_after_ms(BUSY_RETRY_AFTER_MS)
}
