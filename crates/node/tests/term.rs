//! Return of a run to the lead of the previous run on its VM.

use wisteriapoint_node::control::Term;

const MINUTE_MS: u64 = 60_000;

/// Guards against a process that ends whenever it leads and keeps the lead from all others.
#[test]
fn a_vm_whose_runs_end_soon_returns_once() {
    let mut now_ms = MINUTE_MS;
    let mut term = Term::new(now_ms);
    for _ in 0..3 {
        now_ms += 10 * MINUTE_MS;
        term = term.next(now_ms).expect("the previous term was long");
        now_ms += 500;
        term = term.next(now_ms).expect("it ended soon for the first time");
        assert_eq!(term.next(now_ms + 500), None);
    }
}
