//! Calls to the admin addresses of daemons.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response, StatusCode};

use crate::Error;
use crate::http::admin::Status;
use crate::http::explain::Explanation;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A client of daemons' admin addresses.
#[derive(Debug, Clone)]
pub(super) struct Daemons {
    client: Client,
}

impl Daemons {
    pub(super) fn new() -> Result<Self, Error> {
        let client = Client::builder().no_proxy().timeout(CALL_TIMEOUT);
        Ok(Self {
            client: client.build()?,
        })
    }

    pub(super) async fn status(&self, admin: SocketAddr) -> Result<Status, Error> {
        let answer = send(self.get(admin, "status")).await?;
        Ok(answer.error_for_status()?.json().await?)
    }

    pub(super) async fn explain(
        &self,
        admin: SocketAddr,
        service: &str,
    ) -> Result<Option<Explanation>, Error> {
        let answer = send(self.get(admin, &format!("explain/{service}"))).await?;
        match answer.status() {
            StatusCode::NOT_FOUND => Ok(None),
            _ => Ok(Some(answer.error_for_status()?.json().await?)),
        }
    }

    pub(super) async fn ready(&self, admin: SocketAddr) -> Result<(), Error> {
        let answer = send(self.get(admin, "ready")).await?;
        match answer.status() {
            status if status.is_success() => Ok(()),
            _ => Err(Error::NotReady(answer.text().await?.trim().into())),
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
