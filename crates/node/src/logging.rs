//! Structured log lines on standard output, through a bounded queue that never blocks a request.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime};

use log::{LevelFilter, Log, Metadata, Record};

/// Capacity of the queue to the writer thread, in lines: some seconds of a busy node's output.
const MAX_QUEUED_LINES: usize = 8_192;
/// Pause before each write, so that many lines share one.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Largest write of several lines, in bytes: a pipe takes this much atomically, so the lines of
/// several processes do not mix.
const MAX_WRITE_BYTES: usize = 4_096;

/// Number of lines dropped because the queue to the writer was full or the writer had ended.
pub static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

struct Logger {
    lines: SyncSender<String>,
}

/// Installs a logger that writes one JSON object a line to standard output.
///
/// A second call has no effect.
pub fn init(level: LevelFilter) {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    if log::set_boxed_logger(Box::new(Logger { lines })).is_err() {
        return;
    }
    log::set_max_level(level);
    std::thread::spawn(move || write_all(&queue));
}

fn write_all(queue: &Receiver<String>) {
    while let Ok(first) = queue.recv() {
        std::thread::sleep(WRITE_INTERVAL);
        let mut text = first;
        for line in queue.try_iter() {
            if text.len() + line.len() > MAX_WRITE_BYTES
                && write(&std::mem::take(&mut text)).is_err()
            {
                return;
            }
            text.push_str(&line);
        }
        // Standard output is closed, and there is nowhere else to report that.
        if write(&text).is_err() {
            return;
        }
    }
}

fn write(text: &str) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())?;
    out.flush()
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let is_own = metadata.target().starts_with("wisteriapoint");
        is_own || metadata.level() <= log::Level::Warn
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let message = record.args().to_string();
        let line = format!(
            "{{\"at_ms\":{},\"level\":\"{}\",{}}}\n",
            since_epoch.as_millis(),
            record.level(),
            message,
        );
        match self.lines.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn flush(&self) {}
}
