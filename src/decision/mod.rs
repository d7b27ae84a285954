//! The decisions of one limiter, without I/O: it takes events and returns actions (both in `src/interface`).

mod attempts;
mod backend_slots;
mod backends;
mod concurrency;
mod cordons;
mod counter_budget;
mod customer_limit;
mod customers;
mod demand;
mod engine;
mod latencies;
mod load;
mod outlier;
mod pacing;
mod queues;
mod random;
mod rejections;
mod release_gate;
mod requests;
mod retries;
mod selection;
mod settings_check;
mod slow_start;
mod timers;
mod token_bucket;
mod usage_reports;
mod versions;

pub use cordons::BackendCounts;
pub use engine::Limiter;
pub use queues::ANSWER_TICKS;

/// Microseconds in a second.
const SECOND: f64 = 1e6;
