//! One run of a request at an endpoint, and what its end says about the request.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use wisteriapoint_directory::Requirements;
use wisteriapoint_route::{CrashReport, SilentRun, SuspectStatus};
use wisteriapoint_types::{Digest, EndpointName, FailureDomain, SoftwareVersion};

use super::crash::{ObservedCrash, record_crash};
use super::exchange::Kept;
use super::{count, exchange, record_down, silent};
use crate::dialect::Dialect;
use crate::node::{ChosenEndpoint, Node};
use crate::{event, limits};

/// Longest wait until other requests have ended at the endpoint of a suspect, in milliseconds: the time
/// of most plain requests.
const MAX_IDLE_WAIT_MS: u64 = 200;
/// Number of denied permits after which a placement leaves out all endpoints with a limit: a caller waits
/// for each request for a permit.
const MAX_DENIALS: u32 = 3;
/// Time without a part of an answer that has begun after which its endpoint counts as silent, in
/// milliseconds: more than the times between the events of a stream.
const MIN_SILENCE_MS: u64 = 250;
/// Interval at which the nodes are asked whether they have ended.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Endpoint at which a request may run, or the reason why there is none.
pub enum Placement<D: Dialect> {
    /// The request may be sent to an endpoint.
    Run {
        /// The run, which ends when it is dropped.
        run: Run<D>,
        /// Name of the endpoint.
        endpoint: EndpointName,
        /// Address of the endpoint.
        address: SocketAddr,
    },
    /// Other suspects run at all suitable endpoints, or the request itself elsewhere.
    Conflict,
    /// Each suitable endpoint has a limit and accepts no request now.
    Limited {
        /// Time until one may accept a request, in milliseconds.
        wait_ms: u64,
    },
    /// No endpoint is suitable.
    NoEndpoint,
    /// The request is quarantined.
    Quarantined(Quarantine),
}

/// Whether a suspect may run beside other suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Isolation {
    /// It runs isolated or not at all.
    Required,
    /// It may run beside other suspects.
    Waived,
}

/// A request that may not run because of its crashes.
#[derive(Debug, Clone, Copy)]
pub struct Quarantine {
    /// Time until it may run again, in milliseconds.
    pub expires_in_ms: u64,
}

/// A run of a request at an endpoint; an isolated one excludes other suspects until it is dropped.
pub struct Run<D: Dialect> {
    node: Rc<Node<D>>,
    id: Box<str>,
    /// `None` for calls of batch jobs, which are never suspects.
    digest: Option<Digest>,
    endpoint: EndpointName,
    failure_domain: FailureDomain,
    software: Option<SoftwareVersion>,
    is_isolated: bool,
    /// `true` if the other nodes confirmed that the run is isolated.
    is_confirmed: bool,
    /// Start of the endpoint's instance, in Unix milliseconds.
    born_unix_ms: u64,
    progress: Cell<Progress>,
}

/// What a run has shown of its endpoint.
#[derive(Debug, Clone, Copy)]
enum Progress {
    /// The request has not been sent.
    NotSent,
    /// The endpoint has sent nothing yet.
    Sent,
    /// The endpoint last sent a part of its answer at this time, in milliseconds.
    Heard(u64),
    /// The answer or its connection has ended.
    Ended,
}

impl<D: Dialect> Drop for Run<D> {
    fn drop(&mut self) {
        let Some(digest) = self.digest else {
            return;
        };
        if self.is_silent() {
            let run = SilentRun {
                digest,
                id: self.id.clone(),
                failure_domain: self.failure_domain.clone(),
                born_unix_ms: self.born_unix_ms,
                isolated: self.is_isolated && self.is_confirmed,
                shared: self.node.suspects.running(&self.endpoint) > 1,
            };
            silent::tell_others(&self.node, &self.endpoint, &run);
            let suspects = &self.node.suspects;
            suspects.add_silent_run(self.node.now_ms(), &self.endpoint, run);
        }
        self.node.suspects.end_run(&self.endpoint);
        if self.is_isolated {
            self.node.suspects.isolated.borrow_mut().remove(&digest);
            exchange::release(&self.node, digest);
        }
    }
}

/// Chooses an endpoint for a request, other than the excluded ones, and decides whether it may run.
///
/// At an endpoint with a limit it may run only with a permit.
pub async fn place<D: Dialect>(
    node: &Rc<Node<D>>,
    key: (&str, Option<Digest>),
    requirements: Requirements<'_>,
    excluded: &[EndpointName],
    isolation: Isolation,
) -> Placement<D> {
    let mut unavailable = excluded.to_vec();
    let mut denials = 0;
    loop {
        match place_without_limit(node, key, requirements, &unavailable, isolation).await {
            Placement::Run {
                run,
                endpoint,
                address,
            } => {
                if limits::acquire(node, &endpoint, requirements.priority).await {
                    return Placement::Run {
                        run,
                        endpoint,
                        address,
                    };
                }
                denials += 1;
                if denials == MAX_DENIALS {
                    let directory = node.directory.borrow();
                    let limited = directory.registry.limited(requirements.service);
                    unavailable.extend(limited.map(|(name, _)| name.clone()));
                }
            }
            Placement::NoEndpoint => {
                let directory = node.directory.borrow();
                let registry = &directory.registry;
                let wait_ms = registry.permit_wait_ms(node.now_ms(), requirements, excluded);
                return match wait_ms {
                    Some(wait_ms) => Placement::Limited { wait_ms },
                    None => Placement::NoEndpoint,
                };
            }
            placement => return placement,
        }
    }
}

/// Same as [`place`], whether a permit is available or not.
///
/// A suspect runs isolated: at an endpoint that all nodes keep free of other requests of callers, and
/// nowhere else at the same time. Requests that run there already may remain if they last too long,
/// since engines with long streams are never idle. Other requests use an endpoint that is kept only
/// if there is no other; calls of batch jobs use any, since they are no suspects.
async fn place_without_limit<D: Dialect>(
    node: &Rc<Node<D>>,
    (id, digest): (&str, Option<Digest>),
    requirements: Requirements<'_>,
    excluded: &[EndpointName],
    isolation: Isolation,
) -> Placement<D> {
    let status = digest.map(|digest| node.suspects.status(node.now_ms(), digest));
    let suspect = match (digest, status) {
        (Some(digest), Some(SuspectStatus::Quarantined)) => {
            return Placement::Quarantined(quarantine(node, id, digest));
        }
        (Some(digest), Some(SuspectStatus::Suspect)) if isolation == Isolation::Required => digest,
        _ => {
            return match choose_for_others(node, digest, requirements, excluded) {
                Some(chosen) => Placement::Run {
                    run: Run::new(node, id, digest, &chosen),
                    endpoint: chosen.name,
                    address: chosen.address,
                },
                None => Placement::NoEndpoint,
            };
        }
    };
    let mut unavailable = node.suspects.reserved_endpoints(node.now_ms());
    unavailable.extend_from_slice(excluded);
    match node.choose_endpoint(requirements, &unavailable) {
        Some(chosen) => place_isolated(node, (id, suspect), chosen).await,
        None if node.choose_endpoint(requirements, excluded).is_some() => Placement::Conflict,
        None => Placement::NoEndpoint,
    }
}

/// Chooses an endpoint for a request that is no suspect.
fn choose_for_others<D: Dialect>(
    node: &Node<D>,
    digest: Option<Digest>,
    requirements: Requirements<'_>,
    excluded: &[EndpointName],
) -> Option<ChosenEndpoint> {
    let mut unavailable = match digest {
        Some(_) => node.suspects.reserved_endpoints(node.now_ms()),
        None => Vec::new(),
    };
    if unavailable.is_empty() {
        return node.choose_endpoint(requirements, excluded);
    }
    unavailable.extend_from_slice(excluded);
    node.choose_endpoint(requirements, &unavailable)
        .or_else(|| node.choose_endpoint(requirements, excluded))
}

async fn place_isolated<D: Dialect>(
    node: &Rc<Node<D>>,
    (id, digest): (&str, Digest),
    chosen: ChosenEndpoint,
) -> Placement<D> {
    let endpoint = &chosen.name;
    // Reserved before the peers are asked, so that of two nodes at least one sees the other.
    if !node.suspects.try_reserve(node.now_ms(), digest, endpoint) {
        count(node, "deferred");
        return Placement::Conflict;
    }
    let mut run = Run::new(node, id, Some(digest), &chosen);
    run.is_isolated = true;
    let kept = await_idle(node, digest, endpoint).await;
    run.is_confirmed = kept.is_some_and(|kept| kept.is_confirmed);
    match node.suspects.status(node.now_ms(), digest) {
        SuspectStatus::Quarantined => Placement::Quarantined(quarantine(node, id, digest)),
        _ if kept.is_none() => {
            count(node, "deferred");
            Placement::Conflict
        }
        _ => {
            event!(
                info,
                "crash suspect runs isolated",
                id = id,
                digest = digest,
                endpoint = endpoint
            );
            count(node, "isolated");
            Placement::Run {
                run,
                endpoint: chosen.name,
                address: chosen.address,
            }
        }
    }
}

/// Keeps an endpoint for a suspect until no other request of a caller runs there, or long enough.
///
/// Returns `None` if it is kept for another suspect, or the suspect runs elsewhere.
async fn await_idle<D: Dialect>(
    node: &Rc<Node<D>>,
    digest: Digest,
    endpoint: &EndpointName,
) -> Option<Kept> {
    let end_ms = node.now_ms() + MAX_IDLE_WAIT_MS;
    loop {
        let kept = exchange::keep_endpoint(node, digest, endpoint).await?;
        // One of those at this node is the suspect's own run.
        let others = kept.running + node.suspects.running(endpoint).saturating_sub(1);
        let status = node.suspects.status(node.now_ms(), digest);
        if others == 0 || status == SuspectStatus::Quarantined || node.now_ms() >= end_ms {
            return Some(kept);
        }
        sleep(IDLE_POLL_INTERVAL).await;
    }
}

/// Returns the quarantine of a request, and logs its crashes.
fn quarantine<D: Dialect>(node: &Node<D>, id: &str, digest: Digest) -> Quarantine {
    let now_ms = node.now_ms();
    let crashes = node.suspects.crashes.borrow();
    let reports = crashes.reports(now_ms, digest);
    let join = |text: fn(&CrashReport) -> String| {
        let texts: Vec<_> = reports.iter().map(text).collect();
        texts.join(",")
    };
    event!(
        info,
        "request refused as a crash suspect",
        id = id,
        digest = digest,
        crashes = join(|crash| format!("{:x}", crash.id)),
        endpoints = join(|crash| crash.endpoint.to_string()),
        ages_ms = join(|crash| crash.age_ms.to_string()),
        isolated = reports.iter().filter(|crash| crash.isolated).count(),
        shared = reports.iter().filter(|crash| crash.shared).count(),
        correlated = reports.iter().filter(|crash| crash.correlated).count(),
    );
    count(node, "refused");
    Quarantine {
        expires_in_ms: crashes.expires_in_ms(now_ms, digest),
    }
}

impl<D: Dialect> Run<D> {
    fn new(node: &Rc<Node<D>>, id: &str, digest: Option<Digest>, chosen: &ChosenEndpoint) -> Self {
        if digest.is_some() {
            node.suspects.begin_run(&chosen.name);
        }
        Self {
            node: node.clone(),
            id: id.into(),
            digest,
            endpoint: chosen.name.clone(),
            failure_domain: chosen.failure_domain.clone(),
            software: chosen.software.clone(),
            is_isolated: false,
            is_confirmed: false,
            born_unix_ms: chosen.born_unix_ms,
            progress: Cell::new(Progress::NotSent),
        }
    }

    /// Records that the request is sent.
    pub fn record_send(&self) {
        self.progress.set(Progress::Sent);
    }

    /// Records that the endpoint has sent a part of its answer.
    pub fn record_part(&self) {
        self.progress.set(Progress::Heard(self.node.now_ms()));
        self.node.suspects.record_answer(&self.endpoint);
    }

    /// Records that the answer or its connection has ended, or that the request was refused.
    pub fn record_end(&self) {
        self.progress.set(Progress::Ended);
    }

    /// Returns `true` if the request was sent and then nothing came, until it is given up now.
    fn is_silent(&self) -> bool {
        match self.progress.get() {
            Progress::NotSent | Progress::Ended => false,
            Progress::Sent => true,
            Progress::Heard(at_ms) => self.node.now_ms() >= at_ms + MIN_SILENCE_MS,
        }
    }

    /// Returns the endpoint.
    pub fn endpoint(&self) -> &EndpointName {
        &self.endpoint
    }

    /// Returns the software version of the endpoint, if it is known.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        self.software.as_ref()
    }

    /// Records that the endpoint completed the request, which clears it.
    pub fn record_completion(&self) {
        self.record_end();
        let Some(digest) = self.digest else {
            return;
        };
        let now_ms = self.node.now_ms();
        let mut silent_runs = self.node.suspects.silent_runs.borrow_mut();
        silent_runs.record_completion(digest);
        drop(silent_runs);
        let mut crashes = self.node.suspects.crashes.borrow_mut();
        if crashes.clear(now_ms, digest) {
            event!(
                info,
                "crash suspect completed and cleared",
                id = self.id,
                digest = digest,
                endpoint = self.endpoint
            );
            count(&self.node, "cleared");
            exchange::report_completion(&self.node, digest);
        }
    }

    /// Records that the connection was lost during the run.
    ///
    /// Returns once it is known whether the endpoint has crashed, and all nodes that can be reached
    /// know of the crash. This continues if the caller of the request disconnects meanwhile.
    pub async fn record_lost_connection(self, address: SocketAddr, reason: &str) {
        self.record_end();
        let Some(digest) = self.digest else {
            return;
        };
        let (reason, lost_at_ms) = (Box::<str>::from(reason), self.node.now_ms());
        let investigation = spawn_local(async move {
            if self.has_crashed(address).await {
                let crash = ObservedCrash {
                    id: &self.id,
                    crash_id: rand::random(),
                    digest,
                    endpoint: &self.endpoint,
                    failure_domain: &self.failure_domain,
                    at_ms: lost_at_ms,
                    isolated: self.is_isolated && self.is_confirmed,
                    has_other_cause: false,
                    was_shared: None,
                    reason: &reason,
                };
                record_crash(&self.node, crash).await;
            }
        });
        if let Err(error) = investigation.await {
            event!(error, "crash of endpoint not recorded", error = error);
        }
    }

    /// Returns `true` if the endpoint has crashed; one that accepts a new connection has only lost its
    /// answer.
    async fn has_crashed(&self, address: SocketAddr) -> bool {
        let is_accepting = self
            .node
            .pool
            .is_accepting::<D>(&self.endpoint, address)
            .await;
        if is_accepting {
            event!(
                info,
                "answer lost; endpoint accepts connections",
                id = self.id,
                endpoint = self.endpoint
            );
            count(&self.node, "lost-answer");
        } else {
            record_down(&self.node, &self.endpoint);
        }
        !is_accepting
    }
}
