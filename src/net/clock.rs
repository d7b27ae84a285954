//! The program's one clock: microseconds since the Unix epoch that never go backwards.

use std::time::{SystemTime, UNIX_EPOCH};

use sedgestack::Micros;
use tokio::time::{Duration, Instant};

/// Read once from the system and advanced by the monotonic clock from then on, as all machines read one
/// clock and a step of it must not reach the decisions.
#[derive(Clone, Copy)]
pub struct Clock {
    epoch: Micros,
    origin: Instant,
}

impl Clock {
    /// Reads the system's clock, this once.
    pub fn start() -> Clock {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { epoch: since.as_micros() as Micros, origin: Instant::now() }
    }

    /// What the clock shows at an instant.
    pub fn at(&self, instant: Instant) -> Micros {
        self.epoch + instant.saturating_duration_since(self.origin).as_micros() as Micros
    }

    /// What the clock shows now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The instant at which the clock shows `time`.
    pub fn instant(&self, time: Micros) -> Instant {
        self.origin + Duration::from_micros(time.saturating_sub(self.epoch))
    }
}
