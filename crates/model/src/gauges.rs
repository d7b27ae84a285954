//! How busy each resource was, second by second.

/// A peak is the mean over one in so many seconds, the highest ones.
const PEAK_PART: usize = 20;

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Second {
    /// Busy share of the cores of backends that run, 0 to 1.
    pub cores: f64,
    /// Busy share of the cores of the busiest backend, 0 to 1.
    pub busiest_backend: f64,
    /// Used share of the backends' queues, 0 to 1.
    pub queue_use: f64,
    /// Used share of the fullest queue, 0 to 1.
    pub fullest_queue: f64,
    /// Requests that backends rejected as full.
    pub backend_rejections: u64,
    /// Calls to the counter as a share of its rate.
    pub counter: f64,
    /// Calls to the counter not answered in time.
    pub counter_unanswered: u64,
    /// CPU of the busiest limiter as a share of what it has.
    pub limiter_cpu: f64,
    /// Sockets of the limiter that has the most, as a share of its descriptors.
    pub limiter_sockets: f64,
    /// Tries that limiters received.
    pub received: u64,
    /// Tries that limiters rejected.
    pub rejected: u64,
    /// Tries that limiters answered with an error.
    pub failed: u64,
    /// Attempts sent to each zone.
    pub attempts_by_zone: Vec<u64>,
    /// Backends that serve.
    pub backends_up: u32,
}

/// The mean of the highest twentieth of a figure over a run: high enough to show a peak, and no single second.
pub fn peak(seconds: &[Second], of: impl Fn(&Second) -> f64) -> f64 {
    let mut values: Vec<f64> = seconds.iter().map(of).collect();
    values.sort_by(|a, b| b.total_cmp(a));
    let count = values.len().div_ceil(PEAK_PART).max(1).min(values.len());
    if count == 0 {
        return 0.0;
    }
    values[..count].iter().sum::<f64>() / count as f64
}

/// The mean of a figure over a run.
pub fn mean(seconds: &[Second], of: impl Fn(&Second) -> f64) -> f64 {
    if seconds.is_empty() {
        return 0.0;
    }
    seconds.iter().map(of).sum::<f64>() / seconds.len() as f64
}
