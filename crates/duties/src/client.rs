//! Calls to the platform's API, and the settings of the duties.

use std::future::Future;
use std::net::SocketAddr;

use serde::Deserialize;
use wisteriapoint_usage::WindowCounts;

/// A duty that the platform wants one node to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Duty {
    /// Reports of the use by workspaces.
    Usage,
    /// Orders of endpoints.
    Scaling,
    /// One that this build does not know.
    #[serde(other)]
    Unknown,
}

/// Settings of the duties; a deployment without them has none.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Address of the platform's API.
    pub address: SocketAddr,
    /// The duties that are wanted.
    pub duties: Vec<Duty>,
    /// Calls a second that the platform accepts from all nodes together.
    pub calls_per_s: f64,
    /// Length of a window of the reports of use, in seconds.
    #[serde(default)]
    pub report_window_s: f64,
    /// Time after the end of a window by which its report is due, in seconds.
    #[serde(default)]
    pub report_due_s: f64,
}

impl DutySettings {
    /// Returns `true` if a duty is wanted and its settings are complete.
    pub fn includes(&self, duty: Duty) -> bool {
        let is_complete = match duty {
            Duty::Usage => self.report_window_s > 0.0 && self.report_due_s > 0.0,
            Duty::Scaling | Duty::Unknown => true,
        };
        is_complete && self.duties.contains(&duty)
    }

    /// Returns the length of a window in milliseconds.
    pub fn window_ms(&self) -> u64 {
        (self.report_window_s * 1_000.0) as u64
    }

    /// Returns the time after a window's end by which its report is due, in milliseconds.
    pub fn due_ms(&self) -> u64 {
        (self.report_due_s * 1_000.0) as u64
    }
}

/// A call to the platform's API.
#[derive(Debug, Clone, Copy)]
pub enum DutyCall<'a> {
    /// Reports the counts of a window.
    Usage(&'a WindowCounts),
    /// Orders a total number of endpoints of one kind in a failure domain.
    Scale {
        /// Service of the endpoints.
        service: &'a str,
        /// Failure domain in which they are to run.
        failure_domain: &'a str,
        /// Wanted number.
        count: u32,
        /// Whether the order is for endpoints that the platform may reclaim.
        is_spot: bool,
    },
}

/// How a call to the platform's API ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyOutcome {
    /// It was carried out.
    Accepted,
    /// The platform refused it: a higher fencing token was seen, or an order can't be met now.
    Refused,
    /// It was not carried out, for the rate of the calls or another reason that may pass.
    Failed,
    /// No answer arrived; the call may still be carried out.
    Unanswered,
}

/// Longest time from the check that a call may be sent to the end of the call, in milliseconds.
///
/// A holder sends a call only if no other node can become the holder before that.
pub const MAX_CALL_MS: u64 = 1_000;

/// Client of the platform's API.
///
/// Nothing of a call is sent more than [`MAX_CALL_MS`] after `may_send` was called, even if the process of
/// the client ends or stands still meanwhile.
pub trait DutyClient: 'static {
    /// Makes a call in the name of a holder with its fencing token.
    ///
    /// `may_send` is called once the connection is open, which may be after a long pause of this VM. If it
    /// returns `false`, nothing is sent and the call has failed.
    fn call(
        &self,
        holder: &str,
        fence: u64,
        call: DutyCall<'_>,
        may_send: impl Fn() -> bool,
    ) -> impl Future<Output = DutyOutcome>;
}
