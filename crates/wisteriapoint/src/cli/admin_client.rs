//! Client for the admin addresses of daemons.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response, StatusCode};

use crate::Error;
use crate::http::admin::Status;
use crate::http::explain::Explanation;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends requests to the admin addresses of daemons.
#[derive(Debug, Clone)]
pub(super) struct AdminClient {
    client: Client,
}

impl AdminClient {
    pub(super) fn new() -> Result<Self, Error> {
        let client = Client::builder().no_proxy().timeout(REQUEST_TIMEOUT);
        Ok(Self {
            client: client.build()?,
        })
    }

    pub(super) async fn status(&self, admin: SocketAddr) -> Result<Status, Error> {
        let response = send(self.get(admin, "status")).await?;
        Ok(response.error_for_status()?.json().await?)
    }

    pub(super) async fn explain(
        &self,
        admin: SocketAddr,
        service: &str,
    ) -> Result<Option<Explanation>, Error> {
        let response = send(self.get(admin, &format!("explain/{service}"))).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            _ => Ok(Some(response.error_for_status()?.json().await?)),
        }
    }

    pub(super) async fn ready(&self, admin: SocketAddr) -> Result<(), Error> {
        let response = send(self.get(admin, "ready")).await?;
        match response.status() {
            status if status.is_success() => Ok(()),
            _ => Err(Error::NotReady(response.text().await?.trim().into())),
        }
    }

    pub(super) async fn drain(&self, admin: SocketAddr) -> Result<(), Error> {
        let request = self.client.post(format!("http://{admin}/drain"));
        send(request).await?.error_for_status()?;
        Ok(())
    }

    fn get(&self, admin: SocketAddr, path: &str) -> RequestBuilder {
        self.client.get(format!("http://{admin}/{path}"))
    }
}

async fn send(request: RequestBuilder) -> Result<Response, Error> {
    Ok(request.send().await?)
}
