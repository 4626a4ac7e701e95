//! How many engines each model should have, by the work that is asked of it.

use std::collections::BTreeMap;

/// Part of an equal share that a model keeps without any work: its next step should not wait for
/// engines to change first.
const KEPT_PART: f64 = 0.25;
/// Part of an engine by which one model must have too much, and another too little, for it to
/// change over. Well over half, so that neither rounding nor a little more work moves engines to
/// and fro.
const MOVE_AT: f64 = 0.75;

/// Models of which one has too much and the other too little.
#[derive(Debug, Clone, PartialEq)]
pub struct Reassignment {
    /// The one with too much.
    pub from: Box<str>,
    /// The one with too little.
    pub to: Box<str>,
    /// What one has too much and the other too little, in engines of mean speed.
    excess: f64,
}

impl Reassignment {
    /// Whether an engine of a capacity should change over.
    pub fn fits(&self, capacity: f64) -> bool {
        self.excess >= capacity * MOVE_AT
    }
}

/// The share of each model in the capacity of some engines, not rounded.
///
/// Shares follow the work in proportion, beyond a part of an equal share that each model keeps.
/// Without any work all are equal.
pub fn targets(
    models: &[Box<str>],
    capacity: f64,
    work: &BTreeMap<Box<str>, f64>,
) -> BTreeMap<Box<str>, f64> {
    let equal = capacity / models.len().max(1) as f64;
    let kept = equal * KEPT_PART;
    let of = |model: &str| work.get(model).copied().unwrap_or(0.0);
    let all: f64 = models.iter().map(|model| of(model)).sum();
    let spread = capacity - kept * models.len() as f64;
    let target = |model: &str| match all {
        all if all > 0.0 => kept + spread * of(model) / all,
        _ => equal,
    };
    models
        .iter()
        .map(|model| (model.clone(), target(model)))
        .collect()
}

/// From which model an engine should change over, and to which, if any should.
pub fn reassignment(
    targets: &BTreeMap<Box<str>, f64>,
    shares: &BTreeMap<Box<str>, f64>,
) -> Option<Reassignment> {
    let surplus = |model: &str, target: f64| shares.get(model).copied().unwrap_or(0.0) - target;
    let all = || {
        let targets = targets.iter();
        targets.map(|(model, &target)| (model, surplus(model, target)))
    };
    let (from, most) = all().max_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let (to, least) = all().min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let excess = most.min(-least);
    (excess > 0.0).then(|| Reassignment {
        from: from.clone(),
        to: to.clone(),
        excess,
    })
}
