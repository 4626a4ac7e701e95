//! Reports of use: each window is decided once, stored, and repeated until the platform accepts it.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use wisteriapoint_event::event;
use wisteriapoint_store::{
    CommitOutcome, Error, Freshness, Index, Transaction, TransactionalStore,
};
use wisteriapoint_usage::{UsageLedger, UsageRecord, Windows};

use crate::{Duty, DutyCall, DutyClient, DutyOutcome, DutySettings, Environment};

/// Key of the row with the decided windows.
pub const USAGE_KEY: &str = "wp/usage";
/// Interval at which windows are decided and sent.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time for a new holder to hear from all nodes, before it decides a window.
const COLLECTION_TIME: Duration = Duration::from_millis(2_500);
/// Pause after a call without success, so that a slow platform is not pressed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The row as this holder knows it.
#[derive(Debug, Clone)]
struct StoredRecord {
    record: UsageRecord,
    revision: Index,
}

/// Decides, stores and sends the windows under a fencing token.
pub(crate) async fn report_usage<E: Environment>(env: &Rc<E>, fence: u64, delay: Duration) {
    let settings = env
        .duty_settings()
        .filter(|settings| settings.includes(Duty::Usage));
    let (Some(settings), Some(client)) = (settings, env.duty_client()) else {
        return std::future::pending().await;
    };
    let _reset = LedgerReset(env.clone());
    let windows = Windows::new(settings.window_ms());
    let began = Instant::now();
    let mut stored = None;
    loop {
        let mut current = match stored.take() {
            Some(current) => current,
            None => load(env, windows).await,
        };
        if began.elapsed() >= COLLECTION_TIME.max(delay) {
            collect_own(env);
            let wait_ms = settings.due_ms() / 2;
            match decide(env, current, wait_ms).await {
                Ok(decided) => current = decided,
                Err(error) => {
                    event!(
                        info,
                        "counts of a window not stored; retrying",
                        error = error
                    );
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
            }
        }
        if began.elapsed() >= delay && env.may_act(fence) {
            current.record = send(env, client, settings, current.record, fence).await;
        }
        env.set_state("usage_windows_pending", current.record.pending.len() as i64);
        stored = Some(current);
        sleep(POLL_INTERVAL).await;
    }
}

/// Ends the collection of counts when the node no longer holds the duties.
struct LedgerReset<E: Environment>(Rc<E>);

impl<E: Environment> Drop for LedgerReset<E> {
    fn drop(&mut self) {
        self.0.coordination().ledger.replace(None);
    }
}

fn collect_own<E: Environment>(env: &Rc<E>) {
    let coordination = env.coordination();
    let own = coordination.open_counts();
    if let Some(ledger) = coordination.ledger.borrow_mut().as_mut() {
        let owner = env.owner();
        ledger.record((&owner.vm, owner.run), env.unix_ms(), own);
    }
}

/// Reads the row until the store answers.
///
/// A deployment without the row begins with the window in progress. That is stored before any node
/// learns of it, since nodes discard their counts of earlier windows.
async fn load<E: Environment>(env: &Rc<E>, windows: Windows) -> StoredRecord {
    loop {
        let row = env.store().row(USAGE_KEY, Freshness::Linearizable).await;
        env.record_store_call("usage", &row);
        let loaded = match row {
            Ok((Some(row), _)) => UsageRecord::from_bytes(&row.value)
                .map(|record| (record, row.revision))
                .map_err(|error| Error::Malformed(error.to_string().into())),
            Ok((None, _)) => {
                let record = UsageRecord::new(windows.window_of(env.unix_ms()));
                let stored = store(env, &record, Index(0)).await;
                stored.map(|revision| (record, revision))
            }
            Err(error) => Err(error),
        };
        match loaded {
            Ok((record, revision)) => {
                let mut ledger = env.coordination().ledger.borrow_mut();
                ledger
                    .get_or_insert_with(|| UsageLedger::new(windows, record.first_open))
                    .settle(record.first_open);
                return StoredRecord { record, revision };
            }
            Err(error) => {
                event!(
                    info,
                    "decided windows could not be read; retrying",
                    error = error
                );
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Replaces the row of a revision, 0 for none; returns the new revision.
///
/// # Errors
///
/// Fails if the row has another revision, or if it is not known whether it was written.
async fn store<E: Environment>(
    env: &Rc<E>,
    record: &UsageRecord,
    expected: Index,
) -> Result<Index, Error> {
    let value = record.to_bytes();
    let value = value.map_err(|error| Error::Malformed(error.to_string().into()))?;
    let transaction = Transaction::new()
        .with_expected(USAGE_KEY, expected)
        .with_put(USAGE_KEY, value);
    let committed = env.store().commit(&transaction).await;
    env.record_store_call("usage", &committed);
    match committed? {
        CommitOutcome::Done(revision) => Ok(revision),
        CommitOutcome::Conflict | CommitOutcome::LeaseEnded => {
            Err(Error::Refused("another holder has written the row".into()))
        }
    }
}

/// Decides and stores the windows that are complete.
///
/// # Errors
///
/// Fails if it is not known whether the row was written; it has to be read again.
async fn decide<E: Environment>(
    env: &Rc<E>,
    mut current: StoredRecord,
    wait_ms: u64,
) -> Result<StoredRecord, Error> {
    loop {
        let now_unix_ms = env.unix_ms();
        let decided = {
            let ledger = env.coordination().ledger.borrow();
            let ledger = ledger.as_ref();
            ledger.and_then(|ledger| {
                let decided = ledger.decide(now_unix_ms, wait_ms)?;
                Some((decided, ledger.awaited(now_unix_ms).join(",")))
            })
        };
        let Some((decided, missing)) = decided else {
            return Ok(current);
        };
        let window = decided.window;
        let total: u64 = decided.counts.values().sum();
        let record = current.record.with_decided(decided);
        let revision = store(env, &record, current.revision).await?;
        event!(
            info,
            "counts of a window decided",
            window = window,
            requests = total,
            missing = missing,
        );
        if let Some(ledger) = env.coordination().ledger.borrow_mut().as_mut() {
            ledger.settle(window + 1);
        }
        env.coordination().settle(window + 1);
        current = StoredRecord { record, revision };
    }
}

/// Sends the oldest window that the platform has not accepted.
///
/// That it has accepted it is stored with the next window; a successor repeats the same counts.
async fn send<E: Environment>(
    env: &Rc<E>,
    client: &E::Client,
    settings: &DutySettings,
    record: UsageRecord,
    fence: u64,
) -> UsageRecord {
    let Some(window) = record.pending.front() else {
        return record;
    };
    let call = DutyCall::Usage(window);
    let outcome = client
        .call(&env.owner().vm, fence, call, || env.may_act(fence))
        .await;
    let ended_ms = Windows::new(settings.window_ms()).end_ms(window.window);
    let late_ms = env.unix_ms().saturating_sub(ended_ms + settings.due_ms());
    env.record_duty_call("usage", outcome_name(outcome));
    event!(
        info,
        "use reported",
        window = window.window,
        workspaces = window.counts.len(),
        fence = fence,
        outcome = outcome_name(outcome),
        late_ms = late_ms,
    );
    match outcome {
        DutyOutcome::Accepted => {
            let number = window.window;
            record.with_accepted(number)
        }
        // A later holder exists, or existed: this one sends nothing more under its fencing token.
        DutyOutcome::Refused => std::future::pending().await,
        DutyOutcome::Failed | DutyOutcome::Unanswered => {
            sleep(RETRY_PAUSE).await;
            record
        }
    }
}

pub(crate) fn outcome_name(outcome: DutyOutcome) -> &'static str {
    match outcome {
        DutyOutcome::Accepted => "accepted",
        DutyOutcome::Refused => "refused",
        DutyOutcome::Failed => "failed",
        DutyOutcome::Unanswered => "unanswered",
    }
}
