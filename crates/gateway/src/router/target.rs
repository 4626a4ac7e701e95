//! Address of an endpoint.

use std::net::SocketAddr;

use wisteriapoint_settings::Endpoint;
use wisteriapoint_types::{EndpointName, FailureDomain};

/// Address and properties of an endpoint that are needed to send requests to it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name in the service document.
    pub endpoint: EndpointName,
    /// Address to which requests are sent.
    pub address: SocketAddr,
    /// Failure domain in which the endpoint runs.
    pub failure_domain: FailureDomain,
    /// Whether the endpoint echoes the request id in its responses.
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
