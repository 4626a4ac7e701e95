//! Reports of use: what is decided, when, and that it never changes.

use std::collections::BTreeMap;

use proptest::prelude::*;
use wisteriapoint_usage::{UsageCounter, UsageLedger, UsageRecord, WindowCounts, Windows};

const WINDOWS_MS: u64 = 5_000;

fn windows() -> Windows {
    Windows::new(WINDOWS_MS)
}

fn counts(window: u64, counts: &[(&str, u64)]) -> WindowCounts {
    let counts = counts.iter().map(|&(name, count)| (name.into(), count));
    WindowCounts {
        window,
        counts: counts.collect(),
    }
}

/// Guards against a request that an endpoint refused and that is counted all the same.
#[test]
fn a_request_that_did_not_run_is_not_counted() {
    let mut counter = UsageCounter::new(windows());
    let window = counter.begin(12_000, "forms");
    counter.begin(12_100, "forms");
    counter.begin(12_200, "maps");
    counter.cancel(window, "forms");
    assert_eq!(counter.open(), [counts(2, &[("forms", 1), ("maps", 1)])]);
    let last = counter.begin(15_000, "maps");
    counter.cancel(last, "maps");
    counter.settle(3);
    assert_eq!(counter.open(), [counts(3, &[])]);
}

/// Guards against counts that are added twice when a node repeats its report.
#[test]
fn a_repeated_report_changes_nothing() {
    let mut ledger = UsageLedger::new(windows(), 2);
    for _ in 0..3 {
        ledger.record(("vm-1", 1), 16_000, vec![counts(2, &[("forms", 4)])]);
    }
    assert_eq!(
        ledger.decide(16_100, 5_000),
        Some(counts(2, &[("forms", 4)]))
    );
}

/// Guards against a window that is decided before a live node has reported it, and against one that
/// waits for a node that is gone.
#[test]
fn a_window_waits_for_live_nodes_only() {
    let mut ledger = UsageLedger::new(windows(), 2);
    ledger.record(("vm-1", 1), 16_000, vec![counts(2, &[("forms", 4)])]);
    ledger.record(("vm-2", 1), 14_000, vec![counts(2, &[("forms", 1)])]);
    assert_eq!(ledger.awaited(16_100), ["vm-2"]);
    assert_eq!(ledger.decide(16_100, 5_000), None);
    // What the lost node has reported is counted.
    assert_eq!(
        ledger.decide(18_100, 5_000),
        Some(counts(2, &[("forms", 5)]))
    );
}

/// Guards against a deadline that is missed as some node goes on reporting too early.
#[test]
fn a_window_is_decided_at_the_latest_after_the_wait() {
    let ledger = UsageLedger::new(windows(), 2);
    assert_eq!(ledger.decide(20_800, 5_000), None);
    assert_eq!(ledger.decide(20_850, 5_000), Some(counts(2, &[])));
}

/// Guards against a second decision of a window with other counts after the holder has changed: what
/// is stored is what counts, and late reports are left out.
#[test]
fn a_decided_window_never_changes() {
    let mut first = UsageLedger::new(windows(), 2);
    first.record(("vm-1", 1), 16_000, vec![counts(2, &[("forms", 4)])]);
    let decided = first.decide(16_100, 5_000).unwrap();
    let stored = UsageRecord::new(2)
        .with_decided(decided.clone())
        .to_bytes()
        .unwrap();
    let record = UsageRecord::from_bytes(&stored).unwrap();
    let mut second = UsageLedger::new(windows(), record.first_open);
    second.record(
        ("vm-1", 1),
        16_000,
        vec![counts(2, &[("forms", 9)]), counts(3, &[("forms", 1)])],
    );
    assert_eq!(second.decide(16_100, 5_000), None);
    assert_eq!(second.decide(25_200, 0), Some(counts(3, &[("forms", 1)])));
    assert_eq!(record.pending.front(), Some(&decided));
    assert!(record.with_accepted(2).pending.is_empty());
}

/// Guards against a row that an earlier or later build can't read.
#[test]
fn the_stored_record_is_json_with_fixed_names() {
    let record = UsageRecord::new(2).with_decided(counts(2, &[("forms", 4)]));
    let text = String::from_utf8(record.to_bytes().unwrap()).unwrap();
    assert_eq!(
        text,
        r#"{"first_open":3,"pending":[{"window":2,"counts":{"forms":4}}]}"#
    );
}

proptest! {
    /// Guards against counts that are lost or doubled while nodes restart, repeat reports and meet new
    /// holders: as long as every node lives until its window is decided, the sums are exact.
    #[test]
    fn sums_are_exact_over_restarts_of_the_holder(
        events in proptest::collection::vec((0_usize..4, 0_u64..30_000, 0_usize..3), 0..200),
        new_holders in proptest::collection::vec(0_u64..40_000, 0..4),
    ) {
        const NAMES: [&str; 3] = ["forms", "maps", "trees"];
        let mut expected: BTreeMap<(u64, Box<str>), u64> = BTreeMap::new();
        let mut nodes: Vec<_> = (0..4).map(|_| UsageCounter::new(windows())).collect();
        let mut decided: BTreeMap<(u64, Box<str>), u64> = BTreeMap::new();
        let mut ledger = UsageLedger::new(windows(), 0);
        let mut record = UsageRecord::new(0);
        for now_ms in (0..45_000).step_by(500) {
            for &(node, _, name) in events.iter().filter(|(_, at, _)| at / 500 * 500 == now_ms) {
                let window = nodes[node].begin(now_ms, NAMES[name]);
                *expected.entry((window, NAMES[name].into())).or_default() += 1;
            }
            if new_holders.iter().any(|at| at / 500 * 500 == now_ms) {
                ledger = UsageLedger::new(windows(), record.first_open);
                continue;
            }
            for (index, node) in nodes.iter_mut().enumerate() {
                node.settle(record.first_open);
                ledger.record((&format!("vm-{index}"), 1), now_ms, node.open());
            }
            while let Some(window) = ledger.decide(now_ms, 5_000) {
                for (name, count) in &window.counts {
                    let before = decided.insert((window.window, name.clone()), *count);
                    prop_assert_eq!(before, None, "decided twice");
                }
                ledger.settle(window.window + 1);
                record = record.with_decided(window);
            }
        }
        prop_assert_eq!(decided, expected);
    }
}

/// One node whose time of day differs from true time.
struct SkewedNode {
    counter: UsageCounter,
    offset_ms: i64,
    /// Time of the next report, in true time.
    reports_at_ms: u64,
    /// Reports on their way, with the time at which they arrive.
    in_transit: Vec<(u64, Vec<WindowCounts>)>,
}

fn local_ms(true_ms: u64, offset_ms: i64) -> u64 {
    true_ms.saturating_add_signed(offset_ms)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against counts that are lost as the clocks of VMs differ by up to 200 ms and reports are
    /// on their way for up to 600 ms: a window is decided only when no node counts in it any more.
    #[test]
    fn sums_are_exact_though_clocks_differ(
        offsets_ms in proptest::collection::vec(-100_i64..=100, 4),
        holder_offset_ms in -100_i64..=100,
        transit_ms in proptest::collection::vec(0_u64..600, 16),
        events in proptest::collection::vec((0_usize..4, 1_000_u64..30_000), 0..300),
    ) {
        const STEP_MS: u64 = 10;
        const REPORT_INTERVAL_MS: u64 = 250;
        let mut nodes: Vec<_> = offsets_ms.iter().map(|&offset_ms| SkewedNode {
            counter: UsageCounter::new(windows()),
            offset_ms,
            reports_at_ms: 1_000,
            in_transit: Vec::new(),
        }).collect();
        let mut expected: BTreeMap<u64, u64> = BTreeMap::new();
        let mut exact: BTreeMap<u64, u64> = BTreeMap::new();
        let mut decided: BTreeMap<u64, u64> = BTreeMap::new();
        let mut ledger = UsageLedger::new(windows(), 0);
        let mut transits = transit_ms.iter().cycle();
        for now_ms in (1_000..45_000).step_by(STEP_MS as usize) {
            for &(node, _) in events.iter().filter(|(_, at)| at / STEP_MS * STEP_MS == now_ms) {
                let SkewedNode { counter, offset_ms, .. } = &mut nodes[node];
                let window = counter.begin(local_ms(now_ms, *offset_ms), "forms");
                *expected.entry(window).or_default() += 1;
                *exact.entry(windows().window_of(now_ms)).or_default() += 1;
            }
            let holder_ms = local_ms(now_ms, holder_offset_ms);
            for (index, node) in nodes.iter_mut().enumerate() {
                if now_ms >= node.reports_at_ms {
                    // The next report is sent when the previous one has been answered.
                    let arrives_at_ms = now_ms + transits.next().unwrap();
                    node.reports_at_ms = arrives_at_ms.max(now_ms + REPORT_INTERVAL_MS);
                    node.in_transit.push((arrives_at_ms, node.counter.open()));
                }
                for (_, open) in node.in_transit.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
                    ledger.record((&format!("vm-{index}"), 1), holder_ms, open);
                }
                node.counter.settle(ledger.first_open());
            }
            while let Some(window) = ledger.decide(holder_ms, 5_000) {
                let end_ms = windows().end_ms(window.window);
                prop_assert!(holder_ms < end_ms + 5_000, "decided too late for its report");
                let count = window.counts.values().sum::<u64>();
                if count > 0 {
                    decided.insert(window.window, count);
                }
                ledger.settle(window.window + 1);
            }
        }
        prop_assert_eq!(&decided, &expected);
        // Counts differ from those in true time by requests near the ends of a window alone.
        for (window, count) in &decided {
            let (begin_ms, end_ms) = (window * WINDOWS_MS, windows().end_ms(*window));
            let near = |at_ms: u64| at_ms.abs_diff(begin_ms) <= 110 || at_ms.abs_diff(end_ms) <= 110;
            let unsure = events.iter().filter(|(_, at_ms)| near(*at_ms)).count() as u64;
            prop_assert!(exact.get(window).copied().unwrap_or(0).abs_diff(*count) <= unsure);
        }
    }
}
