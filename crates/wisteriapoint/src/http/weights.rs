//! `PUT /v1/weights/{service}`: publication of a weight version.

use std::sync::Arc;

use salvo::{Request, Response, handler};
use wisteriapoint_gateway::Problem;
use wisteriapoint_store::{Error, Index, Store, keys};
use wisteriapoint_types::ServiceName;

use super::{MAX_BODY_BYTES, bounds, respond};
use crate::daemon::Shared;
use crate::record::WeightRecord;

/// Handles `PUT`: publishes a weight version.
#[derive(Debug)]
pub struct Publish {
    shared: Arc<Shared>,
}

#[handler]
impl Publish {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let _in_flight = self.shared.track_in_flight();
        match self.publish(request).await {
            Ok(record) => respond::json(response, &record),
            Err(problem) => respond::problem(response, &problem),
        }
    }
}

impl Publish {
    async fn publish(&self, request: &mut Request) -> Result<WeightRecord, Problem> {
        let service = ServiceName::new(request.param::<String>("service").unwrap_or_default());
        bounds::check_publish(&self.shared, &service)?;
        let record: WeightRecord = respond::read_json(request, MAX_BODY_BYTES).await?;
        let published = publish_if_newer(&self.shared.store, &service, record).await;
        published.map_err(|error| {
            Problem::may_have_run(503, "platform-unavailable", error.to_string())
                .with_retry_after_ms(1_000)
        })
    }
}

/// Publishes a version unless the same or a newer one is published, and returns the published
/// one.
async fn publish_if_newer<S: Store>(
    store: &S,
    service: &ServiceName,
    record: WeightRecord,
) -> Result<WeightRecord, Error> {
    let key = keys::weights(service);
    let value =
        serde_json::to_vec(&record).map_err(|error| Error::Malformed(error.to_string().into()))?;
    loop {
        let entry = store.get(&key).await?;
        let index = entry.as_ref().map_or(Index(0), |entry| entry.index);
        let current = entry.and_then(|entry| serde_json::from_slice(&entry.value).ok());
        match current {
            Some(WeightRecord { version }) if version >= record.version => {
                return Ok(WeightRecord { version });
            }
            _ => {}
        }
        if store.compare_and_swap(&key, index, value.clone()).await? {
            return Ok(record);
        }
    }
}
