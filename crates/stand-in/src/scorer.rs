//! A service that scores samples.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use salvo::http::StatusCode;
use salvo::{Request, Response, Router, handler};

/// A scorer whose clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Scorer {
    failures_left: Arc<AtomicU32>,
}

impl Scorer {
    /// Creates a scorer that answers the first `failures` requests with status 500.
    pub fn new(failures: u32) -> Self {
        Self {
            failures_left: Arc::new(failures.into()),
        }
    }

    /// Returns the score of a text, which is its length in bytes.
    pub fn score(text: &str) -> f64 {
        text.len() as f64
    }

    /// Returns the router of its HTTP interface.
    pub fn router(&self) -> Router {
        Router::with_path("{**path}").goal(Api(self.clone()))
    }
}

struct Api(Scorer);

#[handler]
impl Api {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if let Some(id) = request.headers().get("x-request-id").cloned() {
            response.headers_mut().insert("x-request-id", id);
        }
        let left = &self.0.failures_left;
        let decremented =
            left.fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1));
        let body = request.payload().await.cloned().unwrap_or_default();
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        match body["text"].as_str() {
            Some(text) if decremented.is_err() => {
                let score = serde_json::json!({ "score": Scorer::score(text) });
                response.body(score.to_string());
            }
            _ => {
                response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
            }
        }
    }
}
