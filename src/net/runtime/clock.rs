//! The daemon's only clock: microseconds since the Unix epoch that never go backwards.

use std::future::pending;
use std::time::{SystemTime, UNIX_EPOCH};

use sedgestack::Micros;
use tokio::time::{sleep_until, Duration, Instant};

/// A clock that is read from the system clock once and then advanced by the monotonic clock. The machines of a
/// deployment share one time, and a later step of the system clock must not affect decisions.
#[derive(Clone, Copy)]
pub struct Clock {
    epoch: Micros,
    origin: Instant,
}

/// Number of times that both clocks are read at the start.
const START_SAMPLES: u32 = 8;

impl Clock {
    /// Reads the system clock several times and keeps the sample that took the least time. If the process is
    /// preempted between reading its two clocks, its time would otherwise be behind by that delay for as long as it
    /// runs.
    pub fn start() -> Clock {
        let sample = |_| {
            let before = Instant::now();
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            (before.elapsed(), Clock { epoch: since_epoch.as_micros() as Micros, origin: before })
        };
        let samples = (0..START_SAMPLES).map(sample);
        samples
            .min_by_key(|(elapsed, _)| *elapsed)
            .map(|(_, clock)| clock)
            .expect("there is at least one sample")
    }

    /// Returns the clock's time at `instant`.
    pub fn at(&self, instant: Instant) -> Micros {
        self.epoch + instant.saturating_duration_since(self.origin).as_micros() as Micros
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// Returns the instant at which the clock shows `time`.
    pub fn instant(&self, time: Micros) -> Instant {
        self.origin + Duration::from_micros(time.saturating_sub(self.epoch))
    }
}

/// Waits until `time`, or forever if there is none.
pub async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => pending().await,
    }
}
