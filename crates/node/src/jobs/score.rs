//! Scoring of generated outputs.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::{HOST, HeaderValue};
use tokio::time::sleep;
use wisteriapoint_batch::Scorer;
use wisteriapoint_directory::Route;

use super::OwnedJob;
use crate::dialect::Dialect;
use crate::event;
use crate::forward::{ForwardOutcome, ForwardRequest, forward, post_request};
use crate::node::Node;

/// Pause before a call without a score is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of one call, in multiples of its route's objective. Calls may be repeated, so a slow one
/// is dropped.
const CALL_TIMEOUT_OBJECTIVES: u64 = 3;

/// The scorer answered with a server error as often as its route allows.
#[derive(Debug, Clone, Copy)]
pub struct ScoringError;

/// Calls a scorer until it returns a score or has failed too often.
///
/// The score is the signature on the scorer's response. When the batch job is closed, the task that
/// awaits this function is aborted.
///
/// # Errors
///
/// Fails if the scorer has answered with a server error as often as its route allows.
pub async fn score<D: Dialect>(
    node: &Rc<Node<D>>,
    owned: &OwnedJob,
    scorer: &Scorer,
) -> Result<Box<str>, ScoringError> {
    let mut failures = 0;
    loop {
        let route = node.configuration().and_then(|configuration| {
            let path = scorer.path.split('?').next().unwrap_or_default();
            configuration.route(&scorer.host, path).cloned()
        });
        let reason: Box<str> = match route {
            Some(route) => match call_scorer(node, scorer, &route).await {
                ForwardOutcome::Response { status, head, .. } if status.is_success() => {
                    if let Some(signature) = head.signature {
                        return Ok(signature);
                    }
                    "response without a signature".into()
                }
                ForwardOutcome::Response { status, .. } => {
                    failures += u32::from(status.is_server_error());
                    if failures >= route.max_attempts.max(1) {
                        return Err(ScoringError);
                    }
                    status.to_string().into()
                }
                ForwardOutcome::Failed(failure) => failure.reason,
            },
            None => "no route to the scorer".into(),
        };
        event!(
            info,
            "item not scored; retrying",
            id = owned.id,
            scorer = scorer.id,
            failures = failures,
            reason = reason
        );
        sleep(RETRY_PAUSE).await;
    }
}

async fn call_scorer<D: Dialect>(
    node: &Rc<Node<D>>,
    scorer: &Scorer,
    route: &Route,
) -> ForwardOutcome {
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(&scorer.host) {
        headers.insert(HOST, host);
    }
    let Ok(uri) = scorer.path.parse() else {
        return ForwardOutcome::invalid_path();
    };
    // The loop in `score` counts failures, so each call must send the request only once.
    let route = Route {
        max_attempts: 1,
        ..route.clone()
    };
    let now_ms = node.now_ms();
    let request = ForwardRequest {
        id: &scorer.id,
        upstream_request: post_request(uri, headers, Bytes::from(scorer.body.clone())),
        deadline_at_ms: now_ms + route.objective_ms * CALL_TIMEOUT_OBJECTIVES,
        arrived_at_ms: now_ms,
        route: &route,
    };
    forward(node, &request).await
}

impl ForwardOutcome {
    fn invalid_path() -> Self {
        use crate::forward::ForwardFailure;
        use wisteriapoint_types::Verdict;
        Self::Failed(ForwardFailure {
            verdict: Verdict::NotRun,
            reason: "malformed scorer path".into(),
            is_timeout: false,
            retry_after_ms: 0,
        })
    }
}
