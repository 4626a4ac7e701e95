//! Where an endpoint is.

use std::net::SocketAddr;

use wisteriapoint_settings::Endpoint;
use wisteriapoint_types::{EndpointName, FailureDomain};

/// What is needed to reach an endpoint.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name in the service document.
    pub endpoint: EndpointName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Whether it echoes the request id.
    pub echoes_request_id: bool,
}

impl From<&Endpoint> for Target {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            endpoint: endpoint.endpoint.clone(),
            address: endpoint.address,
            failure_domain: endpoint.failure_domain.clone(),
            echoes_request_id: endpoint.echoes_request_id,
        }
    }
}
