//! Processor time and memory of this process, from the kernel.

use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4_096;

/// Processor time so far of the threads with a name.
pub(crate) fn cpu_of_threads(name: &str) -> Duration {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    let mut nanoseconds = 0;
    for task in tasks.flatten() {
        let comm = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        if comm.trim() == name {
            let schedstat = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            let run = schedstat.split_whitespace().next();
            nanoseconds += run.and_then(|run| run.parse::<u64>().ok()).unwrap_or(0);
        }
    }
    Duration::from_nanos(nanoseconds)
}

/// Resident memory, in bytes.
pub(crate) fn memory_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
