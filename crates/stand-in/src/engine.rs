//! A model engine that streams completions from a fixed number of slots and executes weight orders.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use salvo::http::StatusCode;
use salvo::http::body::BodySender;
use salvo::{Request, Response, Router, handler};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};
use wisteriapoint_types::{WeightVersion, hash64};
use wisteriapoint_weights::{Fence, Order};

use crate::WeightStore;
use crate::order_faults::{OrderFaults, OrderOutcome};

/// Settings of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Maximum number of completions that run concurrently.
    pub slots: usize,
    /// Tokens per second of each completion.
    pub tokens_per_s: f64,
    /// Time to load a weight version, in milliseconds.
    pub load_ms: u64,
    /// Refuses weight orders whose fencing token is lower than the last accepted one.
    pub checks_fencing: bool,
    /// Text in a prompt that crashes the engine; `None` if no prompt crashes it.
    #[serde(rename = "crash_mark")]
    pub crash_marker: Option<String>,
    /// Continues completions that another engine began.
    pub resumes: bool,
    /// Software version that responses state, of an engine that writes in capitals; `None` for one that
    /// states none.
    pub software: Option<String>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            tokens_per_s: 1_000.0,
            load_ms: 100,
            checks_fencing: true,
            crash_marker: None,
            resumes: true,
            software: None,
        }
    }
}

/// An engine whose clones share its state.
#[derive(Debug, Clone)]
pub struct Engine {
    settings: Arc<EngineSettings>,
    slots: Arc<Semaphore>,
    store: Option<WeightStore>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    version: WeightVersion,
    fence: Option<Fence>,
    running: u32,
    waiting: u32,
    draining: bool,
    refused: u64,
    crashed: bool,
    started: u64,
    resumed: u64,
    cancelled: u64,
    tokens: u64,
    abort_after: Arc<Mutex<Option<u32>>>,
    orders: Vec<Order>,
    order_faults: OrderFaults,
    /// Version served before the last order took effect, and the time of the change.
    previous_version: Option<(WeightVersion, Instant)>,
}

#[derive(Debug, Deserialize)]
struct Completion {
    prompt: String,
    max_tokens: u32,
    resume: Option<Resume>,
}

#[derive(Debug, Deserialize)]
struct Resume {
    text: String,
    tokens: u32,
    version: WeightVersion,
}

impl Completion {
    fn resumed_tokens(&self) -> u32 {
        self.resume.as_ref().map_or(0, |resume| resume.tokens)
    }
}

impl Engine {
    /// Creates an idle engine at weight version 0.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(settings.slots)),
            settings: Arc::new(settings),
            store: None,
            state: Arc::default(),
        }
    }

    /// Fetches a copy of the weights from a store before each load.
    pub fn with_store(mut self, store: WeightStore) -> Self {
        self.store = Some(store);
        self
    }

    /// Returns the router of its HTTP interface.
    pub fn router(&self) -> Router {
        Router::with_path("{**path}").goal(Api(self.clone()))
    }

    /// Returns the settings that the engine was created with.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Returns the weight version being served.
    pub fn version(&self) -> WeightVersion {
        self.lock().version
    }

    /// Returns `true` if a prompt with the crash marker has crashed the engine.
    pub fn is_crashed(&self) -> bool {
        self.lock().crashed
    }

    /// Restarts the engine after a crash.
    pub fn restart(&self) {
        self.lock().crashed = false;
    }

    /// Sets whether new completions are refused with status 503 and `x-draining`.
    pub fn set_draining(&self, draining: bool) {
        self.lock().draining = draining;
    }

    /// Returns the number of completions started.
    pub fn started(&self) -> u64 {
        self.lock().started
    }

    /// Returns the number of completions refused while draining.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Returns the number of completions continued from another engine.
    pub fn resumed(&self) -> u64 {
        self.lock().resumed
    }

    /// Returns the number of completions stopped because the caller disconnected.
    pub fn cancelled(&self) -> u64 {
        self.lock().cancelled
    }

    /// Returns the number of completions that occupy a slot.
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Returns the number of tokens sent in all completions.
    pub fn tokens(&self) -> u64 {
        self.lock().tokens
    }

    /// Aborts the stream of the next completion before the token with this index.
    pub fn abort_next_stream_after(&self, tokens: u32) {
        *lock(&self.lock().abort_after) = Some(tokens);
    }

    /// Shares the pending stream abort with another engine, so that it applies to the first
    /// completion that starts on either.
    pub fn share_stream_abort(&self, other: &Self) {
        let shared = Arc::clone(&other.lock().abort_after);
        self.lock().abort_after = shared;
    }

    /// Sets the weight version being served without a weight order.
    pub fn set_version(&self, version: WeightVersion) {
        self.lock().version = version;
    }

    /// Returns all weight orders received, including refused ones.
    pub fn orders(&self) -> Vec<Order> {
        self.lock().orders.clone()
    }

    /// Sets the faults of the weight orders that follow.
    pub fn set_order_faults(&self, faults: OrderFaults) {
        self.lock().order_faults = faults;
    }

    /// Returns the text that the engine generates for a prompt.
    pub fn expected_text(prompt: &str, max_tokens: u32) -> String {
        (0..max_tokens).map(|index| token(prompt, index)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    async fn generate(self, completion: Completion, mut sender: BodySender) {
        self.lock().waiting += 1;
        let slot = self.slots.acquire().await;
        self.lock().waiting -= 1;
        if slot.is_err() {
            return;
        }
        self.lock().running += 1;
        let abort_after = lock(&self.lock().abort_after).take();
        self.send_tokens(&completion, abort_after, &mut sender)
            .await;
        self.lock().running -= 1;
    }

    async fn send_tokens(
        &self,
        completion: &Completion,
        abort_after: Option<u32>,
        sender: &mut BodySender,
    ) {
        let pause = Duration::from_secs_f64(1.0 / self.settings.tokens_per_s);
        for index in completion.resumed_tokens()..completion.max_tokens {
            sleep(pause).await;
            let (version, crashed) = {
                let state = self.lock();
                (state.version, state.crashed)
            };
            if crashed || abort_after == Some(index) {
                sender.send_error(std::io::Error::other("the engine crashed"));
                return;
            }
            let mut token = token(&completion.prompt, index);
            if self.settings.software.is_some() {
                token.make_ascii_uppercase();
            }
            let event = event(&token, version);
            if sender.send_data(event).await.is_err() {
                self.lock().cancelled += 1;
                return;
            }
            self.lock().tokens += 1;
        }
        // Sending fails if the caller has disconnected, which is not an error here.
        let _ = sender.send_data("data: [DONE]\n\n").await;
    }

    /// Returns `true` if the completion is new, or if its earlier text and weight version let this
    /// engine continue it.
    fn can_resume(&self, completion: &Completion) -> bool {
        let expected = Self::expected_text(&completion.prompt, completion.resumed_tokens());
        match &completion.resume {
            None => true,
            Some(resume) => {
                self.settings.resumes
                    && resume.version == self.version()
                    && resume.text.eq_ignore_ascii_case(&expected)
            }
        }
    }

    /// Returns `true` and counts the refusal if the engine is draining.
    fn refuse_if_draining(&self) -> bool {
        let mut state = self.lock();
        state.refused += u64::from(state.draining);
        state.draining
    }

    fn accept_order(&self, order: &Order) -> bool {
        let mut state = self.lock();
        state.orders.push(order.clone());
        if self.settings.checks_fencing && Some(order.fence) < state.fence {
            return false;
        }
        state.fence = Some(order.fence);
        true
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn token(prompt: &str, index: u32) -> String {
    format!("{:04x}.{index} ", hash64(0, prompt.as_bytes()) & 0xffff)
}

fn event(text: &str, version: WeightVersion) -> String {
    let chunk = serde_json::json!({
        "object": "text_completion",
        "choices": [{ "index": 0, "text": text, "finish_reason": null }],
        "weight_version": version,
        "tokens": 1,
    });
    format!("data: {chunk}\n\n")
}

struct Api(Engine);

#[handler]
impl Api {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if self.0.is_crashed() {
            response.status_code(StatusCode::BAD_GATEWAY);
            return;
        }
        match request.uri().path() {
            "/v1/completions" => self.complete(request, response).await,
            "/admin/status" => self.status(response),
            "/admin/weights" => self.apply_order(request, response).await,
            _ => {
                response.status_code(StatusCode::NOT_FOUND);
            }
        }
    }
}

impl Api {
    async fn complete(&self, request: &mut Request, response: &mut Response) {
        if let Some(id) = request.headers().get("x-request-id") {
            let id = id.clone();
            response.headers_mut().insert("x-request-id", id);
        }
        if self.0.refuse_if_draining() {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            let _ = response.add_header("x-draining", "true", true);
            return;
        }
        let parsed = request
            .payload()
            .await
            .map(|body| serde_json::from_slice(body));
        let Ok(Ok(completion)) = parsed else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let completion: Completion = completion;
        if !self.0.can_resume(&completion) {
            response.status_code(StatusCode::CONFLICT);
            return;
        }
        let marker = self.0.settings.crash_marker.as_deref();
        let crashes = marker.is_some_and(|marker| completion.prompt.contains(marker));
        {
            let mut state = self.0.lock();
            state.started += 1;
            state.resumed += u64::from(completion.resume.is_some());
            state.crashed |= crashes;
        }
        let _ = response.add_header("content-type", "text/event-stream", true);
        let _ = response.add_header("x-resumed-tokens", completion.resumed_tokens(), true);
        if let Some(software) = &self.0.settings.software {
            let _ = response.add_header("x-software-version", software, true);
        }
        let sender = response.channel();
        tokio::spawn(self.0.clone().generate(completion, sender));
    }

    fn status(&self, response: &mut Response) {
        let state = self.0.lock();
        let lag = Duration::from_millis(state.order_faults.report_lag_ms);
        let version = match state.previous_version {
            Some((before, at)) if at.elapsed() < lag => before,
            _ => state.version,
        };
        let status = serde_json::json!({
            "version": version,
            "running": state.running,
            "waiting": state.waiting,
            "draining": state.draining,
        });
        response.body(status.to_string());
    }

    async fn apply_order(&self, request: &mut Request, response: &mut Response) {
        let parsed = request
            .payload()
            .await
            .map(|body| serde_json::from_slice(body));
        let Ok(Ok(order)) = parsed else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let order: Order = order;
        if !self.0.accept_order(&order) {
            response.status_code(StatusCode::CONFLICT);
            return;
        }
        if let Some(store) = &self.0.store {
            store.fetch().await;
        }
        sleep(Duration::from_millis(self.0.settings.load_ms)).await;
        let mut state = self.0.lock();
        let outcome = state.order_faults.next_outcome();
        if outcome != OrderOutcome::Failed {
            state.previous_version = Some((state.version, Instant::now()));
            state.version = order.version;
        }
        if outcome != OrderOutcome::Applied {
            response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}
