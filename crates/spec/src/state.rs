//! State of the model.

use std::rc::Rc;

use wisteriapoint_claim::{ClaimRequest, Partition, RecordedResponse, Settled, Tally};
use wisteriapoint_types::{Digest, MemberId, Nonce, RequestKey, ViewNumber};

use crate::views::{self, DAEMONS, DerivedView, VIEWS};

/// Number of claimants in the model.
pub const CLAIMANTS: usize = 2;

/// Limits on the events of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Number of the last view that may be reached.
    pub views: u64,
    /// Maximum number of holders that crash.
    pub crashes: u8,
    /// Maximum number of times that the clock advances.
    pub ticks: u8,
    /// Maximum number of holder responses that are lost.
    pub lost_responses: u8,
    /// Maximum number of reports delivered for each claimant; the others are lost.
    pub reports: u8,
    /// Latest view in which the first claimant may start.
    pub request_latest_view: u64,
    /// Earliest view in which the second claimant may start.
    pub retry_earliest_view: u64,
}

impl Bounds {
    /// One view, with lost responses and repeated messages.
    pub const ONE_VIEW: Self = Self {
        views: 1,
        crashes: 0,
        ticks: 0,
        lost_responses: 2,
        reports: 2,
        request_latest_view: 1,
        retry_earliest_view: 1,
    };

    /// One view change, before or after which either claimant may start.
    pub const VIEW_CHANGE: Self = Self {
        views: 2,
        crashes: 0,
        ticks: 0,
        lost_responses: 0,
        reports: 0,
        request_latest_view: 2,
        retry_earliest_view: 1,
    };

    /// A view change between a request and its retry, with reports in flight.
    pub const RETRY: Self = Self {
        reports: 1,
        request_latest_view: 1,
        retry_earliest_view: 2,
        ..Self::VIEW_CHANGE
    };

    /// A view change in which a majority of the holders crash and the clock advances.
    pub const MAJORITY_LOSS: Self = Self {
        crashes: 2,
        ticks: 1,
        reports: 0,
        ..Self::RETRY
    };

    /// Two view changes, of which the second may happen before the transfers of the first complete.
    pub const FAST_VIEW_CHANGES: Self = Self {
        views: 3,
        reports: 0,
        retry_earliest_view: 3,
        ..Self::RETRY
    };
}

/// Successive clock readings, in milliseconds.
///
/// The key is issued at [`ISSUED_AT_MS`]: at the first reading that is further in the future than
/// the permitted clock skew, at the second it is in the future by less than that.
pub const TIMES_MS: [u64; 3] = [0, 96_000, 200_000];

/// Time of issue contained in the request key, in milliseconds.
pub const ISSUED_AT_MS: u64 = 100_000;

/// Retry horizon in every claim request, in milliseconds.
pub const HORIZON_MS: u64 = 10_000_000;

/// A state of the model, compared and hashed to detect states already visited.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Index into [`TIMES_MS`].
    pub time: u8,
    /// Number of crashes so far.
    pub crashes: u8,
    /// Number of responses lost so far.
    pub lost_responses: u8,
    /// Number of the latest view.
    pub latest: u64,
    /// Oldest view that each view record retains; view `n` is at index `n - 1`.
    pub oldest: [u64; VIEWS],
    /// All daemons, as holders of the partition.
    pub holders: [Rc<Holder>; DAEMONS],
    /// All claimants, in the order in which they may start.
    pub claimants: [Claimant; CLAIMANTS],
    /// Whether a claimant answered not-run although the request had run or could still run.
    pub false_not_run: bool,
    /// Whether an outcome recorded at a holder was replaced by another.
    pub changed_outcome: bool,
}

/// A daemon in its role as a holder of claims.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Whether the daemon has crashed; it does not restart.
    pub crashed: bool,
    /// Claims that the holder has granted or received.
    pub partition: Partition,
}

/// An attempt to claim and dispatch the request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Claimant {
    /// View in which its claim requests are made.
    pub view: u64,
    /// Progress of the attempt.
    pub phase: Phase,
    /// Bit set of the holders that have responded or timed out.
    pub counted_holders: u8,
    /// Count of the responses; `None` before the start and after the decision.
    pub tally: Option<Tally>,
    /// Whether the claimant answered not-run.
    pub answered_not_run: bool,
    /// Whether the claimant dispatched the request.
    pub dispatched: bool,
    /// Number of its reports that were delivered.
    pub reports: u8,
}

/// Progress of a claimant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Not started.
    #[default]
    Idle,
    /// Waiting for the responses of holders.
    AwaitingResponses,
    /// Granted by a majority, not dispatched yet.
    Won,
    /// Dispatched and answered by the endpoint.
    Completed,
    /// Ended without a dispatch.
    Released,
}

impl State {
    /// Creates the initial state: three holders that are open in the first view.
    pub fn new(bounds: Bounds) -> Self {
        let mut holders = [const { None }; DAEMONS].map(|_: Option<()>| Rc::default());
        for holder in holders.iter_mut().take(3) {
            let mut partition = Partition::new();
            partition.open(ViewNumber(1), Default::default());
            *holder = Rc::new(Holder {
                partition,
                ..Holder::default()
            });
        }
        Self {
            time: if bounds.ticks == 0 { 1 } else { 0 },
            crashes: 0,
            lost_responses: 0,
            latest: 1,
            oldest: [1; VIEWS],
            holders,
            claimants: Default::default(),
            false_not_run: false,
            changed_outcome: false,
        }
    }

    /// Returns the current clock reading, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        TIMES_MS[self.time as usize]
    }

    /// Returns a view with the earlier views that its record retains.
    pub fn view(&self, number: u64) -> &'static DerivedView {
        views::derived_view(number, self.oldest[number as usize - 1])
    }

    /// Returns how many claimants dispatched the request.
    pub fn dispatches(&self) -> usize {
        let dispatched = |claimant: &&Claimant| claimant.dispatched;
        self.claimants.iter().filter(dispatched).count()
    }

    /// Returns the invariant that this state violates, if any.
    pub fn violation(&self) -> Option<&'static str> {
        match self.dispatches() {
            0 | 1 if self.false_not_run => {
                Some("not-run was answered for a request that ran or could still run")
            }
            0 | 1 if self.changed_outcome => Some("a recorded outcome changed"),
            0 | 1 => None,
            _ => Some("the request was dispatched twice"),
        }
    }
}

/// Creates the claim request of a claimant in a view.
pub fn claim_request(claimant: usize, view: u64) -> ClaimRequest {
    ClaimRequest {
        view: ViewNumber(view),
        key: key(),
        digest: Digest(1),
        claimant: MemberId(claimant as u64 + 11),
        nonce: Nonce(claimant as u64 + 1),
        horizon_ms: HORIZON_MS,
    }
}

/// Returns the outcome of a dispatch, which differs by claimant.
pub fn outcome(claimant: usize) -> Settled {
    Settled::Ran(RecordedResponse {
        status: 200 + claimant as u16,
        content_type: "".into(),
        body: Vec::new(),
    })
}

/// Returns the request key: a UUIDv7 issued at [`ISSUED_AT_MS`].
pub fn key() -> RequestKey {
    RequestKey::new("00000001-86a0-7000-8000-000000000000")
}
