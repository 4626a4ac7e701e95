//! The state of the model.

use std::rc::Rc;

use wisteriapoint_claim::{ClaimRequest, Partition, RecordedResponse, Settled, Tally};
use wisteriapoint_types::{Digest, MemberId, Nonce, RequestKey, ViewNumber};

use crate::views::{self, DAEMONS, DerivedView, VIEWS};

/// Claimants of the model.
pub const CLAIMANTS: usize = 2;

/// How much may happen.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Number of the last view.
    pub views: u64,
    /// Holders that may crash.
    pub crashes: u8,
    /// Steps of the clock.
    pub ticks: u8,
    /// Answers of holders that may be lost.
    pub lost_responses: u8,
    /// Reports of each claimant that arrive; the others are lost.
    pub reports: u8,
    /// The last view that the first claimant may start in.
    pub request_latest_view: u64,
    /// The first view that the second claimant may start in.
    pub retry_earliest_view: u64,
}

impl Bounds {
    /// One view, with answers lost and messages repeated.
    pub const ONE_VIEW: Self = Self {
        views: 1,
        crashes: 0,
        ticks: 0,
        lost_responses: 2,
        reports: 2,
        request_latest_view: 1,
        retry_earliest_view: 1,
    };

    /// A view change with both claimants starting before or after it.
    pub const VIEW_CHANGE: Self = Self {
        views: 2,
        crashes: 0,
        ticks: 0,
        lost_responses: 0,
        reports: 0,
        request_latest_view: 2,
        retry_earliest_view: 1,
    };

    /// A view change between a request and its retry, with reports on their way.
    pub const RETRY: Self = Self {
        reports: 1,
        request_latest_view: 1,
        retry_earliest_view: 2,
        ..Self::VIEW_CHANGE
    };

    /// A view change with a majority of the holders lost, and time passing.
    pub const MAJORITY_LOSS: Self = Self {
        crashes: 2,
        ticks: 1,
        reports: 0,
        ..Self::RETRY
    };

    /// Two view changes that may overtake each other's transfers.
    pub const FAST_VIEW_CHANGES: Self = Self {
        views: 3,
        reports: 0,
        retry_earliest_view: 3,
        ..Self::RETRY
    };
}

/// Times that the clock shows, in milliseconds; the key is issued at [`ISSUED_AT_MS`].
///
/// At the first, the key lies in the future; at the second it does so by less than the
/// skew allowed.
pub const TIMES_MS: [u64; 3] = [0, 96_000, 200_000];

/// Time of issue in the model's key, in milliseconds.
pub const ISSUED_AT_MS: u64 = 100_000;

/// Retry horizon of the model, in milliseconds.
pub const HORIZON_MS: u64 = 10_000_000;

/// One state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Index into [`TIMES_MS`].
    pub time: u8,
    /// Crashes so far.
    pub crashes: u8,
    /// Answers lost so far.
    pub lost_responses: u8,
    /// Number of the latest view.
    pub latest: u64,
    /// The oldest view that each view's record keeps, by view number less one.
    pub oldest: [u64; VIEWS],
    /// The holders.
    pub holders: [Rc<Holder>; DAEMONS],
    /// The claimants.
    pub claimants: [Claimant; CLAIMANTS],
    /// Whether a claimant said not-run when the request had run or could still run.
    pub false_not_run: bool,
    /// Whether a holder's recorded outcome changed.
    pub changed_outcome: bool,
}

/// One daemon as a holder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Holder {
    /// Whether it crashed.
    pub crashed: bool,
    /// Its claims.
    pub partition: Partition,
}

/// One claimant.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Claimant {
    /// The view of its ask.
    pub view: u64,
    /// How far it is.
    pub phase: Phase,
    /// Holders whose answer it has or has given up, one bit each.
    pub counted_holders: u8,
    /// The count of answers.
    pub tally: Option<Tally>,
    /// Whether it said not-run.
    pub answered_not_run: bool,
    /// Whether it dispatched the request.
    pub dispatched: bool,
    /// Its reports that arrived.
    pub reports: u8,
}

/// How far a claimant is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It has not started.
    #[default]
    Idle,
    /// It waits for answers.
    AwaitingResponses,
    /// It may dispatch.
    Won,
    /// It dispatched and has the answer.
    Completed,
    /// It did not dispatch and never will.
    Released,
}

impl State {
    /// The first state: three holders open in the first view.
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

    /// The time, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        TIMES_MS[self.time as usize]
    }

    /// A view, as its record stands.
    pub fn view(&self, number: u64) -> &'static DerivedView {
        views::derived_view(number, self.oldest[number as usize - 1])
    }

    /// How often the request was dispatched.
    pub fn dispatches(&self) -> usize {
        let dispatched = |claimant: &&Claimant| claimant.dispatched;
        self.claimants.iter().filter(dispatched).count()
    }

    /// What is wrong with this state.
    pub fn violation(&self) -> Option<&'static str> {
        match self.dispatches() {
            0 | 1 if self.false_not_run => Some("not-run was said and was not true"),
            0 | 1 if self.changed_outcome => Some("a recorded answer changed"),
            0 | 1 => None,
            _ => Some("the request was dispatched twice"),
        }
    }
}

/// The ask of a claimant in a view.
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

/// The answer that a claimant's dispatch gets.
pub fn outcome(claimant: usize) -> Settled {
    Settled::Ran(RecordedResponse {
        status: 200 + claimant as u16,
        content_type: "".into(),
        body: Vec::new(),
    })
}

/// The model's key: a UUIDv7 issued at [`ISSUED_AT_MS`].
pub fn key() -> RequestKey {
    RequestKey::new("00000001-86a0-7000-8000-000000000000")
}
