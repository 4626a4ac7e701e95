//! The exchange of each node with the holder of the duties.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use wisteriapoint_event::event;
use wisteriapoint_usage::{UsageCounter, UsageLedger, WindowCounts, Windows};
use wisteriapoint_workspace::Knowledge;

use crate::{Duty, DutySettings, Environment};

/// Longest time between two requests to the holder, in milliseconds.
const MAX_INTERVAL_MS: u64 = 1_500;
/// Least time between two requests to the holder, which bounds the counts that are lost with a node.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a read of the configuration in which it is not read again, in milliseconds.
const READ_RETRY_PAUSE_MS: u64 = 500;
/// Shortest time between two requests to the holder if nothing is to be told, in milliseconds.
const MIN_PAUSE_MS: u64 = 250;
/// Age at which what another node said of its demand is discarded, in milliseconds.
const DEMAND_MAX_AGE_MS: u64 = 4_000;

/// Requests of one service at a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: Box<str>,
    /// Requests that run at its endpoints.
    pub running: u32,
    /// Requests that wait for a free slot.
    pub waiting: u32,
}

/// What a node tells the holder of the duties.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinationRequest {
    /// VM of the node.
    pub vm: Box<str>,
    /// Run of the node on its VM.
    pub run: u64,
    /// Cumulative counts of the windows that are not final.
    pub usage: Vec<WindowCounts>,
    /// Requests that wait or run, by service.
    pub demand: Vec<ServiceDemand>,
}

/// What the holder of the duties answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinationResponse {
    /// Version of the newest configuration and the age of that knowledge in milliseconds; `None` if the
    /// node does not know it.
    pub configuration: Option<(u64, u64)>,
    /// First window whose counts are not final; `None` at a node that is not the holder.
    pub first_open_window: Option<u64>,
}

/// State of the duties at one node.
#[derive(Debug, Default)]
pub struct Coordination {
    /// Age of the configuration in force.
    pub knowledge: Knowledge,
    usage: RefCell<Option<UsageCounter>>,
    pub(crate) ledger: RefCell<Option<UsageLedger>>,
    demand: RefCell<Vec<DemandReport>>,
    counted: Notify,
    last_read_boot_ms: Cell<u64>,
}

/// The last report of a node's demand.
#[derive(Debug)]
struct DemandReport {
    vm: Box<str>,
    at_boot_ms: u64,
    demand: Vec<ServiceDemand>,
}

impl Coordination {
    /// Creates the state; without settings nothing is counted.
    pub fn new(settings: Option<&DutySettings>) -> Self {
        let usage = settings.filter(|settings| settings.includes(Duty::Usage));
        let counter = usage.map(|settings| UsageCounter::new(Windows::new(settings.window_ms())));
        Self {
            usage: RefCell::new(counter),
            ..Self::default()
        }
    }

    /// Counts a request of a workspace as running, and returns its window for
    /// [`cancel`](Self::cancel).
    pub fn begin(&self, unix_ms: u64, workspace: &str) -> Option<u64> {
        let window = self.usage.borrow_mut().as_mut()?.begin(unix_ms, workspace);
        self.counted.notify_one();
        Some(window)
    }

    /// Takes a counted request back that turned out not to have run.
    pub fn cancel(&self, window: Option<u64>, workspace: &str) {
        if let (Some(window), Some(counter)) = (window, self.usage.borrow_mut().as_mut()) {
            counter.cancel(window, workspace);
        }
    }

    /// Returns the counts of this node that are not final.
    pub(crate) fn open_counts(&self) -> Vec<WindowCounts> {
        let usage = self.usage.borrow();
        usage.as_ref().map(UsageCounter::open).unwrap_or_default()
    }

    pub(crate) fn settle(&self, first_open: u64) {
        if let Some(counter) = self.usage.borrow_mut().as_mut() {
            counter.settle(first_open);
        }
    }

    /// Returns the requests that wait or run at all nodes, by service.
    pub fn total_demand(&self, now_boot_ms: u64) -> Vec<ServiceDemand> {
        let mut reports = self.demand.borrow_mut();
        reports.retain(|report| now_boot_ms < report.at_boot_ms + DEMAND_MAX_AGE_MS);
        let mut total: Vec<ServiceDemand> = Vec::new();
        for demand in reports.iter().flat_map(|report| &report.demand) {
            match total
                .iter_mut()
                .find(|other| other.service == demand.service)
            {
                Some(other) => {
                    other.running = other.running.saturating_add(demand.running);
                    other.waiting = other.waiting.saturating_add(demand.waiting);
                }
                None => total.push(demand.clone()),
            }
        }
        total
    }

    /// Returns the number of nodes whose demand is known, and the age of the oldest report in
    /// milliseconds.
    pub fn demand_reports(&self, now_boot_ms: u64) -> (usize, u64) {
        let reports = self.demand.borrow();
        let times = reports.iter().map(|report| report.at_boot_ms);
        let oldest_ms = times.min().unwrap_or(now_boot_ms);
        (reports.len(), now_boot_ms.saturating_sub(oldest_ms))
    }

    pub(crate) fn record_demand(&self, now_boot_ms: u64, vm: &str, demand: Vec<ServiceDemand>) {
        let mut reports = self.demand.borrow_mut();
        reports.retain(|report| *report.vm != *vm);
        reports.push(DemandReport {
            vm: vm.into(),
            at_boot_ms: now_boot_ms,
            demand,
        });
    }

    /// Answers another node; a node that is not the holder tells what it knows of the configuration.
    pub fn handle<E: Environment>(
        &self,
        env: &E,
        request: CoordinationRequest,
    ) -> CoordinationResponse {
        let now_boot_ms = env.boot_ms();
        let is_holder = env.holder().as_ref() == Some(env.owner());
        let mut ledger = self.ledger.borrow_mut();
        if let Some(ledger) = ledger.as_mut().filter(|_| is_holder) {
            ledger.record((&request.vm, request.run), env.unix_ms(), request.usage);
        }
        if is_holder {
            self.record_demand(now_boot_ms, &request.vm, request.demand);
        }
        let age_ms = self.knowledge.age_ms(now_boot_ms);
        CoordinationResponse {
            configuration: env.configuration_version().zip(age_ms),
            first_open_window: ledger.as_ref().map(UsageLedger::first_open),
        }
    }
}

/// Times that follow from the bound on the age of the configuration, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Pace {
    /// Greatest age.
    bound_ms: u64,
    /// Time between two reads of the holder.
    read_ms: u64,
    /// Time between two requests to the holder.
    interval_ms: u64,
    /// Time for the answer of a holder that works.
    answer_ms: u64,
    /// Time before its knowledge is too old at which a node reads the store itself.
    ahead_ms: u64,
}

impl Pace {
    /// The oldest knowledge of the holder, the time until it is passed on and the time to read the store
    /// are within the bound.
    fn new(bound_ms: u64) -> Self {
        Self {
            bound_ms,
            read_ms: (bound_ms / 5 * 2).min(MAX_INTERVAL_MS),
            interval_ms: (bound_ms / 10 * 3).min(MAX_INTERVAL_MS),
            answer_ms: bound_ms / 10,
            ahead_ms: bound_ms / 5,
        }
    }

    /// Returns the time until a node has to read the store itself, in milliseconds.
    ///
    /// The first read is that of the watch.
    fn until_read_ms<E: Environment>(self, env: &E) -> u64 {
        let knowledge = &env.coordination().knowledge;
        let now_boot_ms = env.boot_ms();
        match knowledge.age_ms(now_boot_ms) {
            Some(_) => {
                let left_ms = knowledge.left_ms(now_boot_ms, self.bound_ms);
                left_ms.saturating_sub(self.ahead_ms)
            }
            None => self.interval_ms,
        }
    }
}

/// Keeps the knowledge of a node current and tells the holder what it counts, until the node exits.
///
/// `bound_ms` is the greatest age of the knowledge that the configuration in force is the newest one. A
/// watch does not keep it current: its connection may deliver nothing any more.
pub async fn run<E: Environment>(env: Rc<E>, bound_ms: u64) {
    let pace = Pace::new(bound_ms);
    loop {
        let earliest = Instant::now() + MIN_INTERVAL;
        let holder = env.holder();
        let interval_ms = match holder {
            Some(holder) if holder == *env.owner() => {
                read_configuration(&env).await;
                let demand = env.demand();
                let coordination = env.coordination();
                coordination.record_demand(env.boot_ms(), &env.owner().vm, demand);
                pace.read_ms
            }
            Some(holder) => {
                // Without an answer the store is read in time.
                let limit_ms = pace.until_read_ms(&*env).max(pace.answer_ms);
                exchange(&env, holder.address, Duration::from_millis(limit_ms)).await;
                pace.interval_ms
            }
            None => pace.interval_ms,
        };
        let read_after_ms = env.coordination().last_read_boot_ms.get() + READ_RETRY_PAUSE_MS;
        if pace.until_read_ms(&*env) == 0 && env.boot_ms() >= read_after_ms {
            read_configuration(&env).await;
        }
        let until_ask_ms = pace.until_read_ms(&*env).saturating_sub(pace.answer_ms);
        let pause_ms = interval_ms.min(until_ask_ms.max(MIN_PAUSE_MS));
        tokio::select! {
            () = sleep(Duration::from_millis(pause_ms)) => {}
            () = env.coordination().counted.notified() => sleep_until(earliest).await,
        }
    }
}

/// Reads the configuration; the reader confirms its age.
async fn read_configuration<E: Environment>(env: &Rc<E>) {
    env.coordination().last_read_boot_ms.set(env.boot_ms());
    if let Err(error) = env.read_configuration().await {
        event!(info, "configuration could not be read", error = error);
    }
}

/// Tells the holder the counts and the demand of this node, and learns how old its configuration is.
async fn exchange<E: Environment>(env: &Rc<E>, holder: SocketAddr, limit: Duration) {
    let coordination = env.coordination();
    let request = CoordinationRequest {
        vm: env.owner().vm.clone(),
        run: env.owner().run,
        usage: coordination.open_counts(),
        demand: env.demand(),
    };
    let sent_boot_ms = env.boot_ms();
    let Ok(Some(response)) = timeout(limit, env.ask(holder, request)).await else {
        return;
    };
    if let Some(first_open) = response.first_open_window {
        coordination.settle(first_open);
    }
    match response.configuration {
        // The holder knew it when it answered, which was after the request was sent.
        Some((version, age_ms)) if env.configuration_version() >= Some(version) => {
            coordination
                .knowledge
                .confirm(sent_boot_ms.saturating_sub(age_ms));
        }
        Some(_) => read_configuration(env).await,
        None => {}
    }
}
