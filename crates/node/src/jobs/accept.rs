//! Submissions: stored before they are acknowledged.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;
use wisteriapoint_batch::{Job, JobRecord, JobState, Submission};
use wisteriapoint_directory::Route;
use wisteriapoint_store::{CommitOutcome, Index, Transaction};

use super::owned::{Owned, OwnedRow};
use super::{keys, run, takeover};
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Pause between looks whether another copy of a submission has been answered.
const COPY_PAUSE: Duration = Duration::from_millis(10);
/// Times that a submission whose answer was lost is looked up before its caller is told so.
const MAX_LOOKUPS: u32 = 3;
/// Pause between these, in milliseconds.
const LOOKUP_PAUSE: Duration = Duration::from_millis(150);

/// What became of a submission.
#[derive(Debug)]
pub enum Accepted {
    /// It is stored, now or from an earlier attempt.
    Stored,
    /// It is not, and will not be.
    NotStored(Box<str>),
    /// It may be or become stored.
    Unknown(Box<str>),
}

/// Stores a batch job and begins to run it.
pub async fn submit<D: Dialect>(
    node: &Rc<Node<D>>,
    route: &Route,
    id: &str,
    host: &str,
    path: &str,
    body: Bytes,
    submission: Submission,
) -> Accepted {
    // Another copy of the submission may be on its way to the store.
    while node.jobs.is_being_accepted(id) {
        sleep(COPY_PAUSE).await;
    }
    if node.jobs.is_known(id) {
        return Accepted::Stored;
    }
    let _accepting = node.jobs.begin_accepting(id);
    let record = JobRecord {
        host: host.into(),
        path: path.into(),
        submitted_unix_ms: node.clock.unix_ms(),
        body: body.to_vec(),
    };
    let state = JobState {
        owner: node.owner.clone(),
        open: true,
        total: submission.items.len() as u32,
        listed: 0,
        commits: 0,
        nonce: rand::random(),
    };
    let transaction = match transaction(id, &record, &state) {
        Ok(transaction) => transaction,
        Err(why) => return Accepted::NotStored(why),
    };
    let items = submission.items.len();
    let committed = takeover::commit_state(node, id, &transaction, &state).await;
    node.note_store("accept", &committed);
    let revision = match committed {
        Ok(CommitOutcome::Done(revision)) => revision,
        Ok(CommitOutcome::Conflict | CommitOutcome::LeaseEnded) => {
            event!(info, "batch job known", id = id);
            // It may be an earlier copy of this very write that the row comes from.
            takeover::adopt_own(node, id);
            return Accepted::Stored;
        }
        Err(error) if !error.may_have_taken_effect() => {
            return Accepted::NotStored(error.to_string().into());
        }
        Err(error) => match look_up(node, id, &state).await {
            Some(revision) => revision,
            None => {
                // Should it take effect later, the keeper finds it without a live owner or
                // this node is asked for it.
                takeover::adopt_own(node, id);
                return Accepted::Unknown(error.to_string().into());
            }
        },
    };
    event!(
        info,
        "batch job accepted",
        id = id,
        items = items,
        route = route.name,
        revision = revision.0
    );
    node.jobs.note_work(node.now_ms(), &submission);
    let give_up_at_ms = node.now_ms() + route.retention_ms;
    let job = Job::new(submission, route.max_attempts, give_up_at_ms);
    let owned = Owned::new(id, &record, job, OwnedRow { revision, state });
    node.jobs.insert(owned.clone());
    run::start(node, owned);
    Accepted::Stored
}

fn transaction(id: &str, record: &JobRecord, state: &JobState) -> Result<Transaction, Box<str>> {
    let state = serde_json::to_vec(state).map_err(|error| error.to_string())?;
    let record = postcard::to_stdvec(record).map_err(|error| error.to_string())?;
    let mut transaction = Transaction::new().with_expected(keys::state(id), Index(0));
    for (part, bytes) in record.chunks(keys::MAX_PART_BYTES).enumerate() {
        transaction = transaction.with_put(keys::record_part(id, part), bytes.to_vec());
    }
    Ok(transaction.with_put(keys::state(id), state))
}

/// The revision of the row if this node's write took effect.
async fn look_up<D: Dialect>(node: &Node<D>, id: &str, state: &JobState) -> Option<Index> {
    for _ in 0..MAX_LOOKUPS {
        match takeover::read_state(node, id).await {
            Ok(Some((revision, stored))) if stored == *state => return Some(revision),
            Ok(Some(_)) => return None,
            Ok(None) | Err(_) => sleep(LOOKUP_PAUSE).await,
        }
    }
    None
}
