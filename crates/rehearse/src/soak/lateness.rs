//! How late the stand-ins' timers are.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::sync::locked;

/// Timers are looked at this often.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Measures how late timers of this process are: the stand-ins' clocks are no better.
pub struct LatenessMonitor {
    largest: Arc<Mutex<Duration>>,
    task: JoinHandle<()>,
}

impl LatenessMonitor {
    /// Measures until it is dropped.
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

    /// The largest lateness so far.
    pub fn largest(&self) -> Duration {
        *locked(&self.largest)
    }
}

impl Drop for LatenessMonitor {
    fn drop(&mut self) {
        self.task.abort();
    }
}
