//! Repeatable random draws: the same seed and subject give the same number.

use crate::interface::Micros;

/// Phases are drawn from one minute, which is longer than any period in use.
const PHASE_RANGE: Micros = 60_000_000;

/// A limiter's source of random draws, and its phase within any period. Draws keep no state, so one draw does
/// not change the others.
#[derive(Clone, Copy, Default)]
pub(super) struct Random {
    pub(super) phase: Micros,
}

impl Random {
    pub(super) fn new(seed: u64) -> Random {
        Random { phase: mix_bits(seed) % PHASE_RANGE }
    }

    /// Returns a number from the whole range of `u64`, drawn for `subject`.
    pub(super) fn draw(self, subject: u64) -> u64 {
        mix_bits(self.phase ^ subject)
    }

    /// Returns a number from 0 to 1, drawn for `subject`.
    pub(super) fn draw_fraction(self, subject: u64) -> f64 {
        self.draw(subject) as f64 / u64::MAX as f64
    }
}

/// Mixes the bits of a number so that similar inputs give unrelated outputs.
pub(super) fn mix_bits(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
