//! Random streams: one for each concern, so that a change of one concern leaves the others' draws alone.

use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// The generator of every stream: small, fast, and the same on every machine.
pub type Stream = Xoshiro256PlusPlus;

/// What a stream is drawn for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u64)]
pub enum Concern {
    /// The habits of customers.
    Customers = 1,
    /// When customers send requests.
    Arrivals,
    /// The work of requests.
    Work,
    /// The work of attempts, and errors of backends.
    Attempts,
    /// Delays of the network.
    Network,
    /// Retries of clients, and the limiters that they come through.
    Clients,
    /// Delays of service discovery.
    Discovery,
    /// Speeds of backends, and the phases of their load reports.
    Backends,
    /// Which backends a fault hits.
    Faults,
    /// What limiters draw.
    Limiters,
    /// Copies of captured requests.
    Resampling,
}

/// The stream of a concern; `part` sets apart streams of the same concern, such as one for each customer.
pub fn stream(seed: u64, concern: Concern, part: u64) -> Stream {
    Stream::seed_from_u64(mix_bits(mix_bits(seed ^ mix_bits(concern as u64)).wrapping_add(part)))
}

/// Spreads the bits of a number evenly (the finalizer of SplitMix64).
pub fn mix_bits(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number of a range, or its one value.
pub fn uniform_between(rng: &mut Stream, (low, high): (f64, f64)) -> f64 {
    if high > low {
        rng.random_range(low..=high)
    } else {
        low
    }
}
