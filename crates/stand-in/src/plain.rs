//! A plain service that counts the executions of each request.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use salvo::http::{Method, StatusCode};
use salvo::{Request, Response, Router, handler};
use tokio::time::sleep;

/// A plain service whose clones share its state.
#[derive(Debug, Clone, Default)]
pub struct PlainService {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    delay: Duration,
    draining: bool,
    refused: u64,
    runs: BTreeMap<String, u32>,
}

impl PlainService {
    /// Creates a service that answers without delay.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time that each execution of a request takes.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Sets whether requests are refused with status 503 and `x-draining`.
    pub fn set_draining(&self, draining: bool) {
        self.lock().draining = draining;
    }

    /// Returns the number of requests refused while draining, not counting `HEAD` probes.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Returns the number of executions of all requests.
    pub fn total_runs(&self) -> u32 {
        self.lock().runs.values().sum()
    }

    /// Returns the number of executions by idempotency key; requests without a key count under the
    /// empty string.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        self.lock().runs.clone()
    }

    /// Returns the router of its HTTP interface.
    pub fn router(&self) -> Router {
        Router::with_path("{**path}").goal(Api(self.clone()))
    }

    /// Returns `true` if the service is draining; counts the refusal unless it is of a probe.
    fn refuse_if_draining(&self, is_probe: bool) -> bool {
        let mut state = self.lock();
        let is_refused = state.draining;
        state.refused += u64::from(is_refused && !is_probe);
        is_refused
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Api(PlainService);

#[handler]
impl Api {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if request.uri().path() == "/admin/runs" {
            response.body(serde_json::to_vec(&self.0.runs()).unwrap_or_default());
            return;
        }
        let headers = request.headers();
        if let Some(id) = headers.get("x-request-id").cloned() {
            response.headers_mut().insert("x-request-id", id);
        }
        let is_probe = request.method() == Method::HEAD;
        if self.0.refuse_if_draining(is_probe) {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            let _ = response.add_header("x-draining", "true", true);
            return;
        }
        if is_probe {
            return;
        }
        let key = request.headers().get("idempotency-key");
        let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
        let path = request.uri().path().to_owned();
        let body = request.payload().await.cloned().unwrap_or_default();
        let run = {
            let mut state = self.0.lock();
            let count = state.runs.entry(key.unwrap_or_default()).or_default();
            *count += 1;
            *count
        };
        let delay = self.0.lock().delay;
        sleep(delay).await;
        let echo = serde_json::json!({
            "path": path,
            "run": run,
            "body": String::from_utf8_lossy(&body),
        });
        let _ = response.add_header("content-type", "application/json", true);
        response.body(echo.to_string());
    }
}
