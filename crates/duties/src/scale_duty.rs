//! Orders of endpoints: decided several times a second for each service, and sent one at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use wisteriapoint_event::event;
use wisteriapoint_scaling::{Decision, Demand, Kind, Order, Outcome, Plan, Reason, Scaler};

use crate::usage_duty::outcome_name;
use crate::{Duty, DutyCall, DutyClient, DutyOutcome, Environment, ScaledServices, ServiceDemand};

/// Interval at which is decided, and at most one order sent: the rate of the platform's API is shared
/// with the reports of use, and an endpoint takes seconds to boot anyway.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a call that was not carried out, so that a slow platform is not pressed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Greatest age of the view of the endpoints on which a decision is based, in milliseconds: twice that
/// at which the leader still passes its view on to other nodes.
const MAX_VIEW_AGE_MS: u64 = 1_200;

/// What is known at the time of a decision.
#[derive(Debug, Clone, Copy)]
struct Inputs {
    demand: Demand,
    nodes: usize,
    members: usize,
    demand_age_ms: u64,
    endpoints_age_ms: u64,
}

/// Decides and sends orders under a fencing token.
pub(crate) async fn scale_endpoints<E: Environment>(env: &Rc<E>, fence: u64, delay: Duration) {
    let settings = env.duty_settings();
    let settings = settings.filter(|settings| settings.includes(Duty::Scaling));
    let (Some(_), Some(client)) = (settings, env.duty_client()) else {
        return std::future::pending().await;
    };
    let began = Instant::now();
    let mut scaling = ServiceScaling::new(env);
    loop {
        sleep(DECISION_INTERVAL).await;
        let known = env.scaled_services();
        let Some(known) = known.filter(|known| known.age_ms <= MAX_VIEW_AGE_MS) else {
            continue;
        };
        let decided = scaling.decide(known);
        if began.elapsed() < delay || !env.may_act(fence) {
            continue;
        }
        if let Some((service, order)) = decided {
            let outcome = send(env, client, fence, &service, &order).await;
            scaling.record(&service, &order, outcome);
            if outcome == DutyOutcome::Failed {
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// The state of the orders of all services, and the gauges that show them.
struct ServiceScaling<'a, E: Environment> {
    env: &'a Rc<E>,
    scalers: BTreeMap<Box<str>, Scaler>,
    logged: BTreeMap<Box<str>, (Reason, Plan)>,
    gauges: BTreeSet<Box<str>>,
    /// Service of the last order; the others come before it again.
    last_ordered: Box<str>,
}

impl<'a, E: Environment> ServiceScaling<'a, E> {
    fn new(env: &'a Rc<E>) -> Self {
        Self {
            env,
            scalers: BTreeMap::new(),
            logged: BTreeMap::new(),
            gauges: BTreeSet::new(),
            last_ordered: Box::default(),
        }
    }

    /// Decides for each service, and returns the next order to send.
    fn decide(&mut self, known: ScaledServices) -> Option<(Box<str>, Order)> {
        let now_ms = self.env.boot_ms();
        let coordination = self.env.coordination();
        let demand = coordination.total_demand(now_ms);
        let (nodes, demand_age_ms) = coordination.demand_reports(now_ms);
        let members = self.env.member_count();
        let services = known.services.iter();
        let names: BTreeSet<_> = services.map(|service| &service.name).collect();
        self.scalers.retain(|name, _| names.contains(name));
        let mut orders = Vec::new();
        for service in &known.services {
            let inputs = Inputs {
                demand: Demand {
                    is_partial: nodes < members,
                    ..demand_of(&demand, &service.name)
                },
                nodes,
                members,
                demand_age_ms,
                endpoints_age_ms: known.age_ms,
            };
            let scaler = self.scalers.entry(service.name.clone()).or_default();
            scaler.observe(now_ms, service, inputs.demand);
            let decision = scaler.decide(now_ms, service);
            self.log(&service.name, &decision, inputs);
            self.set_gauges(&service.name, &decision);
            let first = decision.orders.into_iter().next();
            orders.extend(first.map(|order| (service.name.clone(), order)));
        }
        orders.sort_by(|(a, _), (b, _)| {
            let is_after = |name: &str| *name <= *self.last_ordered;
            (is_after(a), a).cmp(&(is_after(b), b))
        });
        orders.into_iter().next()
    }

    /// Logs a decision that differs from the last one.
    fn log(&mut self, service: &str, decision: &Decision, inputs: Inputs) {
        let (reason, wanted) = (decision.reason, &decision.wanted);
        let last = self.logged.get(service);
        if last.is_some_and(|(last_reason, last)| *last_reason == reason && last == wanted) {
            return;
        }
        self.logged.insert(service.into(), (reason, wanted.clone()));
        event!(
            info,
            "number of endpoints decided",
            service = service,
            reason = reason.name(),
            wanted = wanted,
            ordered = decision.ordered,
            ready = decision.ready,
            peak = decision.peak,
            running = inputs.demand.running,
            waiting = inputs.demand.waiting,
            nodes = inputs.nodes,
            members = inputs.members,
            demand_age_ms = inputs.demand_age_ms,
            endpoints_age_ms = inputs.endpoints_age_ms,
        );
    }

    fn set_gauges(&mut self, service: &str, decision: &Decision) {
        let plans = [
            ("wanted", &decision.wanted),
            ("ordered", &decision.ordered),
            ("ready", &decision.ready),
        ];
        for (name, plan) in plans {
            for kind in Kind::ALL {
                let of = format!("endpoints_{name}.{}.{service}", kind.name());
                self.env.set_state(&of, i64::from(plan.of_kind(kind)));
                self.gauges.insert(of.into());
            }
        }
    }

    fn record(&mut self, service: &str, order: &Order, outcome: DutyOutcome) {
        self.last_ordered = service.into();
        let outcome = match outcome {
            DutyOutcome::Accepted => Outcome::Accepted,
            DutyOutcome::Refused => Outcome::Refused,
            DutyOutcome::Failed => Outcome::Failed,
            DutyOutcome::Unanswered => Outcome::Unanswered,
        };
        if let Some(scaler) = self.scalers.get_mut(service) {
            scaler.record(self.env.boot_ms(), order, outcome);
        }
    }
}

impl<E: Environment> Drop for ServiceScaling<'_, E> {
    /// Clears the gauges, since another node shows the numbers from now on.
    fn drop(&mut self) {
        for of in &self.gauges {
            self.env.set_state(of, 0);
        }
    }
}

fn demand_of(demand: &[ServiceDemand], service: &str) -> Demand {
    let mut demand = demand.iter();
    let demand = demand.find(|demand| *demand.service == *service);
    demand.map_or(Demand::default(), |demand| Demand {
        running: demand.running,
        waiting: demand.waiting,
        is_partial: false,
    })
}

async fn send<E: Environment>(
    env: &Rc<E>,
    client: &E::Client,
    fence: u64,
    service: &str,
    order: &Order,
) -> DutyOutcome {
    let call = DutyCall::Scale {
        service,
        failure_domain: &order.failure_domain,
        count: order.count,
        is_spot: order.kind == Kind::Spot,
    };
    let outcome = client
        .call(&env.owner().vm, fence, call, || env.may_act(fence))
        .await;
    env.record_duty_call("scaling", outcome_name(outcome));
    event!(
        info,
        "endpoints ordered",
        service = service,
        failure_domain = order.failure_domain,
        kind = order.kind.name(),
        count = order.count,
        before = order.before,
        fence = fence,
        outcome = outcome_name(outcome),
    );
    outcome
}
