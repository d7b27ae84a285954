//! Random numbers of the driver. They must never change, so the generator is implemented here.

/// The SplitMix64 generator, which gives the same numbers on every machine.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed)
    }

    /// Returns the next number, evenly distributed over `u64`.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// Returns a number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound
    }

    /// Returns a number from `low` to below `high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low)
    }

    /// Returns a number from 0 to below 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// Returns one of the values.
    pub fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}
