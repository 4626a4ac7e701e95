//! Scoring of generated outputs.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HOST, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use tokio::time::sleep;
use wisteriapoint_batch::{ItemKey, Scorer};
use wisteriapoint_directory::Route;

use super::{OwnedJob, read};
use crate::dialect::Dialect;
use crate::event;
use crate::forward::{ForwardOutcome, ForwardRequest, forward, post_request};
use crate::node::Node;

/// Pause before a call without a score is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of one call, in multiples of its route's objective. Calls may be repeated, so a slow one
/// is dropped.
const CALL_TIMEOUT_OBJECTIVES: u64 = 3;

/// The scorer answered with an internal error as often as its route allows.
#[derive(Debug, Clone, Copy)]
pub struct ScoringError;

/// Calls a scorer until it returns a score or has failed too often.
///
/// The score is the signature on the scorer's response. When the batch job is closed, the task that
/// awaits this function is aborted.
///
/// # Errors
///
/// Fails if the scorer has answered with an internal error as often as its route allows.
pub async fn score<D: Dialect>(
    node: &Rc<Node<D>>,
    owned: &OwnedJob,
    key: ItemKey,
    scorer: &Scorer,
) -> Result<Box<str>, ScoringError> {
    let mut failures = owned.scorer_failures(key);
    loop {
        let route = node.configuration().and_then(|configuration| {
            let path = scorer.path.split('?').next().unwrap_or_default();
            configuration.route(&scorer.host, path).cloned()
        });
        let outcome = match &route {
            Some(route) => match read::body_to_send(node, owned, scorer.body).await {
                Ok(body) => call_scorer(node, owned, (scorer, body), route).await,
                Err(error) => ForwardOutcome::not_sent(&error.to_string()),
            },
            None => ForwardOutcome::not_sent("no route to the scorer"),
        };
        let max_failures = route.map_or(u32::MAX, |route| route.max_attempts.max(1));
        match outcome {
            ForwardOutcome::Response(response) => {
                let signature = match response.status.is_success() {
                    true => response.head.signature,
                    false => None,
                };
                if let Some(signature) = signature {
                    return Ok(signature);
                }
                // A 504 only means that the endpoint was too slow at this deadline.
                failures += u32::from(response.status == StatusCode::INTERNAL_SERVER_ERROR);
                owned.scorer_failures.borrow_mut().insert(key, failures);
                event!(
                    info,
                    "item not scored",
                    id = owned.id,
                    scorer = scorer.id,
                    failures = failures,
                    max_failures = max_failures,
                    reason = response.status,
                    endpoint = response.endpoint,
                    sent_requests = response.sent_requests,
                );
            }
            ForwardOutcome::Failed(failure) => event!(
                info,
                "item not scored",
                id = owned.id,
                scorer = scorer.id,
                failures = failures,
                max_failures = max_failures,
                reason = failure.reason,
            ),
        }
        if failures >= max_failures {
            return Err(ScoringError);
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn call_scorer<D: Dialect>(
    node: &Rc<Node<D>>,
    owned: &OwnedJob,
    (scorer, body): (&Scorer, Bytes),
    route: &Route,
) -> ForwardOutcome {
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(&scorer.host) {
        headers.insert(HOST, host);
    }
    let Ok(uri) = scorer.path.parse() else {
        return ForwardOutcome::not_sent("malformed scorer path");
    };
    // The loop in `score` counts failures, so a call must end with the first of them.
    let route = Route {
        max_attempts: 1,
        ..route.clone()
    };
    let now_ms = node.now_ms();
    let request = ForwardRequest {
        id: &scorer.id,
        digest: None,
        workspace: owned.workspace.as_deref().map(Into::into),
        credential: None,
        upstream_request: post_request(uri, headers, body),
        deadline_at_ms: now_ms + route.objective_ms * CALL_TIMEOUT_OBJECTIVES,
        arrived_at_ms: now_ms,
        route: &route,
    };
    forward(node, &request).await
}

impl ForwardOutcome {
    fn not_sent(reason: &str) -> Self {
        use crate::forward::ForwardFailure;
        use wisteriapoint_types::Verdict;
        Self::Failed(ForwardFailure {
            verdict: Verdict::NotRun,
            reason: reason.into(),
            is_timeout: false,
            retry_after_ms: 0,
        })
    }
}
