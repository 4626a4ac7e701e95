//! A platform that serves a key-value store with sessions and blocking queries, and the VM list.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use salvo::http::{Method, StatusCode};
use salvo::{Request, Response, Router, handler};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};
use uuid::Uuid;
use wisteriapoint_store::VmEntry;

const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
const FIRST_INDEX: u64 = 1;
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Faults injected into the calls to the platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every call with status 503 and without effect.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes, from the next one on, that take effect but are answered with status 500.
    #[serde(rename = "lose_write_answers")]
    pub drop_write_responses: u32,
    /// Calls served per second; further calls get status 429. `None` sets no limit.
    pub calls_per_s: Option<u32>,
    /// Prefix whose blocking queries return only when their wait time ends, not on changes.
    #[serde(rename = "deaf_prefix")]
    pub suppressed_watch_prefix: Option<String>,
}

impl Faults {
    /// Returns `true` if blocking queries on this key do not return on changes.
    ///
    /// Trailing slashes are ignored because the key from a request path has none.
    fn suppresses_watch(&self, key: &str) -> bool {
        let suppressed = self.suppressed_watch_prefix.as_deref();
        suppressed.is_some_and(|prefix| prefix.trim_end_matches('/') == key.trim_end_matches('/'))
    }
}

/// Counts of calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads; each blocking query counts once.
    pub reads: u64,
    /// Writes, including those that changed nothing.
    pub writes: u64,
    /// Calls rejected by the rate limit.
    pub limited: u64,
}

/// A platform whose clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    index: u64,
    rows: BTreeMap<String, Row>,
    removed: BTreeMap<String, u64>,
    sessions: BTreeMap<String, Session>,
    vms: Vec<VmEntry>,
    faults: Faults,
    calls: Calls,
    waiting: u32,
    window: Option<(Instant, u32)>,
}

#[derive(Debug, Clone)]
struct Row {
    value: Vec<u8>,
    created: u64,
    modified: u64,
    session: Option<String>,
}

#[derive(Debug)]
struct Session {
    ttl: Duration,
    expires: Instant,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
struct NewSession {
    ttl: String,
}

impl Platform {
    /// Creates an empty platform without faults.
    pub fn new() -> Self {
        let platform = Self::default();
        platform.lock().index = FIRST_INDEX;
        platform
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.lock().vms = vms;
    }

    /// Returns the counts of calls so far.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    /// Returns the number of blocking queries that are waiting.
    pub fn waiting(&self) -> u32 {
        self.lock().waiting
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().rows.get(key).map(|row| row.value.clone())
    }

    /// Returns the router of its HTTP interface and starts the removal of expired sessions.
    pub fn router(&self) -> Router {
        tokio::spawn(self.clone().sweep());
        Router::with_path("{**path}").goal(Api(self.clone()))
    }

    async fn sweep(self) {
        while Arc::strong_count(&self.state) > 1 {
            sleep(SWEEP_INTERVAL).await;
            let mut state = self.lock();
            if state.expire(Instant::now()) {
                self.changed.notify_waiters();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn admits_call(&mut self, now: Instant) -> bool {
        let Some(limit) = self.faults.calls_per_s else {
            return true;
        };
        let (since, count) = self.window.unwrap_or((now, 0));
        let (since, count) = match now.duration_since(since) {
            elapsed if elapsed >= Duration::from_secs(1) => (now, 0),
            _ => (since, count),
        };
        self.window = Some((since, count + 1));
        if count >= limit {
            self.calls.limited += 1;
        }
        count < limit
    }

    fn expire(&mut self, now: Instant) -> bool {
        if self.faults.down {
            return false;
        }
        let expired: Vec<String> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.expires <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.end_session(id);
        }
        !expired.is_empty()
    }

    fn end_session(&mut self, id: &str) {
        self.sessions.remove(id);
        let keys: Vec<String> = self
            .rows
            .iter()
            .filter(|(_, row)| row.session.as_deref() == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.index += 1;
            self.rows.remove(&key);
            self.removed.insert(key, self.index);
        }
    }

    fn put(&mut self, key: &str, value: Vec<u8>, session: Option<String>) {
        self.index += 1;
        let created = self.rows.get(key).map_or(self.index, |row| row.created);
        let row = Row {
            value,
            created,
            modified: self.index,
            session,
        };
        self.rows.insert(key.to_owned(), row);
    }

    fn last_index(&self, prefix: &str) -> u64 {
        let has_prefix = |key: &&String| key.starts_with(prefix);
        let written = self.rows.iter().filter(|(key, _)| has_prefix(key));
        let removed = self.removed.iter().filter(|(key, _)| has_prefix(key));
        let written = written.map(|(_, row)| row.modified);
        written
            .chain(removed.map(|(_, &index)| index))
            .max()
            .unwrap_or(FIRST_INDEX)
    }
}

struct Api(Platform);

#[handler]
impl Api {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let path = request.param::<String>("path").unwrap_or_default();
        if path == "faults" {
            return self.set_faults(request, response).await;
        }
        let slow_ms = self.0.lock().faults.slow_ms;
        sleep(Duration::from_millis(slow_ms)).await;
        if self.0.lock().faults.down {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        if !self.0.lock().admits_call(Instant::now()) {
            response.status_code(StatusCode::TOO_MANY_REQUESTS);
            return;
        }
        let method = request.method().clone();
        match path.strip_prefix("v1/").unwrap_or_default() {
            "vms" => json(response, &self.0.lock().vms.clone()),
            rest if method == Method::GET => match rest.strip_prefix("kv/") {
                Some(key) => self.read(key, request, response).await,
                None => not_found(response),
            },
            rest => self.write(rest, request, response).await,
        }
    }
}

impl Api {
    async fn set_faults(&self, request: &mut Request, response: &mut Response) {
        match request
            .payload()
            .await
            .map(|body| serde_json::from_slice(body))
        {
            Ok(Ok(faults)) => self.0.set_faults(faults),
            _ => {
                response.status_code(StatusCode::BAD_REQUEST);
            }
        }
    }

    async fn read(&self, key: &str, request: &mut Request, response: &mut Response) {
        self.0.lock().calls.reads += 1;
        let recurse = request.query::<bool>("recurse").unwrap_or(false);
        if let Some(since) = request.query::<u64>("index") {
            let wait = request.query::<String>("wait").unwrap_or_default();
            self.wait_for_change(key, since, duration(&wait)).await;
        }
        let state = self.0.lock();
        let rows: Vec<serde_json::Value> = state
            .rows
            .iter()
            .filter(|(name, _)| *name == key || (recurse && name.starts_with(key)))
            .map(|(name, row)| row_json(name, row))
            .collect();
        let index = state.last_index(key).to_string();
        drop(state);
        if let Ok(value) = index.parse() {
            response.headers_mut().insert("x-consul-index", value);
        }
        match rows.is_empty() {
            true => not_found(response),
            false => json(response, &rows),
        }
    }

    async fn wait_for_change(&self, key: &str, since: u64, wait: Duration) {
        let _waiting = WaitingGuard::new(&self.0);
        let until = Instant::now() + wait;
        loop {
            let changed = self.0.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            let is_new = {
                let state = self.0.lock();
                let is_suppressed = state.faults.suppresses_watch(key);
                (!is_suppressed && state.last_index(key) > since) || state.faults.down
            };
            if is_new || timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    async fn write(&self, path: &str, request: &mut Request, response: &mut Response) {
        let body = match request.payload_with_max_size(MAX_VALUE_BYTES).await {
            Ok(body) => body.to_vec(),
            Err(_) => {
                response.status_code(StatusCode::PAYLOAD_TOO_LARGE);
                return;
            }
        };
        let mut state = self.0.lock();
        state.calls.writes += 1;
        match path.split_once('/') {
            Some(("kv", key)) => {
                let written = write_row(&mut state, key, request, body);
                json(response, &written);
            }
            Some(("session", "create")) => create_session(&mut state, &body, response),
            Some(("session", rest)) => match rest.split_once('/') {
                Some(("renew", id)) => renew_session(&mut state, id, response),
                Some(("destroy", id)) => {
                    state.end_session(id);
                    json(response, &true);
                }
                _ => not_found(response),
            },
            _ => not_found(response),
        }
        if state.faults.drop_write_responses > 0 {
            state.faults.drop_write_responses -= 1;
            response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
        drop(state);
        self.0.changed.notify_waiters();
    }
}

/// Counts a blocking query as waiting until it is dropped.
struct WaitingGuard<'a>(&'a Platform);

impl<'a> WaitingGuard<'a> {
    fn new(platform: &'a Platform) -> Self {
        platform.lock().waiting += 1;
        Self(platform)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

fn write_row(state: &mut State, key: &str, request: &Request, body: Vec<u8>) -> bool {
    let row = state.rows.get(key);
    let modified = row.map_or(0, |row| row.modified);
    let owner = row.and_then(|row| row.session.clone());
    let expected = request.query::<u64>("cas");
    let session = request.query::<String>("acquire");
    match (expected, session) {
        (Some(expected), _) if expected != modified => return false,
        (_, Some(session)) if !state.sessions.contains_key(&session) => return false,
        (_, Some(session)) if owner.as_ref().is_some_and(|held| *held != session) => return false,
        (_, session) => state.put(key, body, session),
    }
    true
}

fn create_session(state: &mut State, body: &[u8], response: &mut Response) {
    let Ok(new) = serde_json::from_slice::<NewSession>(body) else {
        response.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let id = Uuid::new_v4().to_string();
    let ttl = duration(&new.ttl);
    let expires = Instant::now() + ttl;
    state.sessions.insert(id.clone(), Session { ttl, expires });
    json(response, &serde_json::json!({ "ID": id }));
}

fn renew_session(state: &mut State, id: &str, response: &mut Response) {
    match state.sessions.get_mut(id) {
        Some(session) => {
            session.expires = Instant::now() + session.ttl;
            json(response, &serde_json::json!([{ "ID": id }]));
        }
        None => not_found(response),
    }
}

fn row_json(key: &str, row: &Row) -> serde_json::Value {
    serde_json::json!({
        "Key": key,
        "Value": STANDARD.encode(&row.value),
        "CreateIndex": row.created,
        "ModifyIndex": row.modified,
        "LockIndex": u64::from(row.session.is_some()),
        "Flags": 0,
        "Session": row.session,
    })
}

fn duration(text: &str) -> Duration {
    let parse = |number: &str| number.parse::<u64>().unwrap_or(0);
    match (text.strip_suffix("ms"), text.strip_suffix('s')) {
        (Some(number), _) => Duration::from_millis(parse(number)),
        (None, Some(number)) => Duration::from_secs(parse(number)),
        (None, None) => Duration::ZERO,
    }
}

fn json<T: Serialize>(response: &mut Response, value: &T) {
    response.body(serde_json::to_vec(value).unwrap_or_default());
}

fn not_found(response: &mut Response) {
    response.status_code(StatusCode::NOT_FOUND);
    response.body("");
}
