//! Reads of service records, retried while the platform does not answer.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use wisteriapoint_store::{Entry, Error as PlatformError, Index, Store, keys};
use wisteriapoint_types::ServiceName;

use crate::Error;
use crate::record::ServiceRecord;

const INITIAL_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Exponential backoff between attempts, up to a deadline.
#[derive(Debug)]
pub(super) struct DeadlineBackoff {
    next: Duration,
    deadline: Instant,
}

impl DeadlineBackoff {
    pub(super) fn new(deadline: Instant) -> Self {
        Self {
            next: INITIAL_DELAY,
            deadline,
        }
    }

    /// Waits before the next attempt; returns `false` at once if no time is left for one.
    pub(super) async fn wait(&mut self) -> bool {
        if Instant::now() + self.next > self.deadline {
            return false;
        }
        sleep(self.next).await;
        self.next = (self.next * 2).min(MAX_DELAY);
        true
    }
}

/// Reads the record of a service, if it exists.
pub(super) async fn read<S: Store>(
    store: &S,
    service: &ServiceName,
    deadline: Instant,
) -> Result<Option<(ServiceRecord, Index)>, Error> {
    let key = keys::service(service);
    let entry = with_retries(deadline, || store.get(&key)).await?;
    entry.map(|entry| parse(&entry)).transpose()
}

/// Reads the entries of all services.
pub(super) async fn list<S: Store>(store: &S, deadline: Instant) -> Result<Vec<Entry>, Error> {
    let listed = with_retries(deadline, || {
        store.list(keys::SERVICES, None, Duration::ZERO)
    });
    Ok(listed.await?.0)
}

async fn with_retries<T, F>(deadline: Instant, call: impl Fn() -> F) -> Result<T, PlatformError>
where
    F: Future<Output = Result<T, PlatformError>>,
{
    let mut backoff = DeadlineBackoff::new(deadline);
    loop {
        let error = match call().await {
            Ok(value) => return Ok(value),
            Err(error) => error,
        };
        if is_permanent(&error) || !backoff.wait().await {
            return Err(error);
        }
    }
}

/// Reads the record of a service and fails if it does not exist.
pub(super) async fn read_existing<S: Store>(
    store: &S,
    service: &ServiceName,
    deadline: Instant,
) -> Result<(ServiceRecord, Index), Error> {
    let found = read(store, service, deadline).await?;
    found.ok_or_else(|| Error::UnknownService(service.clone()))
}

pub(super) fn parse(entry: &Entry) -> Result<(ServiceRecord, Index), Error> {
    Ok((serde_json::from_slice(&entry.value)?, entry.index))
}

fn is_permanent(error: &PlatformError) -> bool {
    matches!(error, PlatformError::Malformed(_))
}
