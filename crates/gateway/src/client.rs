//! HTTP clients for endpoints.

use std::time::Duration;

use reqwest::redirect::Policy;
use reqwest::{Client, ClientBuilder};

use crate::Failure;
use crate::failure::Kind;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Header that ties an answer to its request.
pub const REQUEST_ID: &str = "x-request-id";

/// HTTP clients that neither retry nor follow redirects on their own.
#[derive(Debug, Clone)]
pub struct Clients {
    pub(crate) pooled: Client,
    pub(crate) single_use: Client,
}

impl Clients {
    /// Makes the clients.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library can't be set up.
    pub fn new() -> Result<Self, Failure> {
        Ok(Self {
            pooled: build(base())?,
            single_use: build(base().pool_max_idle_per_host(0))?,
        })
    }

    pub(crate) fn for_request(&self, idempotent: bool) -> &Client {
        match idempotent {
            true => &self.pooled,
            false => &self.single_use,
        }
    }
}

fn base() -> ClientBuilder {
    Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
}

fn build(builder: ClientBuilder) -> Result<Client, Failure> {
    builder
        .build()
        .map_err(|error| Failure::not_run(Kind::Setup(error)))
}
