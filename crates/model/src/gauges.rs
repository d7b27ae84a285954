//! Utilization of each resource by second.

/// Divisor of the number of seconds that [`peak`] averages: the mean of the highest twentieth.
const PEAK_DIVISOR: usize = 20;

/// Utilization and counts in one second of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Second {
    /// Busy share of the cores of all running backends, 0 to 1.
    pub cores: f64,
    /// Busy share of the cores of the busiest backend, 0 to 1.
    pub busiest_backend: f64,
    /// Used share of the queues of all running backends, 0 to 1.
    pub queue_use: f64,
    /// Used share of the fullest queue, 0 to 1.
    pub fullest_queue: f64,
    /// Attempts that backends rejected because their queue was full.
    pub backend_rejections: u64,
    /// Calls to the quota counter as a share of the calls that it can serve.
    pub counter: f64,
    /// Calls to the quota counter that were rejected or not answered in time.
    pub counter_unanswered: u64,
    /// Busy share of the CPU of the busiest limiter.
    pub limiter_cpu: f64,
    /// Sockets of the limiter with the most of them, as a share of its limit on sockets.
    pub limiter_sockets: f64,
    /// Tries that limiters received.
    pub received: u64,
    /// Tries that limiters rejected.
    pub rejected: u64,
    /// Tries that limiters answered with an error.
    pub failed: u64,
    /// Attempts sent to backends, by zone.
    pub attempts_by_zone: Vec<u64>,
    /// Number of running, reachable backends.
    pub backends_up: u32,
}

/// Returns the mean of the highest twentieth of a metric over the seconds of a run. This shows a peak without depending
/// on a single second.
pub fn peak(seconds: &[Second], of: impl Fn(&Second) -> f64) -> f64 {
    let mut values: Vec<f64> = seconds.iter().map(of).collect();
    values.sort_by(|a, b| b.total_cmp(a));
    let count = values.len().div_ceil(PEAK_DIVISOR).max(1).min(values.len());
    if count == 0 {
        return 0.0;
    }
    values[..count].iter().sum::<f64>() / count as f64
}

/// Returns the mean of a metric over the seconds of a run.
pub fn mean(seconds: &[Second], of: impl Fn(&Second) -> f64) -> f64 {
    if seconds.is_empty() {
        return 0.0;
    }
    seconds.iter().map(of).sum::<f64>() / seconds.len() as f64
}
