//! How many engines each model should have, by the work that is asked of it.

use std::collections::BTreeMap;

/// Part of an equal share that a model keeps without any work: its next step should not wait for
/// engines to change first.
const BASE_SHARE: f64 = 0.25;
/// Part of an engine by which one model must have too much, and another too little, for it to
/// change over. Well over half, so that neither rounding nor a little more work moves engines to
/// and fro.
const MIN_EXCESS: f64 = 0.75;

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
        self.excess >= capacity * MIN_EXCESS
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
    let base = equal * BASE_SHARE;
    let work_of = |model: &str| work.get(model).copied().unwrap_or(0.0);
    let total: f64 = models.iter().map(|model| work_of(model)).sum();
    let remaining = capacity - base * models.len() as f64;
    let target = |model: &str| match total {
        total if total > 0.0 => base + remaining * work_of(model) / total,
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
    let surpluses = || {
        let targets = targets.iter();
        targets.map(|(model, &target)| (model, surplus(model, target)))
    };
    let (from, max_surplus) = surpluses().max_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let (to, min_surplus) = surpluses().min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let excess = max_surplus.min(-min_surplus);
    (excess > 0.0).then(|| Reassignment {
        from: from.clone(),
        to: to.clone(),
        excess,
    })
}
