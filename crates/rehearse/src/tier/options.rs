//! Options for starting a tier.

use std::path::PathBuf;
use std::time::Duration;

/// Options for starting a tier.
pub struct Options {
    /// Number of limiters in the tier.
    pub limiters: u32,
    /// Seed of the random numbers of the relay and the stand-ins.
    pub seed: u64,
    /// Path of the daemon's binary.
    pub daemon: PathBuf,
    /// Keys of the `tier` settings block, except the store and the clock offset. Empty for limiters without consensus.
    pub tier_block: String,
    /// Whether each limiter stores its votes and documents in a file.
    pub has_stores: bool,
    /// How far each limiter's clock is ahead of the machine's, in milliseconds; 0 for limiters that the list lacks.
    pub clock_offsets_ms: Vec<i64>,
    /// Number of backends.
    pub backends: u32,
    /// Time a backend takes to respond to a request.
    pub backend_latency: Duration,
    /// Number of customers that the load is spread over. Fewer customers mean a higher request rate for each.
    pub customers: u64,
}

/// Keys of a `tier` settings block with short timers. The clock differences and injected faults of a rehearsal must
/// stay within the limits that these settings state.
pub const QUICK_SETTINGS: &str =
    "round = \"100ms\"\n  lease = \"1s\"\n  skew = \"100ms\"\n  lead = \"3s\"\n  \
                         intake = 100\n  unknown = \"refuse\"\n  rehearsal = true\n";

/// Settings of canary analysis, to append to [`QUICK_SETTINGS`].
pub const CANARY_SETTINGS: &str =
    "  watch {\n    before = \"10s\"\n    span = \"12s\"\n    first_look = \"3s\"\n  }\n";

/// Default number of customers. At the rate of the load, each of them stays below the quota of the smallest plan but
/// exceeds the quota that a harmful change leaves a plan.
const CUSTOMERS: u64 = 240;

const DEFAULT_SEED: u64 = 7;

impl Options {
    /// Returns options for a tier with [`QUICK_SETTINGS`] and one backend that responds immediately.
    pub fn quick(limiters: u32, daemon: PathBuf) -> Options {
        Options {
            limiters,
            seed: DEFAULT_SEED,
            daemon,
            tier_block: QUICK_SETTINGS.into(),
            has_stores: true,
            clock_offsets_ms: Vec::new(),
            backends: 1,
            backend_latency: Duration::ZERO,
            customers: CUSTOMERS,
        }
    }
}
