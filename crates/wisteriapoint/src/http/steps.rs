//! `/v1/steps/{trainer}/{step}`: submission of training steps and delivery of their samples.

use std::sync::Arc;
use std::time::Duration;

use salvo::{Request, Response, handler};
use serde::Deserialize;
use tokio::time::Instant;
use wisteriapoint_gateway::Problem;
use wisteriapoint_rollout::{Cursor, Error, PullResponse, StepId, StepSpec};
use wisteriapoint_types::{TrainerName, WeightVersion};

use super::{MAX_BODY_BYTES, bounds, respond};
use crate::daemon::Shared;
use crate::daemon::message::{PeerRequest, PeerResponse};

const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(2);
const COORDINATOR_LONG_POLL: Duration = Duration::from_millis(500);
const MAX_COORDINATORS_TRIED: usize = 3;
const MAX_WAIT_MS: u64 = 60_000;

/// Handles `PUT`: submits a step to its coordinator.
#[derive(Debug)]
pub struct Put {
    shared: Arc<Shared>,
}

/// Handles `POST` to the step's path and `/pull`: returns finished samples of a step.
#[derive(Debug)]
pub struct Pull {
    shared: Arc<Shared>,
}

#[derive(Debug, Deserialize)]
struct PutBody {
    #[serde(flatten)]
    spec: StepSpec,
    #[serde(default)]
    cursor: Cursor,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PullBody {
    cursor: Cursor,
    weight_version: WeightVersion,
    #[serde(default = "default_max_samples")]
    max_samples: u32,
    #[serde(default)]
    wait_ms: u64,
}

fn default_max_samples() -> u32 {
    256
}

#[handler]
impl Put {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let _in_flight = self.shared.track_in_flight();
        match self.put(request).await {
            Ok(()) => respond::json(response, &serde_json::json!({ "accepted": true })),
            Err(problem) => respond::problem(response, &problem),
        }
    }
}

impl Put {
    async fn put(&self, request: &mut Request) -> Result<(), Problem> {
        let id = step_id(request)?;
        let body: PutBody = respond::read_json(request, MAX_BODY_BYTES).await?;
        let query = PeerRequest::Put {
            id: id.clone(),
            spec: body.spec,
            cursor: body.cursor,
        };
        match query_coordinator(&self.shared, &id, query).await {
            Some(PeerResponse::Put(result)) => result.map_err(problem),
            _ => Err(no_coordinator()),
        }
    }
}

#[handler]
impl Pull {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let _in_flight = self.shared.track_in_flight();
        match self.pull(request).await {
            Ok(pulled) => respond::json(response, &pulled),
            Err(problem) => respond::problem(response, &problem),
        }
    }
}

impl Pull {
    async fn pull(&self, request: &mut Request) -> Result<PullResponse, Problem> {
        let id = step_id(request)?;
        let body: PullBody = respond::read_json(request, MAX_BODY_BYTES).await?;
        let wait = Duration::from_millis(body.wait_ms.min(MAX_WAIT_MS));
        let deadline = Instant::now() + wait;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let query = PeerRequest::Pull {
                id: id.clone(),
                cursor: body.cursor.clone(),
                version: body.weight_version,
                limit: body.max_samples,
                wait_ms: remaining.min(COORDINATOR_LONG_POLL).as_millis() as u64,
            };
            let pulled = match query_coordinator(&self.shared, &id, query).await {
                Some(PeerResponse::Pulled(result)) => result.map_err(problem)?,
                _ => return Err(no_coordinator()),
            };
            let has_update = !pulled.samples.is_empty() || pulled.complete;
            if has_update || Instant::now() >= deadline || self.shared.is_draining() {
                return Ok(pulled);
            }
        }
    }
}

/// Queries the daemons in the order of their rank and returns the first response.
///
/// A daemon that takes over as coordinator does not have the step: it responds that the step is
/// unknown, and the trainer then submits the step again.
async fn query_coordinator(
    shared: &Arc<Shared>,
    id: &StepId,
    query: PeerRequest,
) -> Option<PeerResponse> {
    let view = Arc::clone(&shared.snapshot.load().view);
    let ranked = view.coordinators(id.trainer.as_str().as_bytes());
    for &coordinator in ranked.iter().take(MAX_COORDINATORS_TRIED) {
        let response = shared
            .call_member(coordinator, query.clone(), COORDINATOR_TIMEOUT)
            .await;
        match response {
            None | Some(PeerResponse::Stopping) => continue,
            response => return response,
        }
    }
    None
}

fn step_id(request: &Request) -> Result<StepId, Problem> {
    let trainer: String = request.param("trainer").unwrap_or_default();
    bounds::check_name(&trainer)?;
    let step = request.param::<u64>("step");
    let step = step.ok_or_else(|| Problem::not_run(400, "malformed-step", "a step is a number"))?;
    Ok(StepId {
        trainer: TrainerName::new(trainer),
        step,
    })
}

fn problem(error: Error) -> Problem {
    let (status, kind) = match &error {
        error if error.is_unknown_step() => (404, "unknown-step"),
        error if error.is_conflict() => (409, "step-conflict"),
        _ => (400, "malformed-step"),
    };
    Problem::not_run(status, kind, error.to_string())
}

fn no_coordinator() -> Problem {
    Problem::may_have_run(
        503,
        "no-coordinator",
        "the step's coordinator did not answer",
    )
    .with_retry_after_ms(1_000)
}
