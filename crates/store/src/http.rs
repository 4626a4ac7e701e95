//! HTTP client of the platform's key-value service.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::Deserialize;

use crate::{Entry, Error, Index, Lease, Store, VmEntry};

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const INDEX_HEADER: &str = "x-consul-index";

/// An HTTP client of the key-value service and the VM list.
#[derive(Debug, Clone)]
pub struct HttpStore {
    client: Client,
    base_url: Box<str>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireEntry {
    key: Box<str>,
    value: Option<String>,
    modify_index: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
struct WireSession {
    id: Box<str>,
}

impl HttpStore {
    /// Creates a client for the service at a base URL.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be created.
    pub fn new(base_url: &str) -> Result<Self, Error> {
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .map_err(unavailable)?;
        Ok(Self {
            client,
            base_url: base_url.trim_end_matches('/').into(),
        })
    }

    fn url(&self, path: &str) -> String {
        format!("{}/v1/{path}", self.base_url)
    }

    async fn put<T: for<'a> Deserialize<'a>>(&self, path: &str, body: Vec<u8>) -> Result<T, Error> {
        let request = self.client.put(self.url(path)).body(body);
        let response = send(request, CALL_TIMEOUT).await?;
        response.json().await.map_err(malformed)
    }
}

impl Store for HttpStore {
    async fn list(
        &self,
        prefix: &str,
        changed_since: Option<Index>,
        wait: Duration,
    ) -> Result<(Vec<Entry>, Index), Error> {
        let mut url = self.url(&format!("kv/{prefix}?recurse=true"));
        let mut timeout = CALL_TIMEOUT;
        if let Some(Index(index)) = changed_since {
            url.push_str(&format!("&index={index}&wait={}ms", wait.as_millis()));
            timeout += wait;
        }
        let response = match send(self.client.get(url), timeout).await {
            Err(CallError::Status(StatusCode::NOT_FOUND, index)) => return Ok((Vec::new(), index)),
            other => other?,
        };
        let index = response_index(&response);
        let rows: Vec<WireEntry> = response.json().await.map_err(malformed)?;
        let entries = rows
            .into_iter()
            .map(decode_entry)
            .collect::<Result<_, _>>()?;
        Ok((entries, index))
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let request = self.client.get(self.url(&format!("kv/{key}")));
        let response = match send(request, CALL_TIMEOUT).await {
            Err(CallError::Status(StatusCode::NOT_FOUND, _)) => return Ok(None),
            other => other?,
        };
        let rows: Vec<WireEntry> = response.json().await.map_err(malformed)?;
        rows.into_iter().next().map(decode_entry).transpose()
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Index,
        value: Vec<u8>,
    ) -> Result<bool, Error> {
        self.put(&format!("kv/{key}?cas={}", expected.0), value)
            .await
    }

    async fn grant_lease(&self, key: &str, value: Vec<u8>, ttl: Duration) -> Result<Lease, Error> {
        let body = serde_json::json!({
            "TTL": format!("{}s", ttl.as_secs()),
            "Behavior": "delete",
            "LockDelay": "0s",
        });
        let session: WireSession = self
            .put("session/create", body.to_string().into_bytes())
            .await?;
        let acquired: bool = self
            .put(&format!("kv/{key}?acquire={}", session.id), value)
            .await?;
        match acquired {
            true => Ok(Lease { id: session.id }),
            false => Err(Error::LeaseExpired),
        }
    }

    async fn renew_lease(&self, lease: &Lease) -> Result<(), Error> {
        let request = self
            .client
            .put(self.url(&format!("session/renew/{}", lease.id)));
        match send(request, CALL_TIMEOUT).await {
            Ok(_) => Ok(()),
            Err(CallError::Status(StatusCode::NOT_FOUND, _)) => Err(Error::LeaseExpired),
            Err(error) => Err(error.into()),
        }
    }

    async fn release_lease(&self, lease: &Lease) -> Result<(), Error> {
        let _released: bool = self
            .put(&format!("session/destroy/{}", lease.id), Vec::new())
            .await?;
        Ok(())
    }

    async fn vms(&self) -> Result<Vec<VmEntry>, Error> {
        let response = send(self.client.get(self.url("vms")), CALL_TIMEOUT).await?;
        response.json().await.map_err(malformed)
    }
}

enum CallError {
    Status(StatusCode, Index),
    Other(Error),
}

impl From<CallError> for Error {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Status(StatusCode::TOO_MANY_REQUESTS, _) => Self::RateLimited,
            CallError::Status(status, _) => Self::Unavailable(status.to_string().into()),
            CallError::Other(error) => error,
        }
    }
}

async fn send(request: RequestBuilder, timeout: Duration) -> Result<Response, CallError> {
    let response = request
        .timeout(timeout)
        .send()
        .await
        .map_err(|error| CallError::Other(unavailable(error)))?;
    match response.status() {
        status if status.is_success() => Ok(response),
        status => Err(CallError::Status(status, response_index(&response))),
    }
}

fn response_index(response: &Response) -> Index {
    let value = response
        .headers()
        .get(INDEX_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    Index(value.unwrap_or(0))
}

fn decode_entry(row: WireEntry) -> Result<Entry, Error> {
    let value = STANDARD
        .decode(row.value.unwrap_or_default())
        .map_err(|error| Error::Malformed(error.to_string().into()))?;
    Ok(Entry {
        key: row.key,
        value,
        index: Index(row.modify_index),
    })
}

fn unavailable(error: reqwest::Error) -> Error {
    Error::Unavailable(error.to_string().into())
}

fn malformed(error: reqwest::Error) -> Error {
    Error::Malformed(error.to_string().into())
}
