//! Seeded pseudo-random numbers, so that the same calls produce the same datagrams.

/// Pseudo-random number generator of one replica: xorshift (Marsaglia, 2003).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Random(u64);

impl Random {
    /// Creates a generator from a seed. The lowest bit is set because the state must never be 0.
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed | 1)
    }

    /// Returns the next number.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

/// Hashes a number that is the same at all replicas into a pseudo-random number that is also the same at all of them:
/// the splitmix64 finalizer (Steele, Lea and Flood, 2014).
pub(crate) fn splitmix64(number: u64) -> u64 {
    let mut draw = number;
    draw = (draw ^ (draw >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    draw = (draw ^ (draw >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    draw ^ (draw >> 31)
}
