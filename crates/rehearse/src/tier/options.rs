//! What a tier is started with.

use std::path::PathBuf;
use std::time::Duration;

/// A tier to start.
pub struct Options {
    /// Limiters in the tier.
    pub limiters: u32,
    /// Feeds everything that is drawn.
    pub seed: u64,
    /// The daemon's binary.
    pub daemon: PathBuf,
    /// Keys of the `tier` block beside the store; empty for limiters without consensus.
    pub tier_block: String,
    /// Whether each limiter keeps its votes and documents in a file.
    pub has_stores: bool,
    /// What each limiter's clock is ahead of the machine's; 0 beyond the list's end.
    pub clock_offsets_ms: Vec<i64>,
    /// Backends behind the limiters.
    pub backends: u32,
    /// How long a backend takes over each response.
    pub backend_latency: Duration,
    /// Customers that the load comes from: the fewer there are, the more each asks for.
    pub customers: u64,
}

/// Keys of a `tier` block with short timers. The clock differences and faults of rehearsals stay within what these
/// settings state.
pub const QUICK_SETTINGS: &str =
    "round = \"100ms\"\n  lease = \"1s\"\n  skew = \"100ms\"\n  lead = \"3s\"\n  \
                         intake = 100\n  unknown = \"refuse\"\n  rehearsal = true\n";

/// Settings of canary analysis for such tiers, to stand beside [`QUICK_SETTINGS`].
pub const CANARY_SETTINGS: &str =
    "  watch {\n    before = \"10s\"\n    span = \"12s\"\n    first_look = \"3s\"\n  }\n";

/// At the rate of the load each of so many customers asks for less than the smallest plan allows, and for more than a
/// plan allows after a harmful change.
const CUSTOMERS: u64 = 240;

const DEFAULT_SEED: u64 = 7;

impl Options {
    /// A tier of [`QUICK_SETTINGS`] settings and one backend that responds at once.
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
