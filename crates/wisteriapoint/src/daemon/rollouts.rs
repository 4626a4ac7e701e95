//! The coordinator's dispatch of samples to daemons.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use wisteriapoint_rollout::{Sample, Task};

use super::Shared;
use super::control::Command;
use super::message::{Question, Reply};

const TASK_TIMEOUT: Duration = Duration::from_secs(150);
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Has a daemon generate a sample and tells control of the result.
pub fn spawn_task(shared: Arc<Shared>, task: Task) {
    let runtime = shared.traffic.clone();
    runtime.spawn(async move {
        let (id, key) = (task.id.clone(), task.key);
        let sample = generate(&shared, task).await;
        if sample.is_none() {
            sleep(FAILURE_PAUSE).await;
        }
        // Control is gone only when the daemon stops.
        let _ = shared
            .control
            .send(Command::Finished(id, key, sample))
            .await;
    });
}

/// Asks the daemons in the order of their rank for the sample's group.
async fn generate(shared: &Arc<Shared>, task: Task) -> Option<Sample> {
    let view = Arc::clone(&shared.snapshot.load().view);
    let mut subject = task.id.trainer.as_str().as_bytes().to_vec();
    subject.extend(task.key.group.to_le_bytes());
    for id in view.coordinators(&subject) {
        let question = Question::Generate(task.clone());
        match shared.ask(id, question, TASK_TIMEOUT).await {
            Some(Reply::Generated(sample)) => return sample,
            _ => continue,
        }
    }
    None
}
