//! Shares of engine capacity for models, by the work that is requested from each.

use std::collections::BTreeMap;

/// Fraction of an equal share that a model has even without any work, so that its next step need
/// not wait until engines are reassigned.
const BASE_SHARE: f64 = 0.25;
/// Fraction of an engine's capacity by which one model must have too much, and another too little,
/// for the engine to be reassigned. It is well over half, so that neither rounding nor small
/// changes of the work move engines back and forth.
const MIN_EXCESS: f64 = 0.75;

/// A pair of models between which an engine may be reassigned.
#[derive(Debug, Clone, PartialEq)]
pub struct Reassignment {
    /// Model with more capacity than its target.
    pub from: Box<str>,
    /// Model with less capacity than its target.
    pub to: Box<str>,
    /// The smaller of the surplus of `from` and the deficit of `to`, in engines of mean speed.
    excess: f64,
}

impl Reassignment {
    /// Returns `true` if an engine of this capacity, in engines of mean speed, should be
    /// reassigned.
    pub fn fits(&self, capacity: f64) -> bool {
        self.excess >= capacity * MIN_EXCESS
    }
}

/// Returns the share of each model in a total capacity, not rounded.
///
/// Each model gets a fraction of an equal share; the rest is split in proportion to the work.
/// Without any work all shares are equal.
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

/// Returns the models with the largest surplus and the largest deficit, if there are both.
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
