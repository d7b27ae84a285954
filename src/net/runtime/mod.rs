//! Infrastructure that all parts of the daemon use: clock, log, counters, signals, handover and socket options.

pub mod bounded_read;
pub mod clock;
pub mod handover;
pub mod heap;
pub mod log;
pub mod memory_budget;
pub mod memory_plan;
pub mod metrics;
pub mod shutdown;
pub mod socket_errors;
pub mod socket_reuse;
