//! Recent durations of requests, and whether another one can end in time.

use std::collections::BTreeMap;

/// Time over which a longest duration is kept in any case, in milliseconds; it is forgotten after
/// twice this time.
const WINDOW_MS: u64 = 60_000;
/// Factor by which a request may last longer than the longest recent one.
const SAFETY_FACTOR: f64 = 1.25;

/// Longest recent duration of the requests of each route.
#[derive(Debug, Default)]
pub struct Durations {
    routes: BTreeMap<Box<str>, Longest>,
}

/// Longest durations of the current window and of the one before, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Longest {
    window: u64,
    current_ms: u64,
    previous_ms: u64,
}

impl Longest {
    /// Moves to the window of the given time.
    fn at(self, now_ms: u64) -> Self {
        let window = now_ms / WINDOW_MS;
        match window.saturating_sub(self.window) {
            0 => self,
            1 => Self {
                window,
                current_ms: 0,
                previous_ms: self.current_ms,
            },
            _ => Self {
                window,
                current_ms: 0,
                previous_ms: 0,
            },
        }
    }

    fn longest_ms(self) -> u64 {
        self.current_ms.max(self.previous_ms)
    }
}

impl Durations {
    /// Creates a state without durations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request of a route has lasted this long.
    pub fn record(&mut self, now_ms: u64, route: &str, duration_ms: u64) {
        match self.routes.get_mut(route) {
            Some(longest) => {
                *longest = longest.at(now_ms);
                longest.current_ms = longest.current_ms.max(duration_ms);
            }
            None => {
                let longest = Longest {
                    window: now_ms / WINDOW_MS,
                    current_ms: duration_ms,
                    previous_ms: 0,
                };
                self.routes.insert(route.into(), longest);
            }
        }
    }

    /// Returns the time that a new request of a route may last, in milliseconds.
    ///
    /// That is a little more than the longest recent one, and never more than `limit_ms`, after which
    /// it is given up; it is `limit_ms` if there was none recently.
    pub fn expected_ms(&self, now_ms: u64, route: &str, limit_ms: u64) -> u64 {
        let longest = self.routes.get(route);
        match longest.map_or(0, |longest| longest.at(now_ms).longest_ms()) {
            0 => limit_ms,
            longest_ms => limit_ms.min((longest_ms as f64 * SAFETY_FACTOR).ceil() as u64),
        }
    }
}
