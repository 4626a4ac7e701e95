//! Loads of the experiments on shedding.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Number of slots of all endpoints together.
pub(super) const SLOTS: u32 = 16;
/// Duration of the arrivals, in milliseconds.
const DURATION_MS: u64 = 12_000;
/// Mean work of a caller's request, in milliseconds.
const MEAN_WORK_MS: u64 = 100;
/// Number of workspaces of the deployment on which one was greedy.
const WORKSPACES: u32 = 77;

/// A load under which the orders are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// 600 requests of one class within 0.2 s.
    Burst,
    /// One workspace of 77 sends twice what all slots can do.
    Greedy,
    /// 60 requests of 2 s before many of 0.1 s.
    LongFirst,
    /// Half of the slots serve nothing for 5 s.
    HalfGone,
    /// Training steps due in 2 s beside callers.
    Step,
    /// 130 % of what the slots can do, with estimates that are wrong by a factor of up to 10.
    WrongHints,
    /// 500 refused callers return in the same instant.
    Return,
}

/// A request of a load; times are on the virtual clock.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub(super) at_ms: u64,
    pub(super) workspace: u32,
    pub(super) priority: u8,
    pub(super) deadline_at_ms: u64,
    pub(super) objective_ms: u64,
    pub(super) work_ms: u64,
    pub(super) hint_ms: u64,
    pub(super) group: Option<u32>,
}

impl Load {
    /// All loads, in the order in which reports list them.
    pub const ALL: [Self; 7] = [
        Self::Burst,
        Self::Greedy,
        Self::LongFirst,
        Self::HalfGone,
        Self::Step,
        Self::WrongHints,
        Self::Return,
    ];

    /// Returns the name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Burst => "burst of one class",
            Self::Greedy => "greedy workspace of 77",
            Self::LongFirst => "long before short",
            Self::HalfGone => "half gone for 5 s",
            Self::Step => "step due in 2 s",
            Self::WrongHints => "hints wrong by 10",
            Self::Return => "all come back at once",
        }
    }

    /// Returns the number of slots that serve at a time.
    pub(super) fn slots(self, now_ms: u64) -> u32 {
        match self {
            Self::HalfGone if (2_000..7_000).contains(&now_ms) => SLOTS / 2,
            _ => SLOTS,
        }
    }

    /// Returns the requests in the order of their arrival.
    pub(super) fn arrivals(self, seed: u64) -> Vec<Arrival> {
        let mut random = SmallRng::seed_from_u64(seed);
        let random = &mut random;
        let mut arrivals = match self {
            Self::Greedy => {
                let mut arrivals = callers(random, 0.6);
                for arrival in &mut arrivals {
                    arrival.workspace = random.random_range(1..WORKSPACES);
                }
                arrivals.extend(callers(random, 2.0));
                for arrival in &mut arrivals {
                    arrival.priority = 1;
                }
                arrivals
            }
            Self::LongFirst => callers(random, 0.8),
            Self::HalfGone => callers(random, 0.85),
            Self::WrongHints => callers(random, 1.3),
            Self::Burst | Self::Step | Self::Return => callers(random, 0.6),
        };
        match self {
            Self::Burst => {
                arrivals.extend((0..600).map(|_| {
                    let at_ms = 2_000 + random.random_range(0..200);
                    Arrival {
                        priority: 1,
                        ..caller(random, at_ms)
                    }
                }));
            }
            Self::Return => arrivals.extend((0..500).map(|_| caller(random, 2_000))),
            Self::LongFirst => arrivals.extend((0..60).map(|_| Arrival {
                priority: 1,
                deadline_at_ms: 12_000,
                work_ms: 2_000,
                hint_ms: 2_000,
                ..caller(random, 0)
            })),
            Self::Step => {
                for arrival in &mut arrivals {
                    arrival.priority = 0;
                }
                for group in 0..40 {
                    let at_ms = 500 + u64::from(group / 8) * 2_000;
                    arrivals.extend((0..8).map(|_| step_item(random, at_ms, group)));
                }
            }
            Self::Greedy | Self::HalfGone | Self::WrongHints => {}
        }
        if self == Self::WrongHints {
            for arrival in &mut arrivals {
                let error = 10_f64.powf(random.random_range(-1.0..1.0));
                arrival.hint_ms = ((arrival.work_ms as f64 * error) as u64).max(1);
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }
}

/// Returns callers whose work is a part of what all slots can do.
fn callers(random: &mut SmallRng, load: f64) -> Vec<Arrival> {
    let per_ms = load * f64::from(SLOTS) / MEAN_WORK_MS as f64;
    let mut at_ms = 0.0;
    let mut arrivals = Vec::new();
    loop {
        let pause: f64 = random.random_range(f64::EPSILON..1.0);
        at_ms -= pause.ln() / per_ms;
        match at_ms as u64 {
            at_ms if at_ms >= DURATION_MS => return arrivals,
            at_ms => arrivals.push(caller(random, at_ms)),
        }
    }
}

fn caller(random: &mut SmallRng, at_ms: u64) -> Arrival {
    let work_ms = random.random_range(MEAN_WORK_MS / 2..=MEAN_WORK_MS * 3 / 2);
    Arrival {
        at_ms,
        workspace: 0,
        priority: match random.random_range(0..10) {
            0..2 => 0,
            2..7 => 1,
            _ => 2,
        },
        deadline_at_ms: at_ms + random.random_range(600..2_000),
        objective_ms: 300,
        work_ms,
        hint_ms: work_ms,
        group: None,
    }
}

fn step_item(random: &mut SmallRng, at_ms: u64, group: u32) -> Arrival {
    let work_ms = random.random_range(100..800);
    Arrival {
        workspace: 1,
        priority: 1,
        deadline_at_ms: at_ms + 2_000,
        objective_ms: 2_000,
        work_ms,
        hint_ms: work_ms,
        group: Some(group),
        ..caller(random, at_ms)
    }
}
