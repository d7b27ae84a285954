//! Measures how late the stand-ins' timers fire.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::sync::locked;

/// Interval of the measuring timer.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Measures how late timers of this process fire, which limits the accuracy of all times that the stand-ins record.
pub struct LatenessMonitor {
    largest: Arc<Mutex<Duration>>,
    task: JoinHandle<()>,
}

impl LatenessMonitor {
    /// Starts a measurement, which lasts until the monitor is dropped.
    pub fn start() -> LatenessMonitor {
        let largest = Arc::new(Mutex::new(Duration::ZERO));
        let measured = largest.clone();
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + CHECK_INTERVAL;
                tokio::time::sleep_until(due).await;
                let mut largest = locked(&measured);
                *largest = due.elapsed().max(*largest);
            }
        });
        LatenessMonitor { largest, task }
    }

    /// Returns the largest lateness so far.
    pub fn largest(&self) -> Duration {
        *locked(&self.largest)
    }
}

impl Drop for LatenessMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}
