//! Exponential decay of requested work.

use wisteriapoint_batch::RequestedWork;

#[test]
fn work_accumulates_and_halves_every_minute() {
    let mut requested = RequestedWork::new();
    requested.add(0, "a", 800.0);
    requested.add(60_000, "a", 100.0);
    requested.add(60_000, "b", 250.0);
    let work = requested.work(120_000);
    assert!((work["a"] - 250.0).abs() < 1.0, "{work:?}");
    assert!((work["b"] - 125.0).abs() < 1.0, "{work:?}");
}
