//! What the duties need of a node.

use std::future::Future;
use std::net::SocketAddr;

use wisteriapoint_batch::Owner;
use wisteriapoint_scaling::Service;
use wisteriapoint_store::{Error, TransactionalStore};

use crate::{
    Coordination, CoordinationRequest, CoordinationResponse, DutyClient, DutySettings,
    ServiceDemand,
};

/// The services whose endpoints may be ordered, with their present endpoints.
#[derive(Debug, Clone)]
pub struct ScaledServices {
    /// Bounds, prices and present endpoints.
    pub services: Vec<Service>,
    /// Age of what is known of the endpoints, in milliseconds.
    pub age_ms: u64,
}

/// A node as the duties see it.
pub trait Environment: 'static {
    /// Client of the platform's store.
    type Store: TransactionalStore;
    /// Client of the platform's API.
    type Client: DutyClient;

    /// Returns the state of the duties at this node.
    fn coordination(&self) -> &Coordination;
    /// Returns this run of the node.
    fn owner(&self) -> &Owner;
    /// Returns the holder of the duties, if it is known.
    fn holder(&self) -> Option<Owner>;
    /// Returns the time since boot in milliseconds, which includes suspension.
    fn boot_ms(&self) -> u64;
    /// Returns the time of day in Unix milliseconds, which includes suspension.
    fn unix_ms(&self) -> u64;
    /// Returns the version of the configuration in force.
    fn configuration_version(&self) -> Option<u64>;
    /// Reads the configuration from the store and puts it into force.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or the configuration is malformed.
    fn read_configuration(&self) -> impl Future<Output = Result<(), Error>>;
    /// Sends a request to the holder; returns `None` without an answer in time.
    fn ask(
        &self,
        holder: SocketAddr,
        request: CoordinationRequest,
    ) -> impl Future<Output = Option<CoordinationResponse>>;
    /// Returns the requests that wait or run at this node, by service.
    fn demand(&self) -> Vec<ServiceDemand>;

    /// Returns the number of nodes that have a row, this one included.
    fn member_count(&self) -> usize;
    /// Returns the services whose endpoints may be ordered; `None` while this node does not know all
    /// endpoints as they are.
    fn scaled_services(&self) -> Option<ScaledServices>;

    /// Returns the client of the store.
    fn store(&self) -> &Self::Store;
    /// Counts a call to the store by its result.
    fn record_store_call<T>(&self, call: &str, result: &Result<T, Error>);
    /// Returns the settings of the duties; `None` if there are none.
    fn duty_settings(&self) -> Option<&DutySettings>;
    /// Returns the client of the platform's API; `None` if there are no duties.
    fn duty_client(&self) -> Option<&Self::Client>;
    /// Returns `true` if no other node can become the holder within [`MAX_CALL_MS`](crate::MAX_CALL_MS).
    fn may_act(&self, fence: u64) -> bool;
    /// Counts a call to the platform's API.
    fn record_duty_call(&self, duty: &str, outcome: &str);
    /// Sets a gauge of the node's state.
    fn set_state(&self, of: &str, value: i64);
}
