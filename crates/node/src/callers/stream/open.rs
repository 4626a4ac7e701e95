//! Choice of an endpoint for a stream, and the request to it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};
use wisteriapoint_directory::Requirements;
use wisteriapoint_types::{EndpointName, SoftwareVersion, StreamOrigin, Verdict};

use super::{StreamForwarder, UpstreamStream, failure};
use crate::dialect::{Dialect, OutboundMetadata};
use crate::forward::{
    ForwardFailure, KEY_REASON, LIMIT_REASON, OVERLOAD_BACKOFF_MS, PLACEMENT_OBJECTIVE_DIVISOR,
    QUARANTINE_REASON, may_send, pause_suspect, record_send_failure,
};
use crate::node::Node;
use crate::suspects::{self, Isolation, Placement, Run};
use crate::upstream::{SendFailure, UpstreamResponse};
use crate::{event, limits, streams};

/// Longest wait of a suspect for an endpoint without other suspects, in milliseconds: a part of the
/// gap after which callers disconnect.
const MAX_ISOLATION_WAIT_MS: u64 = 500;
/// Longest wait of a stream that has begun for an endpoint that may go on with it, or for a permit there,
/// in milliseconds: a part of the gap after which callers disconnect.
const MAX_RESUME_WAIT_MS: u64 = 1_000;
/// Interval at which such endpoints are asked again.
const RESUME_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Reason of the refusal of a stream that no endpoint may go on with.
const NO_ORIGIN_REASON: &str = "no endpoint of the software version that began the stream has room";
/// Reason of the refusal of a stream that has begun, by a node whose view of the endpoints is too old.
const OLD_VIEW_REASON: &str = "it is not known which software version the endpoints run now";
/// Reason of the refusal of a stream whose begin could not be recorded.
const UNRECORDED_REASON: &str = "the software version of the endpoint could not be recorded";

impl StreamForwarder {
    /// Returns `true` if the route allows another attempt.
    pub(super) fn may_resume(&self) -> bool {
        self.route.resumable && self.attempts < self.route.max_attempts
    }

    /// Sends the request to one endpoint after another until one begins to respond.
    pub(super) async fn open_upstream<D: Dialect>(
        &mut self,
        node: &Rc<Node<D>>,
    ) -> Result<UpstreamStream<D>, ForwardFailure> {
        let mut failure = match self.attempts {
            0 => failure(Verdict::NotRun, "no endpoint has room"),
            _ => failure(Verdict::MayHaveRun, "no endpoint has room"),
        };
        let isolation_end_ms = node.now_ms() + MAX_ISOLATION_WAIT_MS;
        let wait_end_ms = match self.attempts {
            0 => node.now_ms() + self.route.objective_ms / PLACEMENT_OBJECTIVE_DIVISOR,
            _ => node.now_ms() + MAX_RESUME_WAIT_MS,
        };
        let mut may_wait_for_row = true;
        loop {
            if node.now_ms() >= self.end_at_ms {
                failure.is_timeout = true;
                return Err(failure);
            }
            // An endpoint may be back under its name with other software.
            if self.origin != StreamOrigin::None && !node.knows_endpoints() {
                if node.now_ms() < wait_end_ms {
                    sleep(RESUME_POLL_INTERVAL).await;
                    continue;
                }
                failure.reason = OLD_VIEW_REASON.into();
                return Err(failure);
            }
            let (run, endpoint, address) = match self.place(node, isolation_end_ms).await {
                Placement::Run {
                    run,
                    endpoint,
                    address,
                } => (run, endpoint, address),
                Placement::Conflict => {
                    pause_suspect().await;
                    continue;
                }
                Placement::Limited { wait_ms } => {
                    if node.now_ms() + wait_ms < wait_end_ms {
                        sleep(Duration::from_millis(wait_ms)).await;
                        continue;
                    }
                    let requirements = self.requirements(node);
                    let left_ms = self.end_at_ms.saturating_sub(node.now_ms());
                    failure.reason = LIMIT_REASON.into();
                    failure.retry_after_ms =
                        limits::return_delay_ms(node, requirements, wait_ms, left_ms);
                    return Err(failure);
                }
                // Others would not do, so endpoints that just refused it are asked again.
                Placement::NoEndpoint if self.may_wait(node, wait_end_ms) => {
                    sleep(RESUME_POLL_INTERVAL).await;
                    self.excluded.clear();
                    continue;
                }
                Placement::NoEndpoint if self.origin != StreamOrigin::None => {
                    failure.reason = NO_ORIGIN_REASON.into();
                    return Err(failure);
                }
                Placement::NoEndpoint => return Err(failure),
                Placement::Quarantined(quarantine) => {
                    failure.reason = QUARANTINE_REASON.into();
                    failure.retry_after_ms = quarantine.expires_in_ms;
                    return Err(failure);
                }
            };
            if !self.may_begin(node, &run, may_wait_for_row).await {
                may_wait_for_row = false;
                failure.reason = UNRECORDED_REASON.into();
                self.excluded.push(endpoint);
                continue;
            }
            if !may_send(node, self.workspace.as_deref(), self.credential) {
                failure.reason = KEY_REASON.into();
                return Err(failure);
            }
            run.record_send();
            let error = match self.send(node, &endpoint, address).await {
                Ok(response) => {
                    run.record_part();
                    self.attempts += 1;
                    self.log_begin(&run, &endpoint, &response);
                    return Ok(UpstreamStream {
                        run,
                        endpoint,
                        address,
                        response,
                    });
                }
                Err(error) => error,
            };
            end_run(run, address, &error).await;
            self.excluded.push(endpoint);
            failure.reason = error.reason;
            failure.is_timeout = node.now_ms() >= self.end_at_ms;
            if error.verdict != Verdict::NotRun {
                failure.verdict = Verdict::MayHaveRun;
                self.attempts += 1;
                if failure.is_timeout || !self.may_resume() {
                    return Err(failure);
                }
            }
        }
    }

    /// Returns `true` if the stream has begun, or may begin at the endpoint of a run: a node that later
    /// takes it up, without the memory of any other, can know that this software version began it.
    async fn may_begin<D: Dialect>(&self, node: &Node<D>, run: &Run<D>, may_wait: bool) -> bool {
        self.origin != StreamOrigin::None
            || !self.route.resumable
            || streams::ensure_recorded(node, &self.service, run.software(), may_wait).await
    }

    /// Logs that an endpoint begins the stream, or goes on with it.
    fn log_begin<D: Dialect>(
        &self,
        run: &Run<D>,
        endpoint: &EndpointName,
        response: &UpstreamResponse,
    ) {
        event!(
            info,
            "stream begins at endpoint",
            id = self.id,
            endpoint = endpoint,
            software = run.software().map_or("", SoftwareVersion::as_str),
            status = response.status.as_u16(),
            last_event = self.last_event.unwrap_or(0),
            first_attempt = self.first_attempt.as_deref().unwrap_or_default(),
        );
    }

    /// Returns the requirements on an endpoint that begins the stream or goes on with it.
    fn requirements<'a, D: Dialect>(&'a self, node: &'a Node<D>) -> Requirements<'a> {
        Requirements {
            origin: &self.origin,
            ..node.plain_requirements(&self.service)
        }
    }

    /// Returns `true` if the stream has begun, and an endpoint that may go on with it may have room
    /// soon.
    fn may_wait<D: Dialect>(&self, node: &Node<D>, end_ms: u64) -> bool {
        let now_ms = node.now_ms();
        let directory = node.directory.borrow();
        self.origin != StreamOrigin::None
            && now_ms < end_ms
            && directory
                .registry
                .has_eligible(now_ms, self.requirements(node), &[])
    }

    /// Chooses an endpoint for the stream.
    ///
    /// A suspect runs beside others if it has crashed one endpoint only and none is free for it in time:
    /// all streams of a crashed engine are suspects, and most of them are innocent.
    async fn place<D: Dialect>(&self, node: &Rc<Node<D>>, isolation_end_ms: u64) -> Placement<D> {
        let now_ms = node.now_ms();
        let crashes = |digest| node.suspects.reports(now_ms, digest).len();
        let isolation = match self.digest.map_or(0, crashes) {
            ..=1 if now_ms >= isolation_end_ms => Isolation::Waived,
            _ => Isolation::Required,
        };
        let requirements = self.requirements(node);
        let key = (&*self.id, self.digest);
        suspects::place(node, key, requirements, &self.excluded, isolation).await
    }

    /// Sends the request to an endpoint, and records and logs a failure.
    async fn send<D: Dialect>(
        &self,
        node: &Rc<Node<D>>,
        endpoint: &EndpointName,
        address: SocketAddr,
    ) -> Result<UpstreamResponse, SendFailure> {
        let left_ms = self.end_at_ms.saturating_sub(node.now_ms());
        let outbound = OutboundMetadata {
            id: &self.id,
            endpoint,
            remaining_ms: Some(left_ms),
            last_event: self.last_event,
            workspace: self.workspace.as_deref(),
        };
        let pending = limits::send(node, address, &self.upstream_request, outbound);
        let sent = timeout(Duration::from_millis(left_ms), pending).await;
        // The endpoint is not to blame for a request whose time was short.
        let failure = match sent {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(failure)) => failure,
            Err(_) => return Err(SendFailure::silent("its time is over")),
        };
        record_send_failure(
            &mut node.directory.borrow_mut(),
            node.now_ms(),
            endpoint,
            &failure,
            OVERLOAD_BACKOFF_MS,
        );
        event!(
            info,
            "send to endpoint failed",
            id = self.id,
            endpoint = endpoint,
            verdict = failure.verdict,
            reason = failure.reason,
        );
        Err(failure)
    }
}

/// Records what a failure says about the endpoint of a run.
pub(super) async fn end_run<D: Dialect>(run: Run<D>, address: SocketAddr, failure: &SendFailure) {
    match failure {
        failure if failure.connection_lost => {
            run.record_lost_connection(address, &failure.reason).await;
        }
        failure if failure.was_silent => {}
        _ => run.record_end(),
    }
}
