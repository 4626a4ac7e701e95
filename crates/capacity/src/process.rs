//! Processor time and memory of this process, from the kernel.

use std::alloc::System;
use std::fs;
use std::time::Duration;

use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

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

/// Memory that is allocated, in bytes; what the allocator keeps besides does not count.
pub(crate) fn allocated_bytes() -> u64 {
    ALLOCATOR.allocated() as u64
}
