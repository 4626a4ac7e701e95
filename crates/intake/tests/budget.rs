//! Tests of the account of bytes over random interleavings, and of who gives way.

use bytes::Bytes;
use proptest::prelude::*;
use wisteriapoint_intake::{Budget, Limits, Refused, Reservation};

const LIMITS: Limits = Limits {
    total_bytes: 200_000,
    unfinished_bytes: 150_000,
    small_reserve_bytes: 20_000,
    small_body_bytes: 4_096,
    answer_bytes: 100_000,
    connections: 100,
};

#[derive(Debug, Clone)]
enum Step {
    Open,
    Append { index: usize, bytes: usize },
    Finish { index: usize },
    DropUnfinished { index: usize },
    DropFinished { index: usize },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..32_usize;
    let bytes = prop_oneof![Just(1_usize), 1..5_000_usize, 1..120_000_usize];
    prop_oneof![
        2 => Just(Step::Open),
        6 => (index.clone(), bytes).prop_map(|(index, bytes)| Step::Append { index, bytes }),
        1 => index.clone().prop_map(|index| Step::Finish { index }),
        1 => index.clone().prop_map(|index| Step::DropUnfinished { index }),
        1 => index.prop_map(|index| Step::DropFinished { index }),
        1 => (0..2_000_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// Bodies as a reader sees them, beside the account.
struct Bodies {
    budget: Budget,
    now_ms: u64,
    unfinished: Vec<(Reservation, usize)>,
    finished: Vec<Bytes>,
}

impl Bodies {
    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Open => {
                let body = self.budget.open(Some(240_000), self.now_ms);
                self.unfinished.push((body, 0));
            }
            Step::Append { index, bytes } => {
                if let Some(index) = index.checked_rem(self.unfinished.len()) {
                    self.append(index, bytes);
                }
            }
            Step::Finish { index } => {
                if let Some(index) = index.checked_rem(self.unfinished.len()) {
                    let (body, bytes) = self.unfinished.swap_remove(index);
                    if let Ok(finished) = body.finish() {
                        assert_eq!(finished.len(), bytes);
                        self.finished.push(finished);
                    }
                }
            }
            Step::DropUnfinished { index } => {
                if let Some(index) = index.checked_rem(self.unfinished.len()) {
                    self.unfinished.swap_remove(index);
                }
            }
            Step::DropFinished { index } => {
                if let Some(index) = index.checked_rem(self.finished.len()) {
                    self.finished.swap_remove(index);
                }
            }
            Step::Wait { ms } => self.now_ms += ms,
        }
    }

    fn append(&mut self, index: usize, bytes: usize) {
        let held_before = self.budget.held_bytes();
        let (body, received) = &mut self.unfinished[index];
        if body.append(&vec![7; bytes], self.now_ms).is_ok() {
            *received += bytes;
            let is_only_one = self.budget.held_bytes() == *received;
            assert!(is_only_one || self.budget.held_bytes() <= LIMITS.total_bytes.max(held_before));
            let unfinished = self.budget.unfinished_bytes();
            assert!(is_only_one || unfinished <= LIMITS.unfinished_bytes.max(*received));
        } else {
            let refused = self.unfinished.swap_remove(index).0;
            assert_eq!(refused.finish().err(), Some(Refused));
        }
    }
}

proptest! {
    /// Guards against bytes that are counted and never released, or released twice, and against an
    /// account that exceeds its limits.
    #[test]
    fn account_ends_at_zero(steps in prop::collection::vec(step(), 1..200)) {
        let mut bodies = Bodies {
            budget: Budget::new(LIMITS),
            now_ms: 0,
            unfinished: Vec::new(),
            finished: Vec::new(),
        };
        for step in &steps {
            bodies.apply(step);
        }
        bodies.unfinished.clear();
        let finished: usize = bodies.finished.iter().map(Bytes::len).sum();
        prop_assert_eq!((bodies.budget.held_bytes(), bodies.budget.unfinished_bytes()), (finished, 0));
        bodies.finished.clear();
        prop_assert_eq!(bodies.budget.held_bytes(), 0);
    }

    /// Guards against a crowd of any sizes that has stopped sending and keeps out a small body.
    #[test]
    fn small_body_is_received_beside_a_stalled_crowd(sizes in prop::collection::vec(1..90_000_usize, 1..60)) {
        let budget = Budget::new(LIMITS);
        let crowd: Vec<_> = sizes
            .iter()
            .map(|&bytes| {
                let body = budget.open(None, 0);
                // A member may be refused at once.
                let _is_received = body.append(&vec![7; bytes], 0).is_ok();
                body
            })
            .collect();
        let small = budget.open(Some(1_000), 1_500);
        prop_assert!(small.append(&[7; 1_000], 1_500).is_ok());
        prop_assert!(small.finish().is_ok());
        drop(crowd);
    }
}

/// Guards against finished bodies, which can't give way, that leave no room for small ones.
#[test]
fn finished_large_bodies_leave_room_for_small_ones() {
    let budget = Budget::new(LIMITS);
    let mut finished = Vec::new();
    for _ in 0..8 {
        let body = budget.open(None, 0);
        if body.append(&[7; 45_000], 0).is_ok() {
            finished.extend(body.finish());
        }
    }
    assert_eq!(finished.len(), 4);
    let small = budget.open(None, 0);
    assert!(small.append(&[7; 1_000], 0).is_ok());
}

/// Guards against a legal body that is refused by a small VM although nothing else is held.
#[test]
fn largest_body_is_received_when_nothing_else_is_held() {
    for memory_mb in [16, 120, 512] {
        let budget = Budget::new(Limits::for_memory(memory_mb));
        let body = budget.open(Some(32 << 20), 0);
        for _ in 0..32 {
            assert!(body.append(&vec![7; 1 << 20], 0).is_ok());
        }
        let bytes = body.finish().unwrap();
        assert!(bytes.len() == 32 << 20 && bytes.iter().all(|&byte| byte == 7));
    }
}

/// Guards against the refusal of an active body while a larger or slower one is held.
#[test]
fn slowest_and_largest_bodies_give_way_first() {
    let budget = Budget::new(LIMITS);
    let (slow, large, active) = (
        budget.open(None, 0),
        budget.open(None, 0),
        budget.open(None, 0),
    );
    assert!(slow.append(&[7; 30_000], 0).is_ok());
    assert!(large.append(&[7; 90_000], 2_000).is_ok());
    assert!(active.append(&[7; 40_000], 2_000).is_ok());
    assert!(slow.append(&[7; 1], 2_000).is_err());
    assert!(active.append(&[7; 10_000], 2_000).is_ok());
    assert!(active.append(&[7; 20_000], 2_000).is_ok());
    assert!(large.append(&[7; 1], 2_000).is_err());
    assert_eq!(active.finish().map(|body| body.len()), Ok(70_000));
}

/// Guards against shares of the smallest VM in which the largest body fits only beside nothing else.
#[test]
fn largest_body_fits_the_shares_of_the_smallest_vm() {
    let limits = Limits::for_memory(120);
    let large_bytes = limits.total_bytes - limits.small_reserve_bytes;
    assert!(limits.unfinished_bytes.min(large_bytes) >= 32 << 20);
}

/// Guards against answers that are not counted while slow readers fetch them.
#[test]
fn answers_count_until_they_are_dropped() {
    let budget = Budget::new(LIMITS);
    let kept = budget.keep(Bytes::from(vec![7; 190_000])).unwrap();
    assert_eq!(budget.held_bytes(), 190_000);
    assert!(budget.keep(Bytes::from(vec![7; 20_000])).is_err());
    drop(kept);
    assert_eq!(budget.held_bytes(), 0);
    assert!(budget.keep(Bytes::from(vec![7; 20_000])).is_ok());
}

fn data(bytes: usize) -> Bytes {
    Bytes::from(vec![b'a'; bytes])
}

/// Guards against data that could be read again and keeps others from being received.
#[test]
fn cached_data_gives_way_to_bodies_and_answers() {
    let budget = Budget::new(LIMITS);
    let cached: Vec<_> = (0..3)
        .map(|_| budget.cache(budget.keep(data(50_000)).unwrap()))
        .collect();
    assert_eq!(budget.held_bytes(), 150_000);
    assert!(cached[0].get().is_some(), "it was used last now");
    let body = budget.open(None, 0);
    body.append(&data(80_000), 0).unwrap();
    let held = [0, 1, 2].map(|index| cached[index].get().is_some());
    assert_eq!(held, [true, false, true]);
    // Large data may use all but the reserve for small bodies, 180,000 bytes.
    let answer = budget.keep(data(60_000)).unwrap();
    assert_eq!(budget.held_bytes(), 140_000);
    drop((body, answer, cached));
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against bodies that push each other out of the cache while they are sent at the same time, and
/// against one that is larger than the account and never sent.
#[test]
fn data_is_sent_in_turn_whatever_its_size() {
    let budget = Budget::new(LIMITS);
    let cached = budget.cache(budget.keep(data(150_000)).unwrap());
    let first = budget.keep_for_send(data(20_000)).unwrap();
    assert_eq!(budget.keep_for_send(data(20_000)), Err(Refused));
    assert!(!budget.can_send(20_000) && budget.can_send(10_000));
    assert!(cached.get().is_some());
    drop(first);
    let large = budget.keep_for_send(data(500_000)).unwrap();
    assert!(cached.get().is_none());
    drop(large);
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against an account that counts on one path and does not give back on another.
#[test]
fn reserved_bytes_end_with_their_holder() {
    let budget = Budget::new(LIMITS);
    let reserved = budget.reserve(30_000).unwrap();
    assert!(budget.reserve(30_000).is_err(), "over the share");
    reserved.set(190_000);
    assert_eq!(budget.free_bytes(), 0);
    let other = budget.keep(data(1_000)).unwrap();
    assert_eq!(budget.keep(data(20_000)), Err(Refused));
    reserved.set(10_000);
    assert_eq!(budget.held_bytes(), 11_000);
    drop((reserved, other));
    assert_eq!(budget.held_bytes(), 0);
}
