//! The coordinator's dispatch of samples to daemons.

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

/// Has a daemon generate a sample and tells control of the result.
///
/// When the task is aborted, that daemon is told to stop.
pub fn spawn_task(shared: &Arc<Shared>, task: Task) -> AbortHandle {
    let runtime = shared.traffic.clone();
    let shared = Arc::clone(shared);
    let dispatch = runtime.spawn(async move {
        let attempt = task.attempt;
        let generated = generate(&shared, task).await;
        if !matches!(generated, Generated::Complete(_)) {
            sleep(FAILURE_PAUSE).await;
        }
        // Control is gone only when the daemon stops.
        let _ = shared
            .control
            .send(Command::Finished(attempt, generated))
            .await;
    });
    dispatch.abort_handle()
}

/// Asks the daemons in the order of their rank for the sample's group.
async fn generate(shared: &Arc<Shared>, task: Task) -> Generated {
    let view = Arc::clone(&shared.snapshot.load().view);
    let mut subject = task.id.trainer.as_str().as_bytes().to_vec();
    subject.extend(task.key.group.to_le_bytes());
    for member in view.coordinators(&subject) {
        let question = PeerRequest::Generate {
            coordinator: shared.me.id,
            task: task.clone(),
        };
        let mut asked = Asked::new(shared, member, task.attempt);
        let reply = shared.call_member(member, question, TASK_TIMEOUT).await;
        asked.is_open = reply.is_none();
        match reply {
            Some(PeerResponse::Generated(generated)) => return generated,
            _ => continue,
        }
    }
    Generated::Failed
}

/// A daemon that was asked for a sample; told to stop unless it has answered.
struct Asked {
    shared: Arc<Shared>,
    member: MemberId,
    attempt: AttemptKey,
    is_open: bool,
}

impl Asked {
    fn new(shared: &Arc<Shared>, member: MemberId, attempt: AttemptKey) -> Self {
        Self {
            shared: Arc::clone(shared),
            member,
            attempt,
            is_open: true,
        }
    }
}

impl Drop for Asked {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let (shared, member) = (Arc::clone(&self.shared), self.member);
        let question = PeerRequest::Cancel {
            coordinator: shared.me.id,
            attempt: self.attempt,
        };
        let runtime = shared.traffic.clone();
        runtime.spawn(async move {
            // A daemon that does not hear this stops at the sample's deadline.
            let _ = shared.call_member(member, question, CANCEL_TIMEOUT).await;
        });
    }
}
