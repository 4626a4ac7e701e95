//! Dispatch of samples from a coordinator to daemons.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::sleep;
use wisteriapoint_rollout::{AttemptKey, Task};
use wisteriapoint_types::MemberId;

use super::Shared;
use super::control::Command;
use super::message::{Generated, PeerRequest, PeerResponse};

const TASK_TIMEOUT: Duration = Duration::from_secs(150);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Dispatches a sample to a daemon and sends the result to the control loop.
///
/// If the task is aborted, the generation is cancelled at that daemon.
pub fn spawn_task(shared: &Arc<Shared>, task: Task) -> AbortHandle {
    let runtime = shared.traffic.clone();
    let shared = Arc::clone(shared);
    let dispatch = runtime.spawn(async move {
        let attempt = task.attempt;
        let generated = dispatch(&shared, task).await;
        if !matches!(generated, Generated::Complete(_)) {
            sleep(FAILURE_PAUSE).await;
        }
        // The send fails only when the daemon stops.
        let _ = shared
            .control
            .send(Command::Finished(attempt, generated))
            .await;
    });
    dispatch.abort_handle()
}

/// Requests a sample from one daemon after the other, in the order of their rank for the sample's
/// group, until one returns a result.
async fn dispatch(shared: &Arc<Shared>, task: Task) -> Generated {
    let view = Arc::clone(&shared.snapshot.load().view);
    let mut subject = task.id.trainer.as_str().as_bytes().to_vec();
    subject.extend(task.key.group.to_le_bytes());
    for member in view.coordinators(&subject) {
        let request = PeerRequest::Generate {
            coordinator: shared.me.id,
            task: task.clone(),
        };
        let mut pending = PendingRequest::new(shared, member, task.attempt);
        let response = shared.call_member(member, request, TASK_TIMEOUT).await;
        pending.awaits_response = response.is_none();
        match response {
            Some(PeerResponse::Generated(generated)) => return generated,
            _ => continue,
        }
    }
    Generated::Failed
}

/// A sample request to a daemon; cancelled on drop unless the daemon has responded.
struct PendingRequest {
    shared: Arc<Shared>,
    member: MemberId,
    attempt: AttemptKey,
    awaits_response: bool,
}

impl PendingRequest {
    fn new(shared: &Arc<Shared>, member: MemberId, attempt: AttemptKey) -> Self {
        Self {
            shared: Arc::clone(shared),
            member,
            attempt,
            awaits_response: true,
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.awaits_response {
            return;
        }
        let (shared, member) = (Arc::clone(&self.shared), self.member);
        let request = PeerRequest::Cancel {
            coordinator: shared.me.id,
            attempt: self.attempt,
        };
        let runtime = shared.traffic.clone();
        runtime.spawn(async move {
            // A daemon that misses the cancellation stops at the sample's deadline.
            let _ = shared.call_member(member, request, CANCEL_TIMEOUT).await;
        });
    }
}
