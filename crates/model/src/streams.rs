//! Seeded random streams. Each concern of a run has its own, so that a change in how one concern draws does not change
//! the draws of the others.

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// The random number generator of every stream: small, fast, and with the same output on every platform.
pub type Stream = Xoshiro256PlusPlus;

/// What a random stream is used for. The discriminants enter the seeds, so they must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum Concern {
    /// The load profiles of customers.
    Customers = 1,
    /// When customers send requests.
    Arrivals,
    /// The work of requests.
    Work,
    /// Variation of the work of attempts, noise of load reports, and errors of backends.
    Attempts,
    /// Network delays, and the time until the load balancer learns of a limiter's failure.
    Network,
    /// Retries of clients, and the limiters that they choose.
    Clients,
    /// Notification delays of service discovery.
    Discovery,
    /// Speeds of backends, and the times of their first load reports.
    Backends,
    /// The backends that a fault affects.
    Faults,
    /// Random choices of limiters.
    Limiters,
    /// Copying and leaving out of first tries when a load is scaled.
    Resampling,
}

/// Returns the stream of a concern. `part` distinguishes streams of the same concern, for example one per customer.
pub fn stream(seed: u64, concern: Concern, part: u64) -> Stream {
    Stream::seed_from_u64(mix_bits(mix_bits(seed ^ mix_bits(concern as u64)).wrapping_add(part)))
}

/// Hashes a number: one step of SplitMix64.
pub fn mix_bits(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Draws a number uniformly from a range. Returns `low` without a draw unless `high` is greater.
pub fn uniform_between(rng: &mut Stream, (low, high): (f64, f64)) -> f64 {
    if high > low {
        rng.random_range(low..=high)
    } else {
        low
    }
}
