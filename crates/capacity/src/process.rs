//! Processor time and allocated memory of this process.

use std::alloc::System;
use std::fs;
use std::time::Duration;

use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Returns the processor time that all threads named `name` have used since they started.
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

/// Returns the allocated memory in bytes, without memory that the allocator reserves.
pub(crate) fn allocated_bytes() -> u64 {
    ALLOCATOR.allocated() as u64
}
