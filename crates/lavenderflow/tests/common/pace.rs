//! The pace of a reader.

use std::thread;
use std::time::{Duration, Instant};

/// The times at which a reader takes the parts of a body.
pub struct Pace {
    next: Instant,
    pause: Duration,
}

impl Pace {
    pub fn new(pause: Duration) -> Self {
        Self { next: Instant::now(), pause }
    }

    pub fn wait(&mut self) {
        self.next += self.pause;
        thread::sleep(self.next.saturating_duration_since(Instant::now()));
    }
}
