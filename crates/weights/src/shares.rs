//! How many engines each model should have, by the work that is asked of it.

use std::collections::BTreeMap;

/// Part of an equal share that a model keeps without any work: its next step should not wait for
/// engines to change first.
const KEPT_PART: f64 = 0.25;
/// Engines that a model must have too many, and another too few, for one to change over. Well
/// over half of one, so that neither rounding nor a little more work moves engines to and fro.
const MOVE_AT: f64 = 0.75;

/// The share of each model among some engines, not rounded.
///
/// Shares follow the work in proportion, beyond a part of an equal share that each model keeps. Without any work all
/// are equal.
pub fn targets(
    models: &[Box<str>],
    engines: usize,
    work: &BTreeMap<Box<str>, f64>,
) -> BTreeMap<Box<str>, f64> {
    let equal = engines as f64 / models.len().max(1) as f64;
    let kept = equal * KEPT_PART;
    let of = |model: &str| work.get(model).copied().unwrap_or(0.0);
    let all: f64 = models.iter().map(|model| of(model)).sum();
    let spread = engines as f64 - kept * models.len() as f64;
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
pub fn change(
    targets: &BTreeMap<Box<str>, f64>,
    counts: &BTreeMap<Box<str>, usize>,
) -> Option<(Box<str>, Box<str>)> {
    let surplus = |model: &str, target: f64| {
        let count = counts.get(model).copied().unwrap_or(0);
        count as f64 - target
    };
    let all = || {
        let targets = targets.iter();
        targets.map(|(model, &target)| (model, surplus(model, target)))
    };
    let (from, most) = all().max_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let (to, least) = all().min_by(|(_, a), (_, b)| a.total_cmp(b))?;
    let is_due = most >= MOVE_AT && least <= -MOVE_AT;
    is_due.then(|| (from.clone(), to.clone()))
}
